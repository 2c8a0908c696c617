package standin

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/httpserve"
)

// Service is a stand-in plain service that counts its calls.
type Service struct {
	faultSwitch
	server *httpserve.Server
	log    seenLog
	time   time.Duration
}

// StartService starts the stand-in at the address. Each call takes the given
// time.
func StartService(address string, duration time.Duration) (*Service, error) {
	s := &Service{time: duration}
	server, err := httpserve.Listen(address, s.routes(), httpserve.Options{
		NotFound: s.guard(s.call),
	})
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// URL returns the service's base address.
func (s *Service) URL() string { return "http://" + s.server.Addr() }

// Shutdown stops the service after its running calls.
func (s *Service) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close stops the service at once.
func (s *Service) Close() { s.server.Close() }

// Seen returns the calls that the service received.
func (s *Service) Seen() []Seen { return s.log.all() }

func (s *Service) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/health", Handler: s.guard(func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, map[string]string{"state": "ready"})
		})},
		{Method: http.MethodGet, Path: "/seen", Handler: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, s.log.all())
		}},
	}
	return append(routes, s.faultSwitch.routes()...)
}

// call takes effect once for each request and echoes its body.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	entry := s.log.add(r, string(body))
	if !wait(r, s.time) {
		return
	}
	if s.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		dropAnswer(w)
		return
	}
	s.log.done(entry)
	writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path, "method": r.Method, "body": string(body)})
}
