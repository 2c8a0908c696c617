package standin

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/httpserve"
)

// Service is a stand-in for a plain HTTP service. It records its calls. Its methods may be
// called from several goroutines.
type Service struct {
	faultInjector
	server   *httpserve.Server
	requests requestLog
	time     time.Duration // duration of one call
}

// StartService starts the service on the listen address. Each call takes the given
// duration. It fails if the address cannot be listened on.
func StartService(address string, duration time.Duration) (*Service, error) {
	s := &Service{time: duration}
	server, err := httpserve.Listen(address, s.routes(), httpserve.Options{
		NotFound: s.withFaults(s.handleCall),
	})
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// URL returns the base URL of the service.
func (s *Service) URL() string { return "http://" + s.server.Addr() }

// Shutdown waits for the running calls to end and stops the service. It returns an error
// if ctx ends first.
func (s *Service) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close stops the service at once and cuts its calls.
func (s *Service) Close() { s.server.Close() }

// ReceivedRequests returns a copy of the list of calls that the service received, oldest
// first.
func (s *Service) ReceivedRequests() []ReceivedRequest { return s.requests.all() }

func (s *Service) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/health", Handler: s.withFaults(func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, map[string]string{"state": "ready"})
		})},
		{Method: http.MethodGet, Path: "/seen", Handler: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, s.requests.all())
		}},
	}
	return append(routes, s.faultInjector.routes()...)
}

// handleCall records the call, waits for the duration of a call and echoes the request. If
// DropResponses applies, the call is recorded but gets no response.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	entry := s.requests.add(r, string(body))
	if !wait(r, s.time) {
		return
	}
	if s.takeFault(func(f *Faults) *int { return &f.DropResponses }) {
		dropConnection(w)
		return
	}
	s.requests.setDone(entry)
	writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path, "method": r.Method, "body": string(body)})
}
