package entrytest

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startSecond starts a second engine once the first one has received a request.
func (f *fleet) startSecond(first *engine, id string, behave behaviour) {
	go func() {
		for first.count() == 0 && f.t.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		f.startEngine(id, behave)
	}()
}

// resume sends a request on the resumable route, which allows the number of attempts.
func (f *fleet) resume(d *entry) reply {
	return d.send(f.t.Context(), f.t, request{path: "/resume/a", key: key, header: map[string]string{"Deadline-Ms": "5000"}})
}

// TestEventsDoNotFollowABody guards against events of one engine that are appended to a
// long body, that is no stream and broke off, of another one.
func TestEventsDoNotFollowABody(t *testing.T) {
	for name, length := range map[string]string{"with a length": "600000", "without a length": ""} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first := f.startEngine("i-1", func(_ *engine, w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Content-Type", "application/json")
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 400<<10))
				http.NewResponseController(w).Flush()
				time.Sleep(200 * time.Millisecond)
				panic(http.ErrAbortHandler)
			})
			d := f.start("entry-1")
			f.startSecond(first, "i-2", stream)
			if got := f.resume(d); got.err == nil {
				t.Errorf("looks complete: %d, %d bytes, ends with %q", got.status, len(got.body), got.body[max(0, len(got.body)-60):])
			}
		})
	}
}
