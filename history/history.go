// Package history records what callers, operators and upstreams observed during a
// concurrent test run, and checks these records against the system's guarantees.
// A Check function returns nil if the history keeps its guarantee, and otherwise
// an error that describes the violations it found. The Check functions hold no
// state and may be called from several goroutines.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is how a call ended for its caller.
type Outcome uint8

const (
	// Unknown means that the caller received no answer, only a part of one, or an
	// error in an unknown format.
	Unknown Outcome = iota
	// Answered means that the caller received a complete answer.
	Answered
	// NotRun means that the request was rejected with an error that states that it
	// was not executed.
	NotRun
	// Failed means that the caller received an error and the request may have been
	// executed.
	Failed
)

var outcomeNames = [...]string{"unknown", "answered", "not run", "failed"}

// String returns the name of the outcome. It panics on a value that is not declared above.
func (o Outcome) String() string { return outcomeNames[o] }

// Call is one request as observed by its caller.
type Call struct {
	// Token is the content of the request. It is unique within the run, and upstreams
	// record it, so that a call can be matched with its arrivals.
	Token string
	// Workspace is the owner of the API key that was sent, or empty.
	Workspace string
	// NonIdempotent reports whether the request must run at most once.
	NonIdempotent bool
	// Sent and Ended are the times before the request was sent and after the call ended.
	Sent, Ended time.Time
	Outcome     Outcome
	// Answer is the content of the answer if Outcome is Answered, and otherwise the
	// name or text of the error, or the part of the answer that arrived.
	Answer string
}

// Arrival is one request as received by an upstream.
type Arrival struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Token is the content of the request, equal to the Token of its Call.
	Token string
	// HasCredential reports whether the request had a header with a credential.
	HasCredential bool
	// At is the time of arrival.
	At time.Time
}

// Recorder collects calls. The zero value is empty and ready for use. Its methods
// may be called from several goroutines.
type Recorder struct {
	mu    sync.Mutex
	calls []Call
}

// Add records c, a call that has ended.
func (r *Recorder) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns a copy of the list of recorded calls.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// Count returns the number of recorded calls with outcome o.
func (r *Recorder) Count(o Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := range r.calls {
		if r.calls[i].Outcome == o {
			n++
		}
	}
	return n
}

// UnansweredByReason returns the number of calls for each outcome other than Answered
// and each error, with keys of the form "outcome: error".
func (r *Recorder) UnansweredByReason() map[string]int {
	counts := make(map[string]int)
	for _, c := range r.Calls() {
		if c.Outcome != Answered {
			counts[c.Outcome.String()+": "+c.Answer]++
		}
	}
	return counts
}

// Summary returns the number of calls with each outcome as a text for test logs.
func (r *Recorder) Summary() string {
	return fmt.Sprintf("%d answered, %d not run, %d failed, %d unknown",
		r.Count(Answered), r.Count(NotRun), r.Count(Failed), r.Count(Unknown))
}
