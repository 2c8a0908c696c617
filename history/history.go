// Package history records what callers, operators and upstreams saw in a
// concurrent run and checks that the run kept the system's guarantees.
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
	// Unknown means that the caller got no answer, or only a part of one.
	Unknown Outcome = iota
	// Answered means that the caller got a whole answer.
	Answered
	// NotRun means that the caller was told that the request was not executed.
	NotRun
	// Failed means that the caller was told of a failure that may have come
	// after the execution.
	Failed
)

var outcomeNames = [...]string{"unknown", "answered", "not run", "failed"}

// String returns the name of o.
func (o Outcome) String() string { return outcomeNames[o] }

// Call is one request as its caller saw it.
type Call struct {
	// Token is content that no other call of the run has; upstreams record it.
	Token string
	// Workspace owns the key that was presented, or is empty.
	Workspace string
	// Once tells that the request is not idempotent.
	Once bool
	// Sent and Ended bound the call.
	Sent, Ended time.Time
	// Outcome is how the call ended.
	Outcome Outcome
	// Answer is the content that the caller received.
	Answer string
}

// Arrival is one request as an upstream received it.
type Arrival struct {
	// Upstream names the upstream.
	Upstream string
	// Token is the request's content.
	Token string
	// Key tells whether the request carried a credential.
	Key bool
	// At is when the request arrived.
	At time.Time
}

// Recorder collects calls from concurrent callers.
type Recorder struct {
	mu    sync.Mutex
	calls []Call
}

// Add records a call that has ended.
func (r *Recorder) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns the recorded calls.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// Count returns the number of recorded calls with the outcome.
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

// Reasons counts the calls without an answer by outcome and content.
func (r *Recorder) Reasons() map[string]int {
	counts := make(map[string]int)
	for _, c := range r.Calls() {
		if c.Outcome != Answered {
			counts[c.Outcome.String()+": "+c.Answer]++
		}
	}
	return counts
}

// Summary returns the number of calls with each outcome, for logs of tests.
func (r *Recorder) Summary() string {
	return fmt.Sprintf("%d answered, %d not run, %d failed, %d unknown",
		r.Count(Answered), r.Count(NotRun), r.Count(Failed), r.Count(Unknown))
}
