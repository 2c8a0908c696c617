package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

// Handler serves one method. For a notification, its results are ignored. The context is
// done when the remote process disconnects. Calls are served concurrently; notifications of
// one connection are served one after the other, before any later message is read.
type Handler func(ctx context.Context, from *Session, params json.RawMessage) (any, error)

// Handlers maps names of methods to their handlers.
type Handlers map[string]Handler

// Session is one connection to another process. It may be used by several goroutines.
type Session struct {
	conn *jsonrpc2.Conn
	// RemoteAddress is the remote address: the dialed one of a connection of a Pool, and
	// the one that the connection came from for a Server.
	RemoteAddress string
}

// Notify sends a notification. It returns an error if the connection is lost.
func (s *Session) Notify(ctx context.Context, method string, params any) error {
	return s.conn.Notify(ctx, method, params)
}

// Call sends a request, waits for the response and decodes it into value. Its errors are
// of type *result.Error.
func (s *Session) Call(ctx context.Context, method string, params, value any) error {
	if err := s.conn.Call(ctx, method, params, value); err != nil {
		return decodeError(err)
	}
	return nil
}

// Done returns a channel that is closed when the connection is lost.
func (s *Session) Done() <-chan struct{} { return s.conn.DisconnectNotify() }

// noLog turns off the log of the JSON-RPC library.
var noLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Server accepts connections from other processes.
type Server struct {
	listener  net.Listener
	handlers  Handlers
	onConnect func(*Session)
	pool      *budget.Pool  // or nil
	configs   chan struct{} // has a value for each call of MethodConfig that is served
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// Listen returns a server that listens at the address and serves the handlers. If onConnect
// is not nil, it is called for each new connection, before the next one is accepted.
func Listen(address string, handlers Handlers, onConnect func(*Session)) (*Server, error) {
	return ListenWithin(address, handlers, onConnect, nil)
}

// maxConfigCalls is the number of configurations that a server sends at once. Each takes the
// memory of the whole configuration until it is written.
const maxConfigCalls = 4

// ListenWithin is Listen with a pool that bounds the connections and what they hold.
func ListenWithin(address string, handlers Handlers, onConnect func(*Session), pool *budget.Pool) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener:  listener,
		handlers:  handlers,
		onConnect: onConnect,
		pool:      pool,
		configs:   make(chan struct{}, maxConfigCalls),
		ctx:       ctx,
		cancel:    cancel,
		sessions:  make(map[*Session]struct{}),
	}
	s.wg.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Bounds of the pause after a failed Accept, for example while the process has no free file
// descriptor. It doubles with each failure.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	defer s.wg.Done()
	pause := minAcceptPause
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			timer.Sleep(s.ctx, pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if c := admit(conn, s.pool); c != nil {
			s.startSession(c)
		} else {
			conn.Close()
		}
	}
}

// startSession serves the messages of a new connection.
func (s *Server) startSession(conn *serverConn) {
	session := &Session{RemoteAddress: conn.RemoteAddr().String()}
	stream := newServerStream(conn)
	ready := make(chan struct{})
	handler := dispatcher{session: session, handlers: s.handlers, ready: ready, server: conn, configs: s.configs}
	session.conn = jsonrpc2.NewConn(s.ctx, stream, handler, noLog)
	close(ready)
	s.mu.Lock()
	s.sessions[session] = struct{}{}
	s.mu.Unlock()
	if s.onConnect != nil {
		s.onConnect(session)
	}
	s.wg.Add(1)
	go s.removeWhenDone(session)
}

// removeWhenDone removes the session from the open ones when its connection is lost.
func (s *Server) removeWhenDone(session *Session) {
	defer s.wg.Done()
	<-session.Done()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

// Sessions returns the open connections in no particular order.
func (s *Server) Sessions() []*Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.sessions))
}

// CallFuncs returns one function per open connection, which sends a request on it.
func (s *Server) CallFuncs() []CallFunc {
	var calls []CallFunc
	for _, session := range s.Sessions() {
		calls = append(calls, session.Call)
	}
	return calls
}

// Broadcast sends a notification on every open connection. Errors are ignored.
func (s *Server) Broadcast(ctx context.Context, method string, params any) {
	for _, session := range s.Sessions() {
		_ = session.Notify(ctx, method, params)
	}
}

// Close stops listening, closes all connections and waits until they are closed. It does not
// wait for handlers of calls that are still running.
func (s *Server) Close() {
	s.listener.Close()
	s.cancel()
	s.wg.Wait()
}

// dispatcher passes the messages of one connection to the handlers. A call is served on its
// own goroutine. A notification is served on the goroutine that reads the connection, so
// notifications are served in order.
type dispatcher struct {
	session  *Session
	handlers Handlers
	ready    <-chan struct{} // closed when session.conn is set
	server   *serverConn     // or nil
	configs  chan struct{}   // of the Server, or nil
}

// Handle implements jsonrpc2.Handler.
func (d dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-d.ready
	handler, ok := d.handlers[req.Method]
	if !ok {
		if !req.Notif {
			_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
				Code:    jsonrpc2.CodeMethodNotFound,
				Message: fmt.Sprintf("method %q does not exist", req.Method),
			})
		}
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if !d.server.beginCall(len(params)) {
		if !req.Notif {
			_ = conn.ReplyWithError(ctx, req.ID, encodeError(result.New(result.QueueFull, result.NotRun)))
		}
		return
	}
	if req.Notif {
		defer d.server.endCall(len(params))
		_, _ = handler(ctx, d.session, params)
		return
	}
	go d.reply(ctx, conn, req, handler, params)
}

// reply serves a call and sends its response.
func (d dispatcher) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, handler Handler, params json.RawMessage) {
	defer d.server.endCall(len(params))
	if req.Method == MethodConfig && d.configs != nil {
		select {
		case d.configs <- struct{}{}:
			defer func() { <-d.configs }()
		case <-conn.DisconnectNotify():
			return
		}
	}
	value, err := handler(ctx, d.session, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, value)
}

// DecodeParams parses the parameters of a message. Its error is result.BadRequest with
// the verdict "not run".
func DecodeParams[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, result.Errorf(result.BadRequest, "decode parameters of message: %v", err)
	}
	return value, nil
}
