package httpserve

import (
	"net/http"
	"time"
)

// response is the http.ResponseWriter of a handler. It belongs to the goroutine of the
// handler.
type response struct {
	http.ResponseWriter
	received time.Time
	begun    bool  // the status was written
	failed   bool  // a part could not be written
	written  int64 // bytes of the body
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if status >= http.StatusOK { // others are interim responses
		w.begun = true
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(data []byte) (int, error) {
	w.begun = true
	n, err := w.ResponseWriter.Write(data)
	w.written += int64(n)
	w.failed = w.failed || err != nil
	return n, err
}

// Flush implements http.Flusher, which go-zero requires of a writer.
func (w *response) Flush() {
	w.begun = true
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		w.failed = true
	}
}

// Unwrap returns the writer of net/http for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// watch returns a handler that calls next, and records a request that ends without a
// complete response. If next panics before its response has begun, the response is that of
// onPanic. After any other panic the connection is closed, so that the response does not
// look complete.
func (s *Server) watch(next, onPanic http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.requestEnded()
		resp := &response{ResponseWriter: w, received: time.Now()}
		defer func() {
			value := recover()
			cause := s.endCause(r, resp, value)
			if cause != "" {
				s.ends.record(r, resp, cause, value)
			}
			if value == nil {
				return
			}
			if cause != endPanicAnswered {
				panic(http.ErrAbortHandler)
			}
			clear(resp.Header())
			resp.Header().Set("Connection", "close")
			onPanic.ServeHTTP(resp, r)
		}()
		next.ServeHTTP(resp, r)
	})
}

// endCause returns why the request ended without a complete response, or "" if its response
// is complete. panicked is the value of the handler's panic, or nil.
func (s *Server) endCause(r *http.Request, resp *response, panicked any) endCause {
	closed := s.closedFor.Load()
	switch {
	case panicked != nil && panicked != http.ErrAbortHandler && resp.begun:
		return endPanic
	case panicked != nil && panicked != http.ErrAbortHandler:
		return endPanicAnswered
	case closed != nil && (panicked != nil || r.Context().Err() != nil):
		return *closed
	case panicked == nil:
		return ""
	case resp.failed || r.Context().Err() != nil:
		return endCallerGone
	default:
		return endGivenUp
	}
}

// internalError responds with status 500.
func internalError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}
