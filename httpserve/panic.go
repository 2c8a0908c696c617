package httpserve

import "net/http"

// response is the http.ResponseWriter of a handler. It belongs to the goroutine of the
// handler.
type response struct {
	http.ResponseWriter
	begun bool // the status was written
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
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher, which go-zero requires of a writer.
func (w *response) Flush() {
	w.begun = true
	_ = http.NewResponseController(w.ResponseWriter).Flush() // the next write fails too
}

// Unwrap returns the writer of net/http for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverPanics returns a handler that calls next. If next panics before its response has
// begun, the response is that of onPanic. Otherwise the connection is closed, so that the
// response does not look complete.
func recoverPanics(next, onPanic http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := &response{ResponseWriter: w}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value == http.ErrAbortHandler || resp.begun {
				panic(http.ErrAbortHandler)
			}
			clear(resp.Header())
			resp.Header().Set("Connection", "close")
			onPanic.ServeHTTP(resp, r)
		}()
		next.ServeHTTP(resp, r)
	})
}

// internalError responds with status 500.
func internalError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}
