package loopback

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkMode selects what a Proxy does with its connections and their bytes.
type LinkMode int32

// The modes of a link.
const (
	// LinkPass forwards everything.
	LinkPass LinkMode = iota
	// LinkDelay forwards bytes late.
	LinkDelay
	// LinkReset resets open and new connections.
	LinkReset
	// LinkSilent forwards nothing in either direction.
	LinkSilent
	// LinkOneWay forwards requests, but no responses.
	LinkOneWay
	// LinkModeCount is the number of modes.
	LinkModeCount
)

// String returns the name of the mode.
func (m LinkMode) String() string {
	return [...]string{"pass", "delay", "reset", "silent", "one way"}[m]
}

// linkDelayTime is the delay in mode LinkDelay for each read of bytes.
const linkDelayTime = 250 * time.Millisecond

// Proxy forwards TCP connections to a target and injects faults into them. Its methods
// may be called from several goroutines.
type Proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Pointer[linkState]

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

// linkState is a mode in force.
type linkState struct {
	mode    LinkMode
	changed chan struct{} // closed when another mode is in force
}

// NewProxy starts a proxy to the target address in mode LinkPass. The caller ends it with
// Close.
func NewProxy(target string) (*Proxy, error) {
	address, err := Address()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]struct{})}
	p.mode.Store(&linkState{changed: make(chan struct{})})
	go p.accept()
	return p, nil
}

// Address returns the listen address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Open connections stay open, unless the mode is LinkReset.
func (p *Proxy) SetMode(m LinkMode) {
	old := p.mode.Swap(&linkState{mode: m, changed: make(chan struct{})})
	close(old.changed)
	if m == LinkReset {
		p.resetConns()
	}
}

// is reports whether the proxy is in the mode.
func (p *Proxy) is(m LinkMode) bool { return p.mode.Load().mode == m }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetMode(LinkReset)
}

// resetConns resets all open connections.
func (p *Proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// reset closes the connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward connects to the target and copies both directions until the connection ends.
func (p *Proxy) forward(from *net.TCPConn) {
	if p.is(LinkReset) {
		reset(from)
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	to := conn.(*net.TCPConn)
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	if p.is(LinkReset) { // the mode changed before the connections were listed
		p.resetConns()
		return
	}
	go p.pipe(to, from, false)
	p.pipe(from, to, true)
}

// hold waits while the mode lets no bytes of the direction pass. It reports whether it
// waited.
func (p *Proxy) hold(responses bool) bool {
	held := false
	for {
		s := p.mode.Load()
		if s.mode != LinkSilent && !(responses && s.mode == LinkOneWay) {
			return held
		}
		held = true
		<-s.changed
	}
}

// pipe copies one direction; responses says that it is that of the responses. Bytes that
// were held back in mode LinkSilent or LinkOneWay are dropped after the mode ends, and
// their connection is reset.
func (p *Proxy) pipe(dst, src *net.TCPConn, responses bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if p.hold(responses) && n > 0 {
			reset(dst)
			reset(src)
		}
		if p.is(LinkDelay) {
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
		reset(dst)
		src.Close()
		return
	}
}
