//go:build review

package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a sound model engine. It streams numbered events, resumes after
// Last-Event-Id, drops a request when its connection closes, and says when it did not run a
// request.
type engine struct {
	ID      string
	Address string
	// Pace is the time between two events.
	Pace time.Duration

	rec      *record
	born     int64
	slots    int64
	running  atomic.Int64
	sequence atomic.Int64

	quit chan struct{} // closed when the engine leaves: it registers no more

	mu       sync.Mutex
	listener net.Listener // nil once the engine has ended
	conns    map[net.Conn]bool
	arrived  []arrival
}

// arrival is a request that reached an engine.
type arrival struct {
	id string
	at time.Time
}

// arrivals returns the requests that reached the engine and were not meant for another one.
func (e *engine) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrived)
}

// startEngine starts an engine on a free loopback port. It does not register itself.
func startEngine(rec *record, id string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{ID: id, Address: listener.Addr().String(), Pace: 20 * time.Millisecond, rec: rec, slots: 8, born: time.Now().UnixMilli(), quit: make(chan struct{})}
	e.serve(listener)
	return e, nil
}

// serve begins to serve on the listener.
func (e *engine) serve(listener net.Listener) {
	e.listener, e.conns = listener, make(map[net.Conn]bool)
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.listener != listener {
				c.Close()
				return
			}
			e.conns[c] = true
		}
	}}
	go server.Serve(listener)
}

// end ends the engine, with its listener and all its connections.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.log("engine %s ends its process with %d requests", e.ID, e.running.Load())
	e.listener.Close()
	e.listener = nil
	for c := range e.conns {
		c.Close()
	}
}

// register writes the engine's row every heartbeat until stop is closed.
func (e *engine) register(s *store, service string, stop <-chan struct{}) {
	for {
		s.put("servers", e.ID, map[string]any{
			"service": service, "address": e.Address, "zone": "zone-a", "version": "v1", "slots": e.slots, "state": "ready",
			"coldLeftMs": 0, "sequence": e.sequence.Add(1), "born": e.born,
		})
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-e.quit:
			return
		case <-stop:
			return
		}
	}
}

// eventText returns the data of the event with the number of the request.
func eventText(request string, number int) string { return fmt.Sprintf("%s-piece-%d", request, number) }

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", e.ID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrived = append(e.arrived, arrival{id, time.Now()})
	e.mu.Unlock()
	if e.running.Add(1) > e.slots {
		e.running.Add(-1)
		e.rec.log("engine %s rejects %s: full", e.ID, id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	_, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(output)
	e.rec.log("engine %s runs %s from event %d of %d", e.ID, id, from, events)
	sent, whole := e.stream(w, id, from, events)
	e.rec.log("engine %s ends %s after event %d, answer whole: %v", e.ID, id, sent, whole)
}

// stream sends the events from the given one on. It returns the number of the last event
// sent and whether the answer was sent to its end.
func (e *engine) stream(w http.ResponseWriter, id string, from, events int) (last int, whole bool) {
	last = from - 1
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return last, false
	}
	defer conn.Close()
	gone := make(chan struct{}) // closed when the connection closes
	go watch(rw.Reader, gone)
	write := func(text string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nServer-Load: %d,0,%d\r\n\r\n",
		id, e.ID, id, e.running.Load(), e.slots)
	for n := from; n < events; n++ {
		if !pause(e.Pace, gone) || write(fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(id, n))) != nil {
			return last, false
		}
		last = n
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return last, err == nil
}

// watch closes gone when the reader's connection closes.
func watch(r *bufio.Reader, gone chan<- struct{}) {
	for {
		if _, err := r.ReadByte(); err != nil {
			close(gone)
			return
		}
	}
}

// pause waits for d. It returns false if gone is closed before.
func pause(d time.Duration, gone <-chan struct{}) bool {
	select {
	case <-gone:
		return false
	case <-time.After(d):
		return true
	}
}
