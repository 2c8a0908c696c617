// Package job keeps batch jobs in the store: their acceptance, the results of their items
// in a fixed order, and their end. Each job has one head row, and every change of the job
// is conditional on the head's version. A job thus has one history even if several
// daemons change it at once.
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
	// Route is the name of the route on which the job was submitted.
	Route string `json:"route"`
	// Owner is the incarnation of the daemon that runs the items.
	Owner string `json:"owner"`
	// Submitted is when the job was accepted, on the store's clock.
	Submitted time.Duration `json:"submitted"`
	// DueAfter is the time from Submitted to when all results are due.
	DueAfter time.Duration `json:"due"`
	// Total is the number of items.
	Total int `json:"total"`
	// Done lists the indexes of the items that have a result, in the order of the
	// results.
	Done []int `json:"done"`
	// RemainingTokens is the sum of the tokens of the items without a result.
	RemainingTokens int64 `json:"waiting"`
	// Ended is set when the caller ended the job.
	Ended bool `json:"ended,omitempty"`
	// PayloadRows is the number of rows that hold the items.
	PayloadRows int `json:"chunks"`
}

// IsOpen reports whether items of the job still have to run.
func (h *Head) IsOpen() bool { return !h.Ended && len(h.Done) < h.Total }

// WaitingTokens returns the tokens that count against the workspace's limit: those of the
// items without a result, or 0 if the job is not open.
func (h *Head) WaitingTokens() int64 {
	if !h.IsOpen() {
		return 0
	}
	return h.RemainingTokens
}

// VersionedHead is a head with the version of its row.
type VersionedHead struct {
	Head
	Version int64
}

// DecodeHead decodes the value of a head row.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("decode head of a batch job: %w", err)
	}
	return h, nil
}

// Item is one request of a job.
type Item struct {
	// ID identifies the item. It is also the ID of the item's request to an engine.
	ID string `json:"id"`
	// Path is the path and query of the request.
	Path string `json:"path"`
	// Header holds the headers of the request, one value each.
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	// Tokens is the item's size in tokens, as counted against the workspace's limit.
	Tokens int64 `json:"tokens"`
}

// State is the final state of an item.
type State string

const (
	// Completed means that the item's whole output was received.
	Completed State = "completed"
	// GivenUp means that the item will not be run again. Its result has no output.
	GivenUp State = "given_up"
)

// Result is the final state of one item with its output. It is stored as JSON under the
// Go names of its fields.
type Result struct {
	// ID is the ID of the item.
	ID    string
	State State
	// Output is the data of all events, separated by line feeds. It is empty for an item
	// that was given up.
	Output string
}

// Page is a range of a job's results.
type Page struct {
	// Total is the number of items of the job.
	Total int
	// Results are the results from the requested position on.
	Results []Result
	// Next is the position after the last result.
	Next int
}
