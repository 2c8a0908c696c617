package fleettest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Relay forwards TCP connections to a target until it is cut.
type Relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// NewRelay starts a relay to the target that ends with the test.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	r.wg.Add(1)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// Addr returns the relay's address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut closes every connection and refuses new ones.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		c.Close()
	}
}

// Restore lets connections through again.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.forward(conn)
		}()
	}
}

// track registers a connection; it returns false while the relay is cut.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut {
		r.conns[conn] = struct{}{}
	}
	return !r.cut
}

func (r *Relay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	conn.Close()
}

func (r *Relay) forward(from net.Conn) {
	defer r.untrack(from)
	if !r.track(from) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.untrack(to)
	if !r.track(to) {
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go pipe(to, from)
	go pipe(from, to)
	<-done
}

func (r *Relay) close() {
	r.Cut()
	r.listener.Close()
	r.wg.Wait()
}
