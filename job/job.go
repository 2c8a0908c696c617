// Package job keeps batch jobs in the store: their acceptance, their results by
// position and their end. Each job has one head row that every change of the job
// is conditional on, so that a job has one history whatever daemons do.
package job

import (
	"encoding/json"
	"fmt"
	"time"
)

// Tables of batch jobs. The part of a row is the job's workspace.
const (
	HeadTable    = "job-heads"
	payloadTable = "job-payloads"
	resultTable  = "job-results"
)

// MaxItems is the largest number of items in one job.
const MaxItems = 200

// Key identifies a job.
type Key struct {
	Workspace string
	ID        string
}

// Head is the state of a job.
type Head struct {
	// Route is the name of the route that took the job.
	Route string `json:"route"`
	// Owner is the incarnation of the daemon that runs the items.
	Owner string `json:"owner"`
	// Submitted is the store's clock when the job was accepted.
	Submitted time.Duration `json:"submitted"`
	// Due is how long after Submitted all results are due.
	Due time.Duration `json:"due"`
	// Total is the number of items.
	Total int `json:"total"`
	// Done lists the items that have a result, in the order of their results.
	Done []int `json:"done"`
	// Waiting is the number of tokens of the items without a result.
	Waiting int64 `json:"waiting"`
	// Ended tells that the caller ended the job.
	Ended bool `json:"ended,omitempty"`
	// Chunks is the number of rows that hold the items.
	Chunks int `json:"chunks"`
}

// Open tells whether items of the job still have to run.
func (h *Head) Open() bool { return !h.Ended && len(h.Done) < h.Total }

// WaitingTokens returns the tokens that count against the workspace's limit.
func (h *Head) WaitingTokens() int64 {
	if !h.Open() {
		return 0
	}
	return h.Waiting
}

// Versioned is a head with the version of its row.
type Versioned struct {
	Head
	Version int64
}

// DecodeHead returns the head that the row's value holds.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("decode head of a batch job: %w", err)
	}
	return h, nil
}

// Item is one request of a job.
type Item struct {
	// ID identifies the item and its request at the engine.
	ID string `json:"id"`
	// Path is the path and query at the engine.
	Path string `json:"path"`
	// Header holds the headers of the request.
	Header map[string]string `json:"header"`
	// Body is the body of the request.
	Body []byte `json:"body"`
	// Tokens is the size of the item.
	Tokens int64 `json:"tokens"`
}

// State is how an item ended.
type State string

const (
	// Completed items have their whole output.
	Completed State = "completed"
	// GivenUp items have none.
	GivenUp State = "given_up"
)

// Result is the end of one item.
type Result struct {
	// ID is the item's.
	ID string
	// State tells how the item ended.
	State State
	// Output is the data of all events, separated by line feeds.
	Output string
}

// Page is a part of a job's results.
type Page struct {
	// Total is the number of items of the job.
	Total int
	// Results are those from the asked position on.
	Results []Result
	// Next is the position after the last result.
	Next int
}
