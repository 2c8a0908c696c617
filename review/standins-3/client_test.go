//go:build review

package cases

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at the path.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	return &Record{file: f, start: time.Now()}
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// At returns the time of an instant as the record shows it.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// Troubled reports whether the script shall play its disruption.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }

// Call is one call of a client, on a new connection.
type Call struct {
	Method, Front, Host, Path, Key, ID string
	Header                             map[string]string
	Body                               []byte
	Timeout                            time.Duration
}

// Answer is what the client got. Err is set without a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// client opens a new connection for each call.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Do makes the call.
func (c Call) Do() Answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Front+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = c.Host
	if c.Key != "" {
		req.Header.Set("Authorization", "Token "+c.Key)
	}
	if c.ID != "" {
		req.Header.Set("Request-Id", c.ID)
	}
	for k, v := range c.Header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}

// Item is an item of a batch job on the wire.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// NewItems returns n items of a job, each with the number of events.
func NewItems(job, prefix string, n, events int) []Item {
	items := make([]Item, n)
	for i := range items {
		id := fmt.Sprintf("%s%04x", job, i)
		items[i] = Item{
			ID: id, Path: prefix + "item", Body: []byte("body of " + id), Tokens: int64(350 + events),
			Headers: map[string]string{
				"Model": "m", "Token-Count": "350," + strconv.Itoa(events), "Prompt-Prefix": fmt.Sprintf("a0:100,%s:250", id),
			},
		}
	}
	return items
}

// EncodeJob returns the body of a submission.
func EncodeJob(items []Item) []byte {
	data, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	return data
}
