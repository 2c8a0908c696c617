// Package standin contains small stand-ins for the systems outside of the project: the
// services of the platform, a model engine and a plain HTTP service. The demo, the tests
// and the measurements use them. They inject faults on request.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/timer"
)

// FaultsPath is the HTTP path at which a stand-in serves its Faults (GET) and replaces
// them (POST).
const FaultsPath = "/faults"

// Faults are the faults that a stand-in injects. The zero value injects none. Requests that
// control a stand-in (FaultsPath, /seen and PUT of the VM list) are not affected.
type Faults struct {
	// Outage rejects every request with status 503.
	Outage bool `json:"outage"`
	// Delay is how long every request waits before it is handled. JSON has it in
	// nanoseconds.
	Delay time.Duration `json:"delay"`
	// DropResponses is the number of next writes, or calls of a Service, that take effect
	// but get no response.
	DropResponses int `json:"lose_answers"`
	// Cold puts an engine into cold start.
	Cold bool `json:"cold"`
	// TruncateStreams is the number of next streams that end without their last event.
	TruncateStreams int `json:"cut_streams"`
	// MixUpResponses is the number of next completions that carry the request ID and the
	// content of another request.
	MixUpResponses int `json:"cross_answers"`
}

// faultInjector holds the current faults of a stand-in. Its methods may be called from
// several goroutines.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the current faults.
func (i *faultInjector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// CurrentFaults returns the current faults.
func (i *faultInjector) CurrentFaults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// takeFault decrements a counter of the faults and reports whether it was above 0, that
// is whether the fault applies now.
func (i *faultInjector) takeFault(field func(*Faults) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := field(&i.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// routes returns the routes of FaultsPath.
func (i *faultInjector) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: FaultsPath, Handler: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, i.CurrentFaults())
		}},
		{Method: http.MethodPost, Path: FaultsPath, Handler: func(w http.ResponseWriter, r *http.Request) {
			var f Faults
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			i.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}},
	}
}

// withFaults returns next with the injected delay, and after it the injected outage.
func (i *faultInjector) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := i.CurrentFaults()
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

// wait waits for d. It returns false early if the request is cancelled.
func wait(r *http.Request, d time.Duration) bool { return timer.Sleep(r.Context(), d) }

// dropConnection closes the connection without a response, or in the middle of one.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// writeJSON writes a response with the value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
