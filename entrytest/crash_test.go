package entrytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/httpserve"
)

const (
	// engineDowntime is how long an engine that crashed stays away.
	engineDowntime = 2 * time.Second
	// deadlySegment is the id of the prompt segment that crashes engines.
	deadlySegment = "dead01"
)

// crashes counts the requests with the deadly segment that reached engines.
type crashes struct {
	mu            sync.Mutex
	at            []time.Time
	harmlessAfter int // number of requests after which the segment crashes no engine, or 0
}

// add counts a request and reports whether it crashes the engine.
func (c *crashes) add() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	return c.harmlessAfter == 0 || len(c.at) <= c.harmlessAfter
}

// since returns how many there were after the time.
func (c *crashes) since(begin time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.at {
		if at.After(begin) {
			n++
		}
	}
	return n
}

// startCrashingEngines starts engines that stream, and that end with all their connections
// when they begin to write on the deadly segment. They come back under a new start time.
func (f *fleet) startCrashingEngines(n int, deadly *crashes) {
	f.t.Helper()
	for i := range n {
		var down sync.Mutex // held while the engine is away
		e := f.startEngine(fmt.Sprintf("i-%d", i+1), func(e *engine, w http.ResponseWriter, r *http.Request, number int) {
			if !sharesSegment(r, deadlySegment) || !deadly.add() {
				streamUntil(e, w, r, e.eventCount, 20*time.Millisecond)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush()
			if down.TryLock() {
				e.server.Close()
				go f.restart(e, &down)
			}
			panic(http.ErrAbortHandler)
		})
		f.t.Cleanup(func() {
			down.Lock()
			e.server.Close()
		})
	}
}

// restart starts the engine again after engineDowntime, and then unlocks down.
func (f *fleet) restart(e *engine, down *sync.Mutex) {
	defer down.Unlock()
	select {
	case <-time.After(engineDowntime):
	case <-f.t.Context().Done():
		return
	}
	server, err := httpserve.Listen(e.address, nil, httpserve.Options{NotFound: http.HandlerFunc(e.serve)})
	if err != nil {
		f.t.Error(err)
		return
	}
	e.server = server
	row, err := json.Marshal(engineRow(e, "ready", 0, time.Now().UnixMilli()))
	if err != nil {
		f.t.Error(err)
		return
	}
	f.store.PutRow("servers", "", e.id, row)
}

// spacing returns the shortest time between two of them.
func (c *crashes) spacing() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	shortest := time.Hour
	for i := 1; i < len(c.at); i++ {
		shortest = min(shortest, c.at[i].Sub(c.at[i-1]))
	}
	return shortest
}

// sharesSegment reports whether the prompt has the segment, and not as its last one.
func sharesSegment(r *http.Request, id string) bool {
	return strings.Contains(r.Header.Get("Prompt-Prefix"), id+":400,")
}

// prompt returns a Prompt-Prefix of the shared segments and one that no other prompt has.
func prompt(shared ...string) string {
	var b strings.Builder
	for _, id := range shared {
		b.WriteString(id + ":400,")
	}
	return b.String() + fmt.Sprintf("%x:20", ids.Add(1))
}

// TestRequestThatCrashedAnEngineIsNotSentToAnother guards against a request that crashes one
// engine after the other, as its route allows several attempts.
func TestRequestThatCrashedAnEngineIsNotSentToAnother(t *testing.T) {
	for _, path := range []string{"/resume/a", "/repeat/a"} {
		f := newFleet(t)
		deadly := new(crashes)
		begin := time.Now()
		f.startCrashingEngines(3, deadly)
		d := f.start("entry-1")
		got := d.send(t.Context(), t, request{path: path, key: key, header: map[string]string{"Prompt-Prefix": prompt(deadlySegment)}})
		if got.status != http.StatusBadGateway || !strings.Contains(got.body, "outcome_unknown") {
			t.Errorf("%s: answered %d %q, want 502 outcome_unknown", path, got.status, got.body)
		}
		if n := deadly.since(begin); n != 1 {
			t.Errorf("%s: %d engines received the request, want 1", path, n)
		}
	}
}

// TestItemThatCrashedAnEngineHoldsUpNoOther guards against a batch item that crashes one
// engine after the other without a pause, and holds up the other items of its job.
func TestItemThatCrashedAnEngineHoldsUpNoOther(t *testing.T) {
	const items = 12
	f := newFleet(t)
	deadly := new(crashes)
	f.startCrashingEngines(3, deadly)
	d := f.start("entry-1")
	var body []object
	for i := range items {
		item := object{"id": fmt.Sprintf("j-%d", i), "path": "/jobs/j", "headers": object{"Prompt-Prefix": prompt("5afe01")}, "body": "", "tokens": 10}
		if i == 0 {
			item["headers"] = object{"Prompt-Prefix": prompt("5afe01", deadlySegment)}
		}
		body = append(body, item)
	}
	data, err := json.Marshal(object{"items": body})
	if err != nil {
		t.Fatal(err)
	}
	if got := d.send(t.Context(), t, request{path: "/jobs/j", id: "j", key: key, body: string(data)}); got.status != http.StatusAccepted {
		t.Fatalf("status %d", got.status)
	}
	eventually(t, "the sound items are complete", func() bool {
		page, _ := d.readResults(t, "j", 0)
		return len(page.Results) == items-1
	})
	time.Sleep(engineDowntime)
	if n := deadly.since(time.Time{}); n < 2 {
		t.Fatalf("engines received the item %d times, want it to run again", n)
	}
	if s := deadly.spacing(); s < time.Second {
		t.Errorf("the item reached two engines within %v, want at least 1s", s)
	}
}
