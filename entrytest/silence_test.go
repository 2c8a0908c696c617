package entrytest

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// engineSilence is how long the engines of these tests send nothing before they go on.
const engineSilence = 1100 * time.Millisecond

// pauseAfter returns a behaviour that sends a whole stream, with a silence after event n.
func pauseAfter(n int) behaviour {
	return func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		if n >= firstEvent(r) {
			streamUntil(e, w, r, n, 0)
		}
		select {
		case <-time.After(engineSilence):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := max(n+1, firstEvent(r)); i <= e.eventCount; i++ {
			_, _ = io.WriteString(w, event(i))
		}
	}
}

// changeConfigWhile publishes a new configuration 100 ms after the start and every 300 ms
// until the returned function is called.
func (f *fleet) changeConfigWhile(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause := 100 * time.Millisecond; ; pause = 300 * time.Millisecond {
			select {
			case <-time.After(pause):
				f.config["routes"].([]object)[3]["completionTargetMs"] = 18000 + f.config["version"].(int)
				f.publish()
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { cancel(); <-done }
}

// TestSilentEngineKeepsItsStreamWhileNoOtherTakesIt guards against streams that end without
// a whole answer because their sound engine is silent for a second and no other engine has
// a place, also beside a change of the configuration.
func TestSilentEngineKeepsItsStreamWhileNoOtherTakesIt(t *testing.T) {
	for name, c := range map[string]struct {
		after  int
		others behaviour // of a second engine, or nil
	}{
		"within the stream, no other engine":   {after: 2},
		"before the stream, no other engine":   {after: 0},
		"within the stream, the other rejects": {after: 2, others: reject},
		"before the stream, the other rejects": {after: 0, others: reject},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			silent := f.startEngine("i-1", pauseAfter(c.after))
			if c.others != nil {
				f.startEngine("i-2", c.others)
			}
			d := f.start("entry-1")
			defer f.changeConfigWhile(t.Context())()
			got := d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Deadline-Ms": "5000"}})
			if got.status != http.StatusOK || got.err != nil || got.body != silent.fullStream() {
				t.Errorf("answered %d %q %v, want the whole stream", got.status, got.body, got.err)
			}
			if n := silent.count(); n != 1 {
				t.Errorf("the silent engine received the request %d times, want once", n)
			}
		})
	}
}

// TestSilentStreamGoesOnAtEngineThatTakesIt guards against a stream that stays at a dead
// engine, and against two engines that work on one request.
func TestSilentStreamGoesOnAtEngineThatTakesIt(t *testing.T) {
	f := newFleet(t)
	ended := make(chan time.Time, 1)
	dead := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, 2, 0)
		<-r.Context().Done()
		ended <- time.Now()
	})
	d := f.start("entry-1")
	answered := make(chan time.Time, 1)
	go func() {
		for dead.count() == 0 && t.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		f.startEngine("i-2", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
			answered <- time.Now()
			stream(e, w, r, n)
		})
	}()
	got := d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Deadline-Ms": "5000"}})
	if got.status != http.StatusOK || got.err != nil || got.body != dead.fullStream() {
		t.Fatalf("answered %d %q %v, want the whole stream", got.status, got.body, got.err)
	}
	if late := (<-ended).Sub(<-answered); late > 400*time.Millisecond {
		t.Errorf("the first engine worked for %v after the second one went on, want at most 400ms", late)
	}
}

// TestBrokenStreamWaitsForAPlace guards against a stream that ends without a whole answer,
// with most of its time left, because all other engines are full when its engine breaks off.
func TestBrokenStreamWaitsForAPlace(t *testing.T) {
	f := newFleet(t)
	broken := f.startEngine("i-1", cutAfter(2))
	d := f.start("entry-1")
	var fullUntil atomic.Int64 // Unix time in ns; 0 before the first request
	second := f.startEngine("i-2", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		fullUntil.CompareAndSwap(0, time.Now().Add(engineSilence).UnixNano())
		if time.Now().UnixNano() < fullUntil.Load() {
			reject(e, w, r, n)
			return
		}
		stream(e, w, r, n)
	})
	eventually(t, "a stream is broken off, rejected and resumed", func() bool {
		before := broken.count()
		got := d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Deadline-Ms": "5000"}})
		if got.status == http.StatusServiceUnavailable {
			return false
		}
		if got.status != http.StatusOK || got.err != nil || got.body != broken.fullStream() {
			t.Fatalf("answered %d %q %v, want the whole stream", got.status, got.body, got.err)
		}
		return broken.count() > before && second.count() > 1
	})
}
