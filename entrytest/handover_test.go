package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An item takes 3 s on the engines of these tests.
const (
	longEventCount    = 60
	longEventInterval = 50 * time.Millisecond
)

// startSlowEngine starts an engine whose streams have longEventCount events.
func (f *fleet) startSlowEngine(id string) *engine {
	e := f.startEngine(id, func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, longEventCount, longEventInterval)
	})
	e.eventCount = longEventCount
	return e
}

// longOutput returns the output of an item that ran on a slow engine.
func longOutput() string {
	lines := make([]string, 0, longEventCount)
	for n := 1; n <= longEventCount; n++ {
		lines = append(lines, fmt.Sprintf("event %d", n))
	}
	return strings.Join(lines, "\n")
}

// checkResumed checks that all requests to the engine from the given index on resume a
// stream instead of starting it anew.
func checkResumed(t *testing.T, e *engine, from int) {
	t.Helper()
	for n := from; n < e.count(); n++ {
		if r := e.request(n); firstEvent(r) == 1 {
			t.Errorf("request %d for %s starts from the first event", n, r.URL.Path)
		}
	}
}

// TestShutdownHandsOverItems guards against items that wait for an expired lease, or
// start anew, when their daemon shuts down: another daemon must resume them within 1.5 s.
func TestShutdownHandsOverItems(t *testing.T) {
	f := newFleet(t)
	e := f.startSlowEngine("i-1")
	a := f.start("entry-1")
	b := f.start("entry-2")
	time.Sleep(time.Second) // the daemons hear of each other
	if status := a.submitJob(t, "j", 4, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "items run", func() bool { return e.count() == 4 })
	time.Sleep(500 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- a.process.Stop(t.Context()) }()
	begin := time.Now()
	eventually(t, "the other daemon resumes the items", func() bool { return e.count() == 8 })
	if took := time.Since(begin); took > 1500*time.Millisecond {
		t.Errorf("items were resumed after %v, want at most 1.5s", took)
	}
	b.checkCompletes(t, "j", 4, longOutput())
	checkResumed(t, e, 4)
	if err := <-done; err != nil {
		t.Error(err)
	}
	a.stopped = true
}

// TestItemsResumeFromCheckpointAfterKill guards against items that start anew, or wait
// for an expired lease, after their daemon was killed: the next incarnation of the daemon
// must resume them from their checkpoints within 1.5 s.
func TestItemsResumeFromCheckpointAfterKill(t *testing.T) {
	f := newFleet(t)
	e := f.startSlowEngine("i-1")
	a := f.start("entry-1")
	if status := a.submitJob(t, "j", 4, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "items run", func() bool { return e.count() == 4 })
	time.Sleep(2 * time.Second) // for the items to be checkpointed
	a.kill()
	begin := time.Now()
	b := f.start("entry-1")
	eventually(t, "items run again", func() bool { return e.count() == 8 })
	if took := time.Since(begin); took > 1500*time.Millisecond {
		t.Errorf("items were resumed after %v, want at most 1.5s", took)
	}
	b.checkCompletes(t, "j", 4, longOutput())
	checkResumed(t, e, 4)
}
