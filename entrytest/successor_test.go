package entrytest

import (
	"fmt"
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

// deadAfter returns a behaviour that sends the stream up to event n and nothing more.
func deadAfter(n int) behaviour {
	return func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, n, 0)
		<-r.Context().Done()
	}
}

// slowStart returns a behaviour that sends the stream after d.
func slowStart(d time.Duration) behaviour {
	return func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		select {
		case <-time.After(d):
			stream(e, w, r, n)
		case <-r.Context().Done():
		}
	}
}

// unnumbered returns a behaviour that sends a stream whose events have no numbers, with a
// silence before event pauseAt.
func unnumbered(pauseAt int) behaviour {
	return func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range e.eventCount {
			if i == pauseAt {
				time.Sleep(engineSilence)
			}
			fmt.Fprintf(w, "data: event %d\n\n", i)
			http.NewResponseController(w).Flush()
		}
	}
}

// resume sends a request on the resumable route, which allows the number of attempts.
func (f *fleet) resume(d *entry) reply {
	return d.send(f.t.Context(), f.t, request{path: "/resume/a", key: key, header: map[string]string{"Deadline-Ms": "5000"}})
}

// TestSuccessorKeepsTheStream guards against streams that end with time left because the
// engine that took over from a silent one is slow itself, or stays silent.
func TestSuccessorKeepsTheStream(t *testing.T) {
	never := func(_ *engine, _ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
	for name, c := range map[string]struct {
		attempts      int
		first, second behaviour
	}{
		"slow, after a pause":                  {2, pauseAfter(2), slowStart(time.Second)},
		"slow, after the end":                  {2, deadAfter(2), slowStart(time.Second)},
		"slow, after a pause, one more left":   {3, pauseAfter(2), slowStart(time.Second)},
		"slow, after the end, one more left":   {3, deadAfter(2), slowStart(time.Second)},
		"silent, after a pause, one more left": {3, pauseAfter(2), never},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.config["routes"].([]object)[1]["maxAttempts"] = c.attempts
			f.publish()
			first := f.startEngine("i-1", c.first)
			d := f.start("entry-1")
			f.startSecond(first, "i-2", c.second)
			start := time.Now()
			if got := f.resume(d); got.err != nil || got.body != first.fullStream() {
				t.Errorf("after %v: %d %q %v, want the whole stream", time.Since(start), got.status, got.body, got.err)
			}
		})
	}
}

// TestUnnumberedStreamStaysAtItsSilentEngine guards against a stream that is cut because
// another engine was asked to go on, though nobody can tell it where.
func TestUnnumberedStreamStaysAtItsSilentEngine(t *testing.T) {
	f := newFleet(t)
	first := f.startEngine("i-1", unnumbered(3))
	d := f.start("entry-1")
	f.startSecond(first, "i-2", unnumbered(-1))
	if got := f.resume(d); got.err != nil || strings.Count(got.body, "event") != first.eventCount {
		t.Errorf("%d %q %v, want the whole stream", got.status, got.body, got.err)
	}
}

// TestFailingSuccessorsEndTheSilentAttempt guards against a silent engine that works on for
// seconds beside one failing engine after the other.
func TestFailingSuccessorsEndTheSilentAttempt(t *testing.T) {
	f := newFleet(t)
	f.config["routes"].([]object)[1]["maxAttempts"] = 5
	f.publish()
	ended := make(chan time.Time, 1)
	first := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		deadAfter(2)(e, w, r, n)
		ended <- time.Now()
	})
	d := f.start("entry-1")
	begun := make(chan time.Time, 10)
	fails := func(_ *engine, w http.ResponseWriter, _ *http.Request, _ int) {
		begun <- time.Now()
		time.Sleep(280 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	}
	for _, id := range []string{"i-2", "i-3", "i-4"} {
		f.startSecond(first, id, fails)
	}
	f.resume(d)
	if late := (<-ended).Sub(<-begun); late > 400*time.Millisecond {
		t.Errorf("two engines worked on the request for %v, want at most 400ms", late)
	}
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
