// Package httpserve wraps go-zero's HTTP server and client with the bounds and
// defaults that every process of the system uses.
package httpserve

import (
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
)

// libraryStop delays go-zero's own reaction to a signal, so that the daemon's
// planned stop decides when the process exits.
const libraryStop = 24 * time.Hour

const (
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
)

func init() {
	logx.Disable()
	proc.Setup(proc.ShutdownConf{WrapUpTime: libraryStop, WaitTime: 2 * libraryStop})
}

// Options bounds a Server.
type Options struct {
	// ReadHeaderTimeout bounds the arrival of a request's header.
	ReadHeaderTimeout time.Duration
	// NotFound serves the paths that no route matches. It may be nil.
	NotFound http.Handler
	// NotAllowed serves the methods that a path does not accept. It may be
	// nil.
	NotAllowed http.Handler
}

// Server serves routes on a listener of its own.
type Server struct {
	http     http.Server
	listener net.Listener
	leaving  atomic.Bool
	done     chan struct{} // closed when Serve has ended
	err      error         // of Serve; read after done
}

// Listen starts to serve the routes at the address and returns the server.
func Listen(address string, routes []rest.Route, opts Options) (*Server, error) {
	handler, err := newHandler(routes, opts)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		http: http.Server{
			ReadHeaderTimeout: opts.ReadHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		listener: listener,
		done:     make(chan struct{}),
	}
	s.http.Handler = s.closing(handler)
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.done)
	s.err = s.http.Serve(s.listener)
}

func newHandler(routes []rest.Route, opts Options) (http.Handler, error) {
	conf := rest.RestConf{}
	conf.Middlewares.Recover = true
	var run []rest.RunOption
	if opts.NotFound != nil {
		run = append(run, rest.WithNotFoundHandler(opts.NotFound))
	}
	if opts.NotAllowed != nil {
		run = append(run, rest.WithNotAllowedHandler(opts.NotAllowed))
	}
	server, err := rest.NewServer(conf, run...)
	if err != nil {
		return nil, fmt.Errorf("set up http server: %w", err)
	}
	logx.Disable()
	server.AddRoutes(routes)
	built, err := rest.NewServerless(server)
	if err != nil {
		return nil, fmt.Errorf("build http routes: %w", err)
	}
	return http.HandlerFunc(built.Serve), nil
}

// closing asks callers to close their connections once Leave was called.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Leave makes each later answer the last one on its connection, so that callers
// go elsewhere without losing a request.
func (s *Server) Leave() { s.leaving.Store(true) }

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections and waits until the running requests
// have ended or ctx is done. It then closes what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
	}
	<-s.done
	if !errors.Is(s.err, http.ErrServerClosed) {
		err = errors.Join(err, s.err)
	}
	return err
}

// Close closes the listener and every connection at once.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}
