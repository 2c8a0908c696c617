//go:build review

package cases

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Heartbeat is the interval at which engines write their row (heartbeatMs).
const Heartbeat = 1200 * time.Millisecond

// EngineConfig describes a sound engine.
type EngineConfig struct {
	ID, Service, Zone string
	Slots, Queue      int
	// First is the time from the start of a run to its first event, Interval that between
	// two events.
	First, Interval time.Duration
	// Memory is the number of tokens that the engine holds, or 0 without a limit. A larger
	// request is rejected as if the engine were full.
	Memory int
}

// Run is one request that an engine began to work on.
type Run struct {
	Engine, ID, Tenant, Path string
	After                    int       // the event after which it goes on, or -1
	Reached                  time.Time // when the request came
	Start, End               time.Time
	Events                   int  // events that were written
	Whole                    bool // all events were written
	Cut                      bool // the caller closed the connection
}

// Engine is a sound model engine. It runs at most Slots requests at once, queues a few more,
// and writes a stream of events; the number of events is the second part of Token-Count.
type Engine struct {
	EngineConfig
	Address string

	store  *Store
	server *http.Server
	slots  chan struct{}
	queued atomic.Int64
	stop   chan struct{}

	rejected atomic.Int64 // requests larger than the memory

	mu      sync.Mutex
	runs    []*Run
	stopped bool
}

// StartEngine starts an engine on a free port and registers it.
func StartEngine(store *Store, c EngineConfig) *Engine {
	e := &Engine{EngineConfig: c, store: store, slots: make(chan struct{}, c.Slots), stop: make(chan struct{})}
	e.Address, e.server = serve(e)
	go e.beat()
	return e
}

// beat writes the engine's row until the engine is stopped.
func (e *Engine) beat() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		e.store.Put("servers", e.ID, map[string]any{
			"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots,
			"state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born,
		})
		select {
		case <-time.After(Heartbeat):
		case <-e.stop:
			e.store.Remove("servers", e.ID)
			return
		}
	}
}

// Close stops the engine and removes its row.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		e.stopped = true
		close(e.stop)
		e.server.Close()
	}
}

// Runs returns copies of all runs so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Run, len(e.runs))
	for i, r := range e.runs {
		all[i] = *r
	}
	return all
}

// EventData returns the data of an event of the request.
func EventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// Output returns the data of all events of a request, as a result of a batch job holds it.
func Output(id string, events int) string {
	all := make([]string, events)
	for i := range all {
		all[i] = EventData(id, i)
	}
	return strings.Join(all, "\n")
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reached := time.Now()
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Instance-Id", e.ID)
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(e.slots), e.queued.Load(), e.Slots))
	if r.Method == http.MethodGet {
		return // its health
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil { // from here on the server notices a caller that leaves
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	isTooLarge := e.Memory > 0 && tokens(r) > e.Memory
	if isTooLarge {
		e.rejected.Add(1)
	}
	if int(e.queued.Add(1)) > e.Queue+e.Slots || isTooLarge {
		e.queued.Add(-1)
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		e.queued.Add(-1)
	case <-r.Context().Done():
		e.queued.Add(-1)
		return
	}
	defer func() { <-e.slots }()
	e.run(w, r, id, reached)
}

// Rejected returns the number of requests that were rejected as larger than the memory.
func (e *Engine) Rejected() int { return int(e.rejected.Load()) }

// tokens returns the sum of the header Token-Count.
func tokens(r *http.Request) int {
	sum := 0
	for field := range strings.SplitSeq(r.Header.Get("Token-Count"), ",") {
		n, _ := strconv.Atoi(field)
		sum += n
	}
	return sum
}

// run writes the stream of a request.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, id string, reached time.Time) {
	after := -1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		after = n
	}
	_, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(output)
	run := &Run{Engine: e.ID, ID: id, Tenant: r.Header.Get("Tenant"), Path: r.URL.Path, After: after, Reached: reached, Start: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Stamp", "stand-in."+e.ID+"."+id)
	flush := http.NewResponseController(w)
	written, cut := 0, false
	pause := e.First
	for n := after + 1; n < events && !cut; n++ {
		select {
		case <-time.After(pause):
			pause = e.Interval
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n))
			cut = err != nil || flush.Flush() != nil
			if !cut {
				written++
			}
		case <-r.Context().Done():
			cut = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	run.End, run.Events, run.Cut, run.Whole = time.Now(), written, cut, !cut
}
