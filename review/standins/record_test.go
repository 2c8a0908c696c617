//go:build review

package cases

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what happens to a file, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	lines   []line
}

// line is a line of the record.
type line struct {
	at   time.Duration
	text string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := line{time.Since(r.started), fmt.Sprintf(format, args...)}
	r.lines = append(r.lines, l)
	fmt.Fprintf(r.file, "%9.3f  %s\n", l.at.Seconds(), l.text)
}

// since returns the time since the last line of an engine that contains all texts, or a very
// long time if there is none.
func (r *record) since(texts ...string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.lines) - 1; i >= 0; i-- {
		l := r.lines[i]
		matches := strings.HasPrefix(l.text, "engine ")
		for _, text := range texts {
			matches = matches && strings.Contains(l.text, text)
		}
		if matches {
			return time.Since(r.started) - l.at
		}
	}
	return 1<<62 - 1
}

// say writes to the file and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
