//go:build review

package cases

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that an engine received and ran.
type arrival struct {
	at     time.Time
	id     string
	path   string
	prefix string // of the prompt
	tenant string
	status int // of the answer
}

// engine is a stand-in for a model engine that follows PROTOCOL.md: it registers itself, runs a
// request as a stream of numbered events, and resumes after Last-Event-Id. It answers 500 to
// requests whose path has the last element "fails".
type engine struct {
	fleet   *fleet
	id      string
	service string
	address string
	stop    context.CancelFunc

	mu       sync.Mutex
	server   *http.Server // nil while the engine is down after a crash
	arrivals []arrival
	crashes  []time.Time
	sequence int
	draining bool
	born     int64
}

const (
	engineEvents  = 12
	eventInterval = 15 * time.Millisecond
	firstEvent    = 40 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
)

// startEngine starts an engine of the service and registers it.
func (f *fleet) startEngine(id, service string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{fleet: f, id: id, service: service, address: listener.Addr().String(), stop: cancel}
	e.listen(listener)
	f.engines = append(f.engines, e)
	if err := e.register(); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				if e.isUp() {
					_ = e.register()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return e, nil
}

// listen starts to serve as a new start of the engine.
func (e *engine) listen(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.server, e.born, e.sequence = server, time.Now().UnixMilli(), 0
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// isUp reports whether the engine runs.
func (e *engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server != nil
}

// downTime is how long an engine is down after a crash.
const downTime = 3 * time.Second

// crash ends the engine with its listener and all connections. It starts again under its id after
// downTime.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	if server != nil {
		e.crashes = append(e.crashes, time.Now())
	}
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.fleet.logf("engine %s crashes", e.id)
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			e.fleet.logf("engine %s does not start again: %v", e.id, err)
			return
		}
		e.listen(listener)
		_ = e.register()
		e.fleet.logf("engine %s is back", e.id)
	})
}

// holdsDeadlyPart reports whether a part of the prompt, other than the last, crashes engines now.
func (f *fleet) holdsDeadlyPart(prefix string) bool {
	deadly, _ := f.deadlyPart.Load().(string)
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); deadly != "" && id == deadly {
			return true
		}
	}
	return false
}

// nextEntry returns the entry that the engine writes next.
func (e *engine) nextEntry() object {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return object{
		"service": e.service, "address": e.address, "zone": "bajio-a", "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": 0, "sequence": e.sequence, "born": e.born,
	}
}

// register writes the engine's entry.
func (e *engine) register() error { return e.fleet.put("servers", e.id, e.nextEntry()) }

// loseHeartbeat sends a heartbeat whose answer is lost. The store performs it after the delay.
func (e *engine) loseHeartbeat(delay time.Duration) {
	entry := e.nextEntry()
	e.fleet.logf("the answer to a heartbeat of %s is lost: state %s, sequence %d", e.id, entry["state"], entry["sequence"])
	go func() {
		time.Sleep(delay)
		_ = e.fleet.put("servers", e.id, entry)
		e.fleet.logf("the store performs that heartbeat of %s: state %s, sequence %d", e.id, entry["state"], entry["sequence"])
	}()
}

// drain reports that the engine is draining. It says so in its answers too, and goes on serving.
func (e *engine) drain() error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	err := e.register()
	e.fleet.logf("the store acknowledges that %s is draining", e.id)
	return err
}

func (e *engine) close() {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
	}
}

// ran returns the requests that the engine ran so far.
func (e *engine) ran() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// runsInOrder returns what all engines ran, in the order of time.
func (f *fleet) runsInOrder() []arrival {
	var all []arrival
	for _, e := range f.engines {
		all = append(all, e.ran()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all
}

// serve implements http.HandlerFunc.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	status := http.StatusOK
	if strings.HasSuffix(r.URL.Path, "/fails") {
		status = http.StatusInternalServerError
	}
	e.mu.Lock()
	if e.draining {
		h.Set("Server-Leaving", "1")
	}
	e.arrivals = append(e.arrivals, arrival{time.Now(), id, r.URL.Path, r.Header.Get("Prompt-Prefix"), r.Header.Get("Tenant"), status})
	e.mu.Unlock()
	e.fleet.logf("engine %s of %s runs %s %s (%s), Tenant %q, Last-Event-Id %q: %d", e.id, e.service, r.Method, r.URL.Path, id, r.Header.Get("Tenant"), r.Header.Get("Last-Event-Id"), status)
	h.Set("Server-Stamp", "3e1b.07."+id)
	h.Set("Server-Load", "1,0,8")
	time.Sleep(firstEvent)
	if e.fleet.holdsDeadlyPart(r.Header.Get("Prompt-Prefix")) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if r.Method == http.MethodGet {
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"engine":%q,"path":%q}`, e.id, r.URL.Path)
		return
	}
	e.stream(w, r)
}

// stream writes the events after the one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for n := first; n < engineEvents; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if control.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
