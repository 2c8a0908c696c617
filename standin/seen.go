package standin

import (
	"net/http"
	"sync"
	"time"
)

// Seen is a request as an engine or service received it.
type Seen struct {
	// ID is the request's X-Request-Id.
	ID string `json:"id"`
	// Path is the request's path.
	Path string `json:"path"`
	// Prompt is the last text of the request.
	Prompt string `json:"prompt"`
	// Running is the number of requests at the engine when this one arrived,
	// itself included.
	Running int `json:"running,omitempty"`
	// Key tells whether the request carried an Authorization header.
	Key bool `json:"key"`
	// At is when the request arrived.
	At time.Time `json:"at"`
	// Done tells whether the whole answer was sent.
	Done bool `json:"done"`
}

// seenLog records received requests.
type seenLog struct {
	mu   sync.Mutex
	list []Seen
}

func (l *seenLog) add(r *http.Request, prompt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, Seen{
		ID:     r.Header.Get("X-Request-Id"),
		Path:   r.URL.RequestURI(),
		Prompt: prompt,
		Key:    r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "",
		At:     time.Now(),
	})
	return len(l.list) - 1
}

func (l *seenLog) running(i int, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list[i].Running = int(n)
}

func (l *seenLog) done(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list[i].Done = true
}

func (l *seenLog) all() []Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Seen{}, l.list...)
}
