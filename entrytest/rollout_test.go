package entrytest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/store"
)

// rolloutFleet is a fleet with engines of two versions, daemons that carry out orders, and
// callers that send requests all the time.
type rolloutFleet struct {
	*fleet
	old, new []*engine
	stop     context.CancelFunc
	callers  sync.WaitGroup
	sent     atomic.Int64
	failed   atomic.Int64
}

// newRolloutFleet starts four engines of each version and three daemons. The engines of the
// new version behave as given.
func newRolloutFleet(t *testing.T, behave behaviour) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{fleet: newFleet(t)}
	f.rollouts = &platform.RolloutBounds{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}
	for i := range 4 {
		f.old = append(f.old, f.startVersion(fmt.Sprintf("old-%d", i), "v1", pacedStream))
		f.new = append(f.new, f.startVersion(fmt.Sprintf("new-%d", i), "v2", behave))
	}
	for i := range 3 {
		f.start(fmt.Sprintf("entry-%d", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.stop = cancel
	t.Cleanup(func() { cancel(); f.callers.Wait() })
	for i, d := range f.daemons {
		f.callers.Go(func() { f.call(ctx, d, i) })
	}
	return f
}

// pacedStream sends a stream that takes 200 ms, or 0.7 s if it can move to another engine.
func pacedStream(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
	pause := 40 * time.Millisecond
	if !strings.HasPrefix(r.RequestURI, "/once/") && !strings.HasPrefix(r.RequestURI, "/repeat/") {
		pause = 140 * time.Millisecond
	}
	streamUntil(e, w, r, e.eventCount, pause)
}

// startVersion starts an engine whose row carries the version.
func (f *rolloutFleet) startVersion(id, version string, behave behaviour) *engine {
	e := f.startEngine(id, behave)
	row := engineRow(e, "ready", 0, 1000)
	row["version"] = version
	f.put("servers", id, row)
	return e
}

// call sends 25 requests a second to the daemon until ctx is done.
func (f *rolloutFleet) call(ctx context.Context, d *entry, n int) {
	for i := n; ctx.Err() == nil; i++ {
		path := []string{"/once/a", "/resume/a", "/repeat/a"}[i%3]
		f.callers.Go(func() {
			f.sent.Add(1)
			if got := d.send(ctx, f.t, request{path: path, key: key}); (got.status != http.StatusOK || got.body != f.old[0].fullStream()) && ctx.Err() == nil {
				f.failed.Add(1)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
}

// order writes the order of a roll-out to v2.
func (f *rolloutFleet) order(durationS float64) {
	f.put("op", "rollout/svc", object{"service": "svc", "to": "v2", "durationS": durationS})
}

// state returns the state that operators see, or "".
func (f *rolloutFleet) state() string {
	f.t.Helper()
	row, ok, err := store.GetRow(f.t.Context(), platform.NewStore(f.daemons[0].settings.StoreAddress), store.Key{Table: "status", Name: "rollout/svc"})
	if err != nil {
		f.t.Fatal(err)
	}
	var status struct{ State string }
	if ok {
		if err := json.Unmarshal(row.Value, &status); err != nil {
			f.t.Fatal(err)
		}
	}
	return status.State
}

// awaitEnd waits for the final state of an order and returns it with the time that it took.
func (f *rolloutFleet) awaitEnd(within time.Duration) (state string, took time.Duration) {
	begin := time.Now()
	for took = 0; took < within; took = time.Since(begin) {
		if state = f.state(); state == "completed" || state == "reverted" {
			return state, took
		}
		time.Sleep(50 * time.Millisecond)
	}
	return state, took
}

// count returns the number of requests that the engines received.
func count(engines []*engine) int {
	n := 0
	for _, e := range engines {
		n += e.count()
	}
	return n
}

// TestGoodVersionIsCompleted guards against a good version that misses its deadline, requests
// that reach old engines after the final state, and streams and items that are cut because
// they began at an old one.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, pacedStream)
	for i := range 8 {
		id := fmt.Sprint("job-", i)
		time.AfterFunc(time.Duration(i)*1500*time.Millisecond, func() { f.daemons[i%3].submitJob(t, id, 4, 10) })
	}
	time.Sleep(2 * time.Second)
	if n := count(f.new); n != 0 {
		t.Errorf("engines of a version without an order got %d requests", n)
	}
	f.order(12)
	state, took := f.awaitEnd(13 * time.Second)
	if state != "completed" || took > 12*time.Second {
		t.Fatalf("state %q after %v", state, took)
	}
	atEnd := count(f.old)
	time.Sleep(time.Second)
	if n := count(f.old); n != atEnd {
		t.Errorf("old engines got %d requests after the end", n-atEnd)
	}
	moved := 0
	for _, e := range f.new {
		for i := range e.count() {
			if e.request(i).Header.Get("Last-Event-Id") != "" {
				moved++
			}
		}
	}
	if moved == 0 {
		t.Error("no stream went on at a new engine")
	}
	if n := f.failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed", n, f.sent.Load())
	}
	for i := range 8 {
		f.daemons[i%3].checkCompletes(t, fmt.Sprint("job-", i), 4, fullOutput)
	}
	t.Logf("completed after %v; old %d, new %d, of these %d that moved", took, atEnd, count(f.new), moved)
}

// TestFailingEnginesOfEachVersion guards against a good version that is reverted because of an
// engine of either version that fails.
func TestFailingEnginesOfEachVersion(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		if e.id == "new-1" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		pacedStream(e, w, r, n)
	})
	time.Sleep(time.Second)
	f.order(10)
	f.old[2].mu.Lock()
	f.old[2].behave = failWith(http.StatusInternalServerError)
	f.old[2].mu.Unlock()
	if state, took := f.awaitEnd(11 * time.Second); state != "completed" || took > 10*time.Second {
		t.Errorf("state %q after %v", state, took)
	}
}

// TestBadVersionIsReverted guards against a bad version that gets more requests than the bound
// allows, or is not reverted.
func TestBadVersionIsReverted(t *testing.T) {
	t.Parallel()
	slow := func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		time.Sleep(160 * time.Millisecond)
		streamUntil(e, w, r, e.eventCount, 160*time.Millisecond)
	}
	for name, behave := range map[string]behaviour{
		"fails a third of the requests": func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
			if n%3 == 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			pacedStream(e, w, r, n)
		},
		"four times slower": slow,
		"slow on one route": func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
			if r.URL.Path == "/once/a" {
				slow(e, w, r, n)
				return
			}
			pacedStream(e, w, r, n)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, behave)
			time.Sleep(time.Second)
			before := f.sent.Load()
			f.order(10)
			state, took := f.awaitEnd(11 * time.Second)
			if state != "reverted" || took > 10*time.Second {
				t.Errorf("state %q after %v", state, took)
			}
			time.Sleep(600 * time.Millisecond)
			atEnd := count(f.new)
			time.Sleep(time.Second)
			if n := count(f.new); n != atEnd {
				t.Errorf("new engines got %d requests after the end", n-atEnd)
			}
			requests := f.sent.Load() - before
			if allowed := 0.1*float64(requests) + 50; float64(atEnd) > allowed {
				t.Errorf("the bad version got %d of %d requests, want at most %.0f", atEnd, requests, allowed)
			}
			t.Logf("reverted after %v; new %d of %d", took, atEnd, requests)
		})
	}
}
