package entrytest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// linkMode is what a proxy does with the bytes of its connections.
type linkMode int32

const (
	linkPass   linkMode = iota
	linkDelay           // passes bytes on late
	linkReset           // resets every connection, old and new
	linkSilent          // passes nothing on, in neither direction
	linkOneWay          // passes on what clients send, but no answer
	linkModes
)

func (m linkMode) String() string {
	return [...]string{"pass", "delay", "reset", "silent", "one way"}[m]
}

// linkDelayTime is how late a delaying proxy passes bytes on.
const linkDelayTime = 250 * time.Millisecond

// proxy forwards TCP connections to a target, and harms them on request.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

// newProxy starts a proxy to the target that ends with the test.
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
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Open connections stay, but for a reset.
func (p *proxy) set(m linkMode) {
	p.mode.Store(int32(m))
	if m == linkReset {
		p.reset()
	}
}

func (p *proxy) is(m linkMode) bool { return linkMode(p.mode.Load()) == m }

func (p *proxy) reset() {
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

// pipe copies one direction. Bytes that a silent link holds up are lost when the
// link comes back, and their connection with them.
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
