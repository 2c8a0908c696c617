// Package httpserve provides HTTP servers and clients on top of go-zero, with the limits
// and defaults that all processes of the system share.
package httpserve

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/budget"
)

// goZeroShutdownDelay is how long go-zero waits before it shuts down after a signal. It
// is longer than any shutdown of a daemon, so that the daemon itself drains its work and
// decides when the process exits.
const goZeroShutdownDelay = 24 * time.Hour

const (
	maxHeaderBytes     = 64 << 10
	defaultIdleTimeout = 2 * time.Minute
)

// init disables go-zero's log and delays its signal handling in every process that
// imports the package.
func init() {
	logx.Disable()
	proc.Setup(proc.ShutdownConf{WrapUpTime: goZeroShutdownDelay, WaitTime: 2 * goZeroShutdownDelay})
}

// Options configures a Server.
type Options struct {
	// ReadHeaderTimeout limits the time to read a request's header. 0 means no limit.
	ReadHeaderTimeout time.Duration
	// IdleTimeout limits the time between a response and the next request of a connection.
	// 0 means two minutes.
	IdleTimeout time.Duration
	// Pool bounds the connections of the server and what they hold. If it is nil, they have no
	// bounds.
	Pool *budget.Pool
	// MaxHead returns the size in bytes of the largest head of a request, at most 64 KiB, which
	// also holds if it is nil or returns 0.
	MaxHead func() int
	// Timeouts returns the current timeouts, which hold where they are longer than
	// ReadHeaderTimeout and IdleTimeout, also on open connections. It may be nil.
	Timeouts func() Timeouts
	// NotFound serves requests whose path matches no route. If it is nil, go-zero
	// answers them.
	NotFound http.Handler
	// MethodNotAllowed serves requests whose path matches a route of another method only.
	// If it is nil, go-zero answers them.
	MethodNotAllowed http.Handler
	// OnPanic responds to a request whose handler panicked before its response had begun.
	// If it is nil, the response is status 500.
	OnPanic http.Handler
	// MaxBody returns the size in bytes of the longest body that is read to its end before a
	// response that does not need it. If it is nil, such a response is sent at once.
	MaxBody func() int64
	// StopCause, if not nil, is the cause with which the contexts of the requests that still
	// run at the end of Shutdown are cancelled. Their handlers then have a short time to
	// respond before the connections are closed.
	StopCause error
	// Ends records the requests that end without a complete response. If it is nil, they
	// are not recorded.
	Ends *EndLog
}

// Server serves routes on a listener of its own. Its methods may be called from several
// goroutines.
type Server struct {
	http     http.Server
	listener net.Listener
	ends     *EndLog
	maxBody  func() int64
	timeouts func() Timeouts // or nil
	pool     *budget.Pool
	headSize func() int // or nil
	draining atomic.Bool
	done     chan struct{} // closed when serve returns
	// cancelRequests cancels the contexts of all requests; stopCause is its cause, or nil.
	cancelRequests context.CancelCauseFunc
	stopCause      error
	err            error // returned by http.Server.Serve; written before done is closed, read after

	running   atomic.Int64             // requests in the handler
	closedFor atomic.Pointer[endCause] // why the connections were closed, or nil
	idle      chan struct{}            // has a value once the last request ended after that
}

// Listen starts a server for the routes at the address, HOST:PORT. It returns an error
// if it cannot listen there or go-zero does not accept the routes. The caller ends the
// server with Shutdown or Close.
func Listen(address string, routes []rest.Route, opts Options) (*Server, error) {
	handler, err := newRouter(routes, opts)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	requests, cancelRequests := context.WithCancelCause(context.Background())
	s := &Server{
		http: http.Server{
			BaseContext:       func(net.Listener) context.Context { return requests },
			ReadHeaderTimeout: opts.ReadHeaderTimeout,
			IdleTimeout:       cmp.Or(opts.IdleTimeout, defaultIdleTimeout),
			MaxHeaderBytes:    maxHeaderBytes,
		},
		timeouts: opts.Timeouts,
		pool:     opts.Pool,
		headSize: opts.MaxHead,
		ends:     opts.Ends,
		maxBody:  opts.MaxBody,
		done:     make(chan struct{}),
		idle:     make(chan struct{}, 1),

		cancelRequests: cancelRequests,
		stopCause:      opts.StopCause,
	}
	if s.ends != nil {
		s.http.ErrorLog = s.ends.log.Std("", 0)
	}
	s.listener = &callerListener{TCPListener: listener.(*net.TCPListener), server: s}
	s.http.ConnState = followConnState
	if opts.OnPanic == nil {
		opts.OnPanic = http.HandlerFunc(internalError)
	}
	s.http.Handler = s.closeWhenDraining(s.watch(handler, opts.OnPanic))
	go s.serve()
	return s, nil
}

// maxHead returns the size of the largest head of a request.
func (s *Server) maxHead() int {
	if s.headSize == nil {
		return maxHeaderBytes
	}
	return min(cmp.Or(s.headSize(), maxHeaderBytes), maxHeaderBytes)
}

// serve accepts connections until the server is shut down or closed.
func (s *Server) serve() {
	defer close(s.done)
	s.err = s.http.Serve(s.listener)
}

// newRouter returns a handler that passes requests to the routes. It does not recover from
// their panics: go-zero's middleware would complete a response that was given up.
func newRouter(routes []rest.Route, opts Options) (http.Handler, error) {
	var run []rest.RunOption
	if opts.NotFound != nil {
		run = append(run, rest.WithNotFoundHandler(opts.NotFound))
	}
	if opts.MethodNotAllowed != nil {
		run = append(run, rest.WithNotAllowedHandler(opts.MethodNotAllowed))
	}
	server, err := rest.NewServer(rest.RestConf{}, run...)
	if err != nil {
		return nil, fmt.Errorf("set up http server: %w", err)
	}
	logx.Disable() // rest.NewServer sets up the log again
	server.AddRoutes(routes)
	built, err := rest.NewServerless(server)
	if err != nil {
		return nil, fmt.Errorf("build http routes: %w", err)
	}
	return http.HandlerFunc(built.Serve), nil
}

// closeWhenDraining returns a handler that calls next and, once DisableKeepAlives was
// called, closes the connection after the response.
func (s *Server) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// DisableKeepAlives closes each connection after the next response on it, so that callers
// connect to another server without losing a request.
func (s *Server) DisableKeepAlives() { s.draining.Store(true) }

// Addr returns the address on which the server listens, with the port that the system
// chose if Listen was given port 0.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections and waits until all running requests have ended.
// If ctx is done before, it lets their handlers respond, if Options.StopCause is set, closes
// the remaining connections and returns the error of ctx. The returned error also holds the
// one with which the server failed earlier, if any.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil && !s.answerRest() {
		s.closeFor(endStopTimeout)
	}
	<-s.done
	if !errors.Is(s.err, http.ErrServerClosed) {
		err = errors.Join(err, s.err)
	}
	return err
}

// answerTimeout bounds the time in which the handlers respond whose requests were cancelled.
const answerTimeout = 150 * time.Millisecond

// answerRest cancels the requests that still run, so that their handlers respond, and waits
// for these responses. It reports whether all requests have ended.
func (s *Server) answerRest() bool {
	if s.stopCause == nil {
		return false
	}
	s.cancelRequests(s.stopCause)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return s.http.Shutdown(ctx) == nil
}

// Close closes the listener and all connections without waiting for running requests to
// complete.
func (s *Server) Close() {
	s.closeFor(endClosed)
	<-s.done
}

// handlerEndTimeout bounds the wait for handlers whose connections were closed, so that their
// ends are recorded.
const handlerEndTimeout = 200 * time.Millisecond

// closeFor closes the listener and all connections, and waits until the handlers have ended,
// at most handlerEndTimeout.
func (s *Server) closeFor(cause endCause) {
	s.closedFor.CompareAndSwap(nil, &cause)
	s.http.Close()
	timeout := time.NewTimer(handlerEndTimeout)
	defer timeout.Stop()
	for s.running.Load() > 0 {
		select {
		case <-s.idle:
		case <-timeout.C:
			return
		}
	}
}

// requestEnded counts a request less, and wakes closeFor after the last one.
func (s *Server) requestEnded() {
	if s.running.Add(-1) > 0 || s.closedFor.Load() == nil {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}
