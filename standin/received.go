package standin

import (
	"net/http"
	"sync"
	"time"
)

// ReceivedRequest is a request that an engine or a service received.
type ReceivedRequest struct {
	// ID is the request's X-Request-Id.
	ID string `json:"id"`
	// Path is the path of the request with its query.
	Path string `json:"path"`
	// Prompt is the prompt or the last message of a completion, and the body of a call to
	// a service. It is empty for embeddings.
	Prompt string `json:"prompt"`
	// Running is the number of requests that ran at the engine when this one started,
	// including itself. It is 0 for a rejected request, for embeddings and at a service.
	Running int `json:"running,omitempty"`
	// HasCredential reports whether the request carried an Authorization or X-Api-Key
	// header.
	HasCredential bool `json:"key"`
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time `json:"at"`
	// Completed reports whether the response was sent completely. A service sets it just
	// before it sends the response.
	Completed bool `json:"done"`
}

// requestLog holds the received requests. Its methods may be called from several
// goroutines.
type requestLog struct {
	mu       sync.Mutex
	requests []ReceivedRequest
}

// add records a request and returns its index.
func (l *requestLog) add(r *http.Request, prompt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, ReceivedRequest{
		ID:            r.Header.Get("X-Request-Id"),
		Path:          r.URL.RequestURI(),
		Prompt:        prompt,
		HasCredential: r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "",
		ReceivedAt:    time.Now(),
	})
	return len(l.requests) - 1
}

// running records the number of running requests for the request with index i.
func (l *requestLog) running(i int, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[i].Running = int(count)
}

// setDone records that the response to the request with index i was sent.
func (l *requestLog) setDone(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[i].Completed = true
}

// all returns a copy of the list, oldest first.
func (l *requestLog) all() []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest{}, l.requests...)
}
