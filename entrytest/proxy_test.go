package entrytest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// linkMode selects what a proxy does with its connections and their bytes.
type linkMode int32

const (
	linkPass   linkMode = iota
	linkDelay           // forwards bytes linkDelayTime late
	linkReset           // resets open and new connections
	linkSilent          // forwards nothing in either direction
	linkOneWay          // forwards requests, but no responses
	linkModeCount
)

func (m linkMode) String() string {
	return [...]string{"pass", "delay", "reset", "silent", "one way"}[m]
}

// linkDelayTime is the delay of a proxy in mode linkDelay for each read of bytes.
const linkDelayTime = 250 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults into them. Its methods
// may be called from several goroutines.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

// newProxy starts a proxy to the target address in mode linkPass. It is closed at the end
// of the test.
func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", address(t))
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[*net.TCPConn]struct{})}
	go p.accept()
	t.Cleanup(func() {
		l.Close()
		p.resetConns()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. Open connections stay open, unless the mode is linkReset.
func (p *proxy) setMode(m linkMode) {
	p.mode.Store(int32(m))
	if m == linkReset {
		p.resetConns()
	}
}

// is reports whether the proxy is in the mode.
func (p *proxy) is(m linkMode) bool { return linkMode(p.mode.Load()) == m }

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
	clear(p.conns)
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward connects to the target and copies both directions until the connection ends.
func (p *proxy) forward(from *net.TCPConn) {
	if p.is(linkReset) {
		_ = from.SetLinger(0)
		from.Close()
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.SetLinger(0)
		from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.pipe(to, from, false)
	p.pipe(from, to, true)
}

// pipe copies one direction; answers says that it is that of the responses. Bytes that
// were held back in mode linkSilent or linkOneWay are dropped after the mode ends, and
// their connection is reset.
func (p *proxy) pipe(dst, src *net.TCPConn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		held := false
		for p.is(linkSilent) || answers && p.is(linkOneWay) {
			held = true
			time.Sleep(10 * time.Millisecond)
		}
		if held && n > 0 {
			_ = dst.SetLinger(0)
			_ = src.SetLinger(0)
			dst.Close()
			src.Close()
		}
		if p.is(linkDelay) {
			time.Sleep(linkDelayTime)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		p.mu.Lock()
		delete(p.conns, src)
		p.mu.Unlock()
		if err == io.EOF {
			_ = dst.CloseWrite()
			return
		}
		_ = dst.SetLinger(0)
		dst.Close()
		src.Close()
		return
	}
}
