package httpserve_test

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/httpserve"
)

// logText keeps the lines of a log. It may be used by several goroutines.
type logText struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// newEndLog returns an EndLog with its log and a function that returns the number of ended
// requests, by cause.
func newEndLog(t *testing.T) (*httpserve.EndLog, *logText, func() map[string]int) {
	t.Helper()
	reg, text := prometheus.NewRegistry(), new(logText)
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: text}}
	ends := httpserve.NewEndLog(reg, logger, func(r *http.Request) string { return r.URL.Path })
	return ends, text, func() map[string]int {
		families, err := reg.Gather()
		if err != nil {
			t.Fatal(err)
		}
		counts := make(map[string]int)
		for _, m := range families[0].Metric {
			if n := int(m.Counter.GetValue()); n > 0 {
				counts[m.Label[0].GetValue()] = n
			}
		}
		return counts
	}
}

// TestIncompleteResponsesAreRecorded guards against requests that end without a complete
// response and of which neither a metric nor a line of the log tells.
func TestIncompleteResponsesAreRecorded(t *testing.T) {
	begin := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
	}
	for cause, c := range map[string]struct {
		handle  http.HandlerFunc
		meet    func(*httpserve.Server) // while the handler runs, if not nil
		callFor time.Duration           // until the caller leaves
	}{
		"given_up":       {handle: func(w http.ResponseWriter, _ *http.Request) { begin(w); panic(http.ErrAbortHandler) }},
		"panic":          {handle: func(w http.ResponseWriter, _ *http.Request) { begin(w); panic("of a handler") }},
		"panic_answered": {handle: func(http.ResponseWriter, *http.Request) { panic("of a handler") }},
		"caller_gone": {callFor: 100 * time.Millisecond, handle: func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}},
		"stop_timeout": {handle: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, meet: func(s *httpserve.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if err := s.Shutdown(ctx); err == nil {
				t.Error("the shutdown waited for a request without end")
			}
		}},
		"closed": {handle: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, meet: (*httpserve.Server).Close},
	} {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			ends, text, count := newEndLog(t)
			handling := make(chan struct{})
			server := listen(t, func(w http.ResponseWriter, r *http.Request) {
				close(handling)
				c.handle(w, r)
			}, httpserve.Options{Ends: ends})
			ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(c.callFor, time.Second))
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Addr()+"/other", nil)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}()
			<-handling
			if c.meet != nil {
				c.meet(server)
			}
			<-done
			for end := time.Now().Add(5 * time.Second); len(count()) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			}
			if got := count(); len(got) != 1 || got[cause] != 1 {
				t.Errorf("counted %v, want one of %s", got, cause)
			}
			line := text.String()
			for _, want := range []string{`"request":"/other"`, `"cause":"` + cause + `"`, "request ended without a complete response"} {
				if !strings.Contains(line, want) {
					t.Errorf("the log has no %s: %s", want, line)
				}
			}
			if strings.HasPrefix(cause, "panic") && !strings.Contains(line, "ends_test.go") {
				t.Errorf("the log has no stack of the panic: %s", line)
			}
		})
	}
}
