package entrytest

import (
	"net/http"
	"testing"
	"time"
)

// leaving returns a behaviour that says in each answer that the engine leaves.
func leaving(b behaviour) behaviour {
	return func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Server-Leaving", "1")
		b(e, w, r, n)
	}
}

// failWith returns a behaviour that answers with the status.
func failWith(status int) behaviour {
	return func(_ *engine, w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(status) }
}

// registerStart writes the engine's row as ready, with the start time.
func (f *fleet) registerStart(e *engine, born, sequence int) {
	f.put("servers", e.id, object{
		"service": "svc", "address": e.address, "zone": "dc-1", "slots": 8, "state": "ready", "sequence": sequence, "born": born,
	})
}

// rowReadTime is longer than a daemon takes to read a changed row.
const rowReadTime = 1500 * time.Millisecond

// TestLeavingEngineGetsNothingMore guards against requests and items that are sent to an
// engine after it said in an answer that it leaves: until another start of it has its place,
// whatever its row says.
func TestLeavingEngineGetsNothingMore(t *testing.T) {
	once := func(d *entry) { d.send(t.Context(), t, request{path: "/once/a", key: key}) }
	for name, c := range map[string]struct {
		answer behaviour
		first  func(d *entry) // makes the engine answer
	}{
		"stream":    {stream, once},
		"rejection": {reject, once},
		"error":     {failWith(http.StatusInternalServerError), once},
		"redirect":  {failWith(http.StatusTemporaryRedirect), once},
		"broken stream": {cutAfter(2), func(d *entry) {
			d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Deadline-Ms": "2500"}})
		}},
		"repeatable request": {failWith(http.StatusInternalServerError), func(d *entry) {
			d.send(t.Context(), t, request{path: "/repeat/a", key: key, header: map[string]string{"Deadline-Ms": "2500"}})
		}},
		"item":          {stream, func(d *entry) { d.submitJob(t, "j", 1, 10) }},
		"rejected item": {reject, func(d *entry) { d.submitJob(t, "j", 1, 10) }},
		"broken item":   {cutAfter(2), func(d *entry) { d.submitJob(t, "j", 1, 10) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			e := f.startEngine("i-1", leaving(c.answer))
			d := f.start("entry-1")
			c.first(d)
			eventually(t, "the engine answers", func() bool { return e.count() > 0 })
			for _, step := range []struct {
				what   string
				change func()
			}{
				{"at once", func() {}},
				{"after a row change", func() { f.registerStart(e, 1000, 2) }},
				{"after its row was removed", func() { f.store.RemoveRow("servers", "", e.id) }},
				{"after its row came back", func() { f.registerStart(e, 1000, 3) }},
			} {
				step.change()
				time.Sleep(rowReadTime)
				if got := d.send(t.Context(), t, request{path: "/once/b", key: key}); got.status != http.StatusServiceUnavailable {
					t.Errorf("%s: a request was answered %d, want 503", step.what, got.status)
				}
				d.submitJob(t, "k", 1, 10)
				time.Sleep(100 * time.Millisecond)
				if n := e.count(); n != 1 {
					t.Fatalf("%s: the engine received %d requests after it said that it leaves", step.what, n-1)
				}
			}
			e.mu.Lock()
			e.behave = stream
			e.mu.Unlock()
			f.registerStart(e, 2000, 1)
			eventually(t, "another start of the engine serves", func() bool {
				return d.send(t.Context(), t, request{path: "/once/c", key: key}).status == http.StatusOK
			})
		})
	}
}

// TestRequestsAtALeavingEngineGoOn guards against streams that are cut because their engine
// said that it leaves, and against daemons that all turn away from an engine because one
// of them was told so.
func TestRequestsAtALeavingEngineGoOn(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		if n > 2 { // an answer of a stand-in that leaves has the header; here only to one daemon
			stream(e, w, r, n)
			return
		}
		if n == 2 {
			w.Header().Set("Server-Leaving", "1")
		}
		streamUntil(e, w, r, e.eventCount, 250*time.Millisecond)
	})
	a, b := f.start("entry-1"), f.start("entry-2")
	replies := make(chan reply, 2)
	for n := range cap(replies) {
		go func() { replies <- a.send(t.Context(), t, request{path: "/once/a", key: key}) }()
		eventually(t, "the engine runs the request", func() bool { return e.count() > n })
	}
	time.Sleep(300 * time.Millisecond)
	if got := a.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusServiceUnavailable {
		t.Errorf("the daemon that was told sent a request: status %d, want 503", got.status)
	}
	if got := b.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK {
		t.Errorf("the other daemon did not use the only engine: status %d, want 200", got.status)
	}
	for range cap(replies) {
		if got := <-replies; got.status != http.StatusOK || got.err != nil || got.body != e.fullStream() {
			t.Errorf("a running stream ended with %d %q %v", got.status, got.body, got.err)
		}
	}
	sound := f.startEngine("i-2", stream)
	eventually(t, "the other daemon knows the sound engine", func() bool {
		return b.send(t.Context(), t, request{path: "/once/a", key: key}).status == http.StatusOK && sound.count() > 0
	})
	before := e.count()
	for range 20 {
		b.send(t.Context(), t, request{path: "/once/a", key: key})
	}
	if n := e.count() - before; n != 0 {
		t.Errorf("%d of 20 requests were sent to an engine that leaves according to another daemon", n)
	}
}

// TestDrainingEngineGetsNothingAfterALateHeartbeat guards against requests to an engine that
// reported that it drains, because the store performs an earlier heartbeat of it late, and against
// an engine that is not used after it started again under its ID.
func TestDrainingEngineGetsNothingAfterALateHeartbeat(t *testing.T) {
	for name, gone := range map[string]bool{"draining": false, "gone": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			e := f.startEngine("i-1", stream)
			f.startEngine("i-2", stream)
			d := f.start("entry-1")
			write := func(state string, born int64, sequence int) {
				row := engineRow(e, state, 0, born)
				row["sequence"] = sequence
				f.put("servers", e.id, row)
			}
			requestsOf := func(duration time.Duration) int {
				before := e.count()
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					if got := d.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK {
						t.Errorf("status %d, want 200", got.status)
					}
				}
				return e.count() - before
			}
			eventually(t, "the engine is used", func() bool { return requestsOf(100*time.Millisecond) > 0 })
			write("draining", 1000, 9)
			if gone {
				time.Sleep(rowReadTime)
				f.store.RemoveRow("servers", "", e.id)
			}
			time.Sleep(rowReadTime)
			write("ready", 1000, 7)
			if n := requestsOf(2 * rowReadTime); n > 0 {
				t.Errorf("the engine got %d requests after a late heartbeat, want none", n)
			}
			write("ready", 2000, 1)
			eventually(t, "the next start of the engine is used", func() bool { return requestsOf(100*time.Millisecond) > 0 })
		})
	}
}
