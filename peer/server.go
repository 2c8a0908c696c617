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

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobablanding/baobablanding/result"
)

// Handler serves one method. For a notification its result is dropped. The
// context ends when the remote process disconnects.
type Handler func(ctx context.Context, from *Session, params json.RawMessage) (any, error)

// Handlers maps methods to handlers.
type Handlers map[string]Handler

// Session is one connection with another process.
type Session struct {
	conn *jsonrpc2.Conn
	// Remote is the remote address.
	Remote string
}

// Notify sends a notification. It returns an error when the connection is
// lost.
func (s *Session) Notify(ctx context.Context, method string, params any) error {
	return s.conn.Notify(ctx, method, params)
}

// Call sends a request and waits for its answer, which it decodes into value.
func (s *Session) Call(ctx context.Context, method string, params, value any) error {
	if err := s.conn.Call(ctx, method, params, value); err != nil {
		return decodeError(err)
	}
	return nil
}

// Done returns a channel that is closed when the connection is lost.
func (s *Session) Done() <-chan struct{} { return s.conn.DisconnectNotify() }

var silent = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Server accepts connections from other processes.
type Server struct {
	listener net.Listener
	handlers Handlers
	connect  func(*Session)
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// Listen starts to serve the handlers at the address. If connect is not nil,
// it is called for each new connection.
func Listen(address string, handlers Handlers, connect func(*Session)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener,
		handlers: handlers,
		connect:  connect,
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*Session]struct{}),
	}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.open(conn)
	}
}

func (s *Server) open(conn net.Conn) {
	session := &Session{Remote: conn.RemoteAddr().String()}
	stream := newStream(conn)
	ready := make(chan struct{})
	handler := dispatcher{session: session, handlers: s.handlers, ready: ready}
	session.conn = jsonrpc2.NewConn(s.ctx, stream, handler, silent)
	close(ready)
	s.mu.Lock()
	s.sessions[session] = struct{}{}
	s.mu.Unlock()
	if s.connect != nil {
		s.connect(session)
	}
	s.wg.Add(1)
	go s.forget(session)
}

func (s *Server) forget(session *Session) {
	defer s.wg.Done()
	<-session.Done()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

// Sessions returns the connections that are open, in no particular order.
func (s *Server) Sessions() []*Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.sessions))
}

// Askers returns what asks each connected process.
func (s *Server) Askers() []Asker {
	var askers []Asker
	for _, session := range s.Sessions() {
		askers = append(askers, session.Call)
	}
	return askers
}

// Broadcast sends a notification on every connection. Connections that are
// lost are passed over.
func (s *Server) Broadcast(ctx context.Context, method string, params any) {
	for _, session := range s.Sessions() {
		_ = session.Notify(ctx, method, params)
	}
}

// Close stops listening and closes every connection.
func (s *Server) Close() {
	s.listener.Close()
	s.cancel()
	s.wg.Wait()
}

// dispatcher hands messages to handlers: a call on a goroutine of its own, a
// notification at once and in order.
type dispatcher struct {
	session  *Session
	handlers Handlers
	ready    <-chan struct{}
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
	if req.Notif {
		_, _ = handler(ctx, d.session, params)
		return
	}
	go d.reply(ctx, conn, req.ID, handler, params)
}

func (d dispatcher) reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, handler Handler, params json.RawMessage) {
	value, err := handler(ctx, d.session, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, encodeError(err))
		return
	}
	_ = conn.Reply(ctx, id, value)
}

// Decode parses the parameters of a message. The error says that nothing was
// run.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, result.Errorf(result.BadRequest, "decode message: %v", err)
	}
	return value, nil
}
