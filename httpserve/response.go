package httpserve

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// response is the http.ResponseWriter of a handler. It belongs to the goroutine of the
// handler.
type response struct {
	http.ResponseWriter
	received time.Time
	body     *requestBody // whose rest is read before the response begins, or nil
	maxRest  int64        // bytes of that
	begun    bool         // the status was written
	failed   bool         // a part could not be written
	written  int64        // bytes of the body
}

// begin reads the rest of the request's body before the response begins.
func (w *response) begin() {
	if !w.begun && w.body != nil {
		w.body.readRest(w.ResponseWriter, w.maxRest)
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if status >= http.StatusOK { // others are interim responses
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(data []byte) (int, error) {
	w.begin()
	n, err := w.ResponseWriter.Write(data)
	w.written += int64(n)
	w.failed = w.failed || err != nil
	return n, err
}

// Flush implements http.Flusher, which go-zero requires of a writer.
func (w *response) Flush() { _ = w.FlushError() }

// FlushError flushes as http.ResponseController does, so that its callers learn of a
// connection that is closed.
func (w *response) FlushError() error {
	w.begin()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.failed = w.failed || err != nil
	return err
}

// Hijack implements http.Hijacker, which go-zero requires of a writer whose connection a
// handler takes over.
func (w *response) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return http.NewResponseController(w.ResponseWriter).Hijack()
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
		resp := s.newResponse(w, r)
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

// newResponse returns the writer of the response to r. If the rest of the body is to be
// read, it replaces the body of r.
func (s *Server) newResponse(w http.ResponseWriter, r *http.Request) *response {
	resp := &response{ResponseWriter: w, received: time.Now()}
	if s.maxBody == nil || r.Body == http.NoBody {
		return resp
	}
	resp.maxRest = s.maxBody()
	resp.body = &requestBody{ReadCloser: r.Body}
	r.Body = resp.body
	return resp
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
	case s.stopCause != nil && errors.Is(context.Cause(r.Context()), s.stopCause):
		return endStopTimeout
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
