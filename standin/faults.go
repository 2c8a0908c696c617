// Package standin holds small stand-ins of the outside systems: the platform's
// services, a model engine and a plain service. They serve the demo, the tests
// and measurements, and bring about failures on request.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/timer"
)

// FaultsPath is where a stand-in's failures are switched.
const FaultsPath = "/faults"

// Faults are the failures that a stand-in brings about.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// Delay is added to every answer.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of next writes that take effect without an
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// Cold puts an engine into cold start.
	Cold bool `json:"cold"`
	// CutStreams is the number of next streams that end without their last
	// event.
	CutStreams int `json:"cut_streams"`
	// CrossAnswers is the number of next answers that carry another request's
	// identity.
	CrossAnswers int `json:"cross_answers"`
}

// faultSwitch holds the current failures.
type faultSwitch struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces the failures.
func (s *faultSwitch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Get returns the failures.
func (s *faultSwitch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take counts a failure down and returns whether it was due.
func (s *faultSwitch) take(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *faultSwitch) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: FaultsPath, Handler: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, s.Get())
		}},
		{Method: http.MethodPost, Path: FaultsPath, Handler: func(w http.ResponseWriter, r *http.Request) {
			var f Faults
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.Set(f)
			w.WriteHeader(http.StatusNoContent)
		}},
	}
}

// guard applies an outage and a delay before the handler.
func (s *faultSwitch) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Get()
		if f.Delay > 0 && !wait(r, f.Delay) {
			return
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// wait waits for d and returns whether the caller is still there.
func wait(r *http.Request, d time.Duration) bool { return timer.Sleep(r.Context(), d) }

// dropAnswer closes the connection without an answer.
func dropAnswer(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
