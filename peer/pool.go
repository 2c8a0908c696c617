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
	dialTimeout  = time.Second
	minRedial    = 50 * time.Millisecond
	maxRedial    = time.Second
	chunkBacklog = 1024 // chunks that a slow reader may leave unread
)

// LinkEvent reports that a connection was made or lost, or that it was refused.
type LinkEvent struct {
	// Address is the remote address.
	Address string
	// Up tells whether the connection is usable.
	Up bool
	// Refused tells that the remote host refused the connection: no process
	// listens at the address.
	Refused bool
}

// Pool keeps connections to other processes: for each address one for online
// requests and control, and one for batch work, so that neither waits behind
// the other. Looking up a connection is wait-free.
type Pool struct {
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	handlers Handlers
	event    func(LinkEvent)

	writer sync.Mutex
	links  atomic.Pointer[map[string]*links]
}

// links holds the connections to one address.
type links struct {
	online link
	batch  link
	stop   context.CancelFunc
}

func (l *links) of(class fleet.Class) *link {
	if class == fleet.ClassBatch {
		return &l.batch
	}
	return &l.online
}

// link is one connection that is made again whenever it is lost.
type link struct {
	address string
	class   fleet.Class
	session atomic.Pointer[Session]
	answers sync.Map // RunRequest.ID to *answer
}

// NewPool returns a pool without connections. Messages that the remote
// processes send are served by handlers. If event is not nil, it is called
// when the online connection with an address is made or lost.
func NewPool(handlers Handlers, event func(LinkEvent)) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{ctx: ctx, cancel: cancel, handlers: handlers, event: event}
	p.links.Store(&map[string]*links{})
	return p
}

// SetAddresses makes the pool keep connections with exactly these addresses.
func (p *Pool) SetAddresses(addresses []string) {
	p.writer.Lock()
	defer p.writer.Unlock()
	old := *p.links.Load()
	next := make(map[string]*links, len(addresses))
	for _, address := range addresses {
		if l, ok := old[address]; ok {
			next[address] = l
			continue
		}
		if _, ok := next[address]; !ok {
			next[address] = p.connect(address)
		}
	}
	p.links.Store(&next)
	for address, l := range maps.All(old) {
		if next[address] != l {
			l.stop()
		}
	}
}

func (p *Pool) connect(address string) *links {
	ctx, stop := context.WithCancel(p.ctx)
	l := &links{stop: stop}
	for _, class := range []fleet.Class{fleet.ClassOnline, fleet.ClassBatch} {
		k := l.of(class)
		k.address, k.class = address, class
		p.wg.Add(1)
		go p.keep(ctx, k)
	}
	return l
}

// keep makes the connection again, with growing delays, until ctx ends.
func (p *Pool) keep(ctx context.Context, l *link) {
	defer p.wg.Done()
	delay := minRedial
	refused := false
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", l.address)
		if now := errors.Is(err, syscall.ECONNREFUSED); now != refused {
			refused = now
			p.report(l, LinkEvent{Refused: refused})
		}
		if err == nil {
			delay = minRedial
			p.serve(ctx, l, conn)
		}
		if !timer.Sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRedial)
	}
}

// serve uses the connection until it is lost.
func (p *Pool) serve(ctx context.Context, l *link, conn net.Conn) {
	session := &Session{Remote: l.address}
	handlers := maps.Clone(p.handlers)
	if handlers == nil {
		handlers = Handlers{}
	}
	handlers[MethodChunk] = l.chunk
	ready := make(chan struct{})
	stream := newStream(conn)
	session.conn = jsonrpc2.NewConn(ctx, stream, dispatcher{session, handlers, ready}, silent)
	close(ready)
	l.session.Store(session)
	p.report(l, LinkEvent{Up: true})
	<-session.Done()
	l.session.CompareAndSwap(session, nil)
	p.report(l, LinkEvent{})
}

func (p *Pool) report(l *link, e LinkEvent) {
	if p.event != nil && l.class == fleet.ClassOnline {
		e.Address = l.address
		p.event(e)
	}
}

// chunk hands a part of an answer to the call that waits for it. A call that
// does not keep up is ended.
func (l *link) chunk(_ context.Context, _ *Session, params json.RawMessage) (any, error) {
	c, err := Decode[Chunk](params)
	if err != nil {
		return nil, err
	}
	value, ok := l.answers.Load(c.ID)
	if !ok {
		return nil, nil
	}
	answer := value.(*answer)
	select {
	case answer.chunks <- &c:
	default:
		answer.overflow()
	}
	return nil, nil
}

// session returns the connection for the class, or an error that says that
// nothing was sent.
func (p *Pool) session(address string, class fleet.Class) (*link, *Session, error) {
	l, ok := (*p.links.Load())[address]
	if !ok {
		return nil, nil, result.Errorf(result.UpstreamUnreachable, "no connection with %s", address)
	}
	k := l.of(class)
	s := k.session.Load()
	if s == nil {
		return nil, nil, result.Errorf(result.UpstreamUnreachable, "not connected with %s", address)
	}
	return k, s, nil
}

// Connected tells whether the online connection with the address is usable.
func (p *Pool) Connected(address string) bool {
	_, _, err := p.session(address, fleet.ClassOnline)
	return err == nil
}

// Call sends a request on the online connection and waits for its answer.
func (p *Pool) Call(ctx context.Context, address, method string, params, value any) error {
	_, s, err := p.session(address, fleet.ClassOnline)
	if err != nil {
		return err
	}
	return s.Call(ctx, method, params, value)
}

// Notify sends a notification on the online connection.
func (p *Pool) Notify(ctx context.Context, address, method string, params any) error {
	_, s, err := p.session(address, fleet.ClassOnline)
	if err != nil {
		return err
	}
	return s.Notify(ctx, method, params)
}

// Askers returns what asks each connected process.
func (p *Pool) Askers() []Asker {
	var askers []Asker
	for _, l := range *p.links.Load() {
		if s := l.online.session.Load(); s != nil {
			askers = append(askers, s.Call)
		}
	}
	return askers
}

// Broadcast sends a notification on every online connection. Connections that
// are lost are passed over.
func (p *Pool) Broadcast(ctx context.Context, method string, params any) {
	for _, l := range *p.links.Load() {
		if s := l.online.session.Load(); s != nil {
			_ = s.Notify(ctx, method, params)
		}
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}
