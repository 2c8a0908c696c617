package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Items of these tests take 3 s.
const (
	longEvents = 60
	longPause  = 50 * time.Millisecond
)

// startSlowEngine starts an engine at which an item takes seconds.
func (f *fleet) startSlowEngine(id string) *engine {
	e := f.startEngine(id, func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, longEvents, longPause)
	})
	e.events = longEvents
	return e
}

func longOutput() string {
	lines := make([]string, 0, longEvents)
	for n := 1; n <= longEvents; n++ {
		lines = append(lines, fmt.Sprintf("event %d", n))
	}
	return strings.Join(lines, "\n")
}

// checkResumed checks that every run from the given one on goes on after an event.
func checkResumed(t *testing.T, e *engine, from int) {
	t.Helper()
	for n := from; n < e.count(); n++ {
		if r := e.request(n); firstEvent(r) == 1 {
			t.Errorf("run %d of %s starts from the first event", n, r.URL.Path)
		}
	}
}

func TestPlannedStopHandsItemsOver(t *testing.T) {
	f := newFleet(t)
	e := f.startSlowEngine("i-1")
	a := f.start("entry-1")
	b := f.start("entry-2")
	time.Sleep(time.Second) // the daemons find each other
	if status := a.submit(t, "j", 4, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "items run", func() bool { return e.count() == 4 })
	time.Sleep(500 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- a.process.Stop(t.Context()) }()
	begin := time.Now()
	eventually(t, "items go on elsewhere", func() bool { return e.count() == 8 })
	if took := time.Since(begin); took > 1500*time.Millisecond {
		t.Errorf("items went on after %v", took)
	}
	b.complete(t, "j", 4, longOutput())
	checkResumed(t, e, 4)
	if err := <-done; err != nil {
		t.Error(err)
	}
	a.stopped = true
}

func TestItemsGoOnAfterTheirDaemonWasKilled(t *testing.T) {
	f := newFleet(t)
	e := f.startSlowEngine("i-1")
	a := f.start("entry-1")
	if status := a.submit(t, "j", 4, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "items run", func() bool { return e.count() == 4 })
	time.Sleep(2 * time.Second) // their progress is saved
	a.kill()
	begin := time.Now()
	b := f.start("entry-1")
	eventually(t, "items run again", func() bool { return e.count() == 8 })
	if took := time.Since(begin); took > 1500*time.Millisecond {
		t.Errorf("items went on after %v", took)
	}
	b.complete(t, "j", 4, longOutput())
	checkResumed(t, e, 4)
}
