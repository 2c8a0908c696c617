package bucket

import (
	"math"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// Estimate is the shared bucket as one daemon works it out from the requests that
// it saw all daemons admit. It bounds admissions while the store does not answer.
// The zero value is an empty bucket.
type Estimate struct {
	tokens   float64
	admitted int64
	at       clock.Instant // 0 before the first update
}

// Next returns the estimate at now. The count admitted is the number of requests
// that all daemons were seen to admit so far; heard is the part of the daemons
// whose admissions are seen, and no more than that part of the rate comes in.
func (e Estimate) Next(l Limit, heard float64, admitted int64, now clock.Instant) Estimate {
	next := Estimate{tokens: e.tokens, admitted: admitted, at: now}
	if e.at == 0 {
		return next
	}
	came := l.Rate * heard * now.Sub(e.at).Seconds()
	used := float64(admitted - e.admitted)
	next.tokens = math.Min(e.tokens+came-used, l.Burst)
	next.tokens = math.Max(next.tokens, -l.Burst-heldTokens)
	return next
}

// AtLeast returns the estimate with no fewer than the given tokens, which the
// shared bucket was just seen to hold.
func (e Estimate) AtLeast(tokens float64) Estimate {
	e.tokens = math.Max(e.tokens, tokens)
	return e
}

// Part returns how many tokens one of the daemons may use at once: its even part,
// and at least one if there is one, so that few callers need not wait.
func (e Estimate) Part(daemons int) int {
	if e.tokens < 1 {
		return 0
	}
	return max(int(e.tokens)/max(daemons, 1), 1)
}

// richPart is the part of the burst above which the bucket counts as rich. What
// daemons admit without the store while it is rich can exceed the limit by no more
// than the rest.
const richPart = 0.75

// Rich tells whether so much is left that a few requests may be admitted before
// the bucket in the store is asked.
func (e Estimate) Rich(l Limit) bool { return e.tokens >= 1 && e.tokens >= richPart*l.Burst }

// Wait returns how long it takes until the bucket holds one token.
func (e Estimate) Wait(l Limit) time.Duration { return State{Tokens: e.tokens}.Wait(l) }
