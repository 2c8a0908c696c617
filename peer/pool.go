package peer

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	dialTimeout     = time.Second
	minRedialDelay  = 50 * time.Millisecond
	maxRedialDelay  = time.Second
	maxUnreadChunks = 1024 // of one streamed response
)

// ConnEvent reports that the online connection to an address was established or lost, or
// that the remote host began or ceased to refuse it.
type ConnEvent struct {
	// Address is the remote address.
	Address string
	// Connected reports whether the connection is established.
	Connected bool
	// Refused reports whether the remote host refused the connection, so that no
	// process listens at the address.
	Refused bool
}

// Pool keeps two connections to each address: one for online requests and control
// messages and one for batch requests, so that neither kind waits behind the other. It
// may be used by several goroutines. Looking up a connection is wait-free.
type Pool struct {
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	handlers Handlers
	onEvent  func(ConnEvent)

	setMu sync.Mutex // serializes SetAddresses
	conns atomic.Pointer[map[string]*conns]
}

// conns holds the two connections to one address.
type conns struct {
	online managedConn
	batch  managedConn
	stop   context.CancelFunc
}

// forClass returns the connection for requests of the class.
func (c *conns) forClass(class fleet.Class) *managedConn {
	if class == fleet.ClassBatch {
		return &c.batch
	}
	return &c.online
}

// managedConn is one connection, which is established again whenever it is lost.
type managedConn struct {
	address string
	class   fleet.Class
	session atomic.Pointer[Session] // nil while there is no connection
	queues  sync.Map                // RunRequest.ID to *chunkQueue
}

// NewPool returns a pool without connections. The handlers serve the messages that the
// remote processes send. If onEvent is not nil, it is called with each ConnEvent, from the
// goroutine that keeps the connection, which waits for it to return.
func NewPool(handlers Handlers, onEvent func(ConnEvent)) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{ctx: ctx, cancel: cancel, handlers: handlers, onEvent: onEvent}
	p.conns.Store(&map[string]*conns{})
	return p
}

// SetAddresses sets the addresses to which the pool keeps connections. It keeps the
// connections to addresses that it already had and closes those to all others. It does
// not wait until new connections are established.
func (p *Pool) SetAddresses(addresses []string) {
	p.setMu.Lock()
	defer p.setMu.Unlock()
	old := *p.conns.Load()
	next := make(map[string]*conns, len(addresses))
	for _, address := range addresses {
		if c, ok := old[address]; ok {
			next[address] = c
			continue
		}
		if _, ok := next[address]; !ok {
			next[address] = p.startConns(address)
		}
	}
	p.conns.Store(&next)
	for address, c := range maps.All(old) {
		if next[address] != c {
			c.stop()
		}
	}
}

// startConns starts to establish the two connections to the address.
func (p *Pool) startConns(address string) *conns {
	ctx, stop := context.WithCancel(p.ctx)
	c := &conns{stop: stop}
	for _, class := range []fleet.Class{fleet.ClassOnline, fleet.ClassBatch} {
		conn := c.forClass(class)
		conn.address, conn.class = address, class
		p.wg.Add(1)
		go p.maintain(ctx, conn)
	}
	return c
}

// maintain establishes the connection again whenever it is lost, until ctx is done. The
// delay doubles with each failed attempt, from minRedialDelay to maxRedialDelay.
func (p *Pool) maintain(ctx context.Context, m *managedConn) {
	defer p.wg.Done()
	delay := minRedialDelay
	refused := false
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", m.address)
		if now := errors.Is(err, syscall.ECONNREFUSED); now != refused {
			refused = now
			p.emit(m, ConnEvent{Refused: refused})
		}
		if err == nil {
			delay = minRedialDelay
			p.serveConn(ctx, m, conn)
		}
		if !timer.Sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// serveConn makes the connection available to callers and serves its messages until it is
// lost.
func (p *Pool) serveConn(ctx context.Context, m *managedConn, conn net.Conn) {
	session := &Session{RemoteAddress: m.address}
	handlers := maps.Clone(p.handlers)
	if handlers == nil {
		handlers = Handlers{}
	}
	handlers[MethodChunk] = m.handleChunk
	ready := make(chan struct{})
	stream := newStream(conn)
	session.conn = jsonrpc2.NewConn(ctx, stream, dispatcher{session: session, handlers: handlers, ready: ready}, noLog)
	close(ready)
	m.session.Store(session)
	p.emit(m, ConnEvent{Connected: true})
	<-session.Done()
	m.session.CompareAndSwap(session, nil)
	p.emit(m, ConnEvent{})
}

// emit calls onEvent with the event if m is an online connection.
func (p *Pool) emit(m *managedConn, e ConnEvent) {
	if p.onEvent != nil && m.class == fleet.ClassOnline {
		e.Address = m.address
		p.onEvent(e)
	}
}

// handleChunk adds a chunk to the queue of the call that waits for it. If the queue is
// full, the call ends with result.CallerTooSlow.
func (m *managedConn) handleChunk(_ context.Context, _ *Session, params json.RawMessage) (any, error) {
	c, err := DecodeParams[Chunk](params)
	if err != nil {
		return nil, err
	}
	value, ok := m.queues.Load(c.ID)
	if !ok {
		return nil, nil
	}
	chunkQueue := value.(*chunkQueue)
	select {
	case chunkQueue.chunks <- &c:
	default:
		chunkQueue.overflow()
	}
	return nil, nil
}

// session returns the connection to the address for requests of the class. It returns
// the error result.UpstreamUnreachable with the verdict "not run" if there is none.
func (p *Pool) session(address string, class fleet.Class) (*managedConn, *Session, error) {
	c, ok := (*p.conns.Load())[address]
	if !ok {
		return nil, nil, result.Errorf(result.UpstreamUnreachable, "address %s is not in the connection pool", address)
	}
	conn := c.forClass(class)
	s := conn.session.Load()
	if s == nil {
		return nil, nil, result.Errorf(result.UpstreamUnreachable, "not connected to %s", address)
	}
	return conn, s, nil
}

// Connected reports whether the online connection to the address is established.
func (p *Pool) Connected(address string) bool {
	_, _, err := p.session(address, fleet.ClassOnline)
	return err == nil
}

// Call sends a request on the online connection to the address, waits for the response
// and decodes it into value. Its errors are of type *result.Error.
func (p *Pool) Call(ctx context.Context, address, method string, params, value any) error {
	_, s, err := p.session(address, fleet.ClassOnline)
	if err != nil {
		return err
	}
	return s.Call(ctx, method, params, value)
}

// Notify sends a notification on the online connection to the address.
func (p *Pool) Notify(ctx context.Context, address, method string, params any) error {
	_, s, err := p.session(address, fleet.ClassOnline)
	if err != nil {
		return err
	}
	return s.Notify(ctx, method, params)
}

// CallFuncs returns one function per established online connection, which sends a request
// on it.
func (p *Pool) CallFuncs() []CallFunc {
	var calls []CallFunc
	for _, c := range *p.conns.Load() {
		if s := c.online.session.Load(); s != nil {
			calls = append(calls, s.Call)
		}
	}
	return calls
}

// Broadcast sends a notification on every established online connection. Errors are
// ignored.
func (p *Pool) Broadcast(ctx context.Context, method string, params any) {
	for _, c := range *p.conns.Load() {
		if s := c.online.session.Load(); s != nil {
			_ = s.Notify(ctx, method, params)
		}
	}
}

// Close closes all connections and waits until they are closed.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}
