package fleettest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Proxy forwards TCP connections to a target until Cut is called. Its methods may be
// called from several goroutines.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy to the target address. It is closed at the end of the test; an
// error ends the test.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	r.wg.Add(1)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// Addr returns the listen address.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// Cut closes every connection, and each new one at once, until Restore is called.
func (r *Proxy) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		c.Close()
	}
}

// Restore forwards new connections again after Cut.
func (r *Proxy) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

func (r *Proxy) accept() {
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

// track records an open connection. It returns false, and records nothing, while the
// proxy is cut.
func (r *Proxy) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut {
		r.conns[conn] = struct{}{}
	}
	return !r.cut
}

func (r *Proxy) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	conn.Close()
}

func (r *Proxy) forward(from net.Conn) {
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

func (r *Proxy) close() {
	r.Cut()
	r.listener.Close()
	r.wg.Wait()
}
