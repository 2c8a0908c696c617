package bucket

import (
	"math"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// Estimate is the shared bucket as one daemon computes it from the requests that it
// saw all daemons admit. It bounds admissions while the store is unavailable. The
// zero value is an empty bucket. It is a value: the methods return a new estimate.
type Estimate struct {
	tokens    float64
	admitted  int64
	updatedAt clock.Instant // 0 before the first update
}

// Next returns the estimate at now. Admitted is the total number of requests that all
// daemons were seen to admit; reporting is the fraction of the daemons whose reports of
// admissions arrive. Only that fraction of the rate is added, so that a daemon that
// gets the reports of few others admits less.
func (e Estimate) Next(l Limit, reporting float64, admitted int64, now clock.Instant) Estimate {
	next := Estimate{tokens: e.tokens, admitted: admitted, updatedAt: now}
	if e.updatedAt == 0 {
		return next
	}
	added := l.Rate * reporting * now.Sub(e.updatedAt).Seconds()
	used := float64(admitted - e.admitted)
	next.tokens = math.Min(e.tokens+added-used, l.Burst)
	next.tokens = math.Max(next.tokens, -l.Burst-maxLateTokens)
	return next
}

// RaisedTo returns the estimate raised to the given tokens if it is lower. It is used
// after the store has returned a shared bucket that holds as many.
func (e Estimate) RaisedTo(tokens float64) Estimate {
	e.tokens = math.Max(e.tokens, tokens)
	return e
}

// EvenShare returns how many tokens one of the daemons may use at once: its even part
// of all tokens, but at least one if there is one, so that a few callers need not wait.
func (e Estimate) EvenShare(daemons int) int {
	if e.tokens < 1 {
		return 0
	}
	return max(int(e.tokens)/max(daemons, 1), 1)
}

// overdraftFraction is the fraction of the burst from which daemons may admit
// requests as an overdraft. What they admit this way can exceed the limit
// by no more than the rest of the burst.
const overdraftFraction = 0.75

// AllowsOverdraft reports whether so many tokens are left that a few requests may be
// admitted as an overdraft, before their tokens are taken from the shared bucket.
func (e Estimate) AllowsOverdraft(l Limit) bool {
	return e.tokens >= 1 && e.tokens >= overdraftFraction*l.Burst
}

// Wait returns how long it takes until the bucket holds one token, or 0 if it holds
// one or none is ever added.
func (e Estimate) Wait(l Limit) time.Duration { return State{Tokens: e.tokens}.Wait(l) }

// Tokens returns the number of tokens at the last update. It is negative while the daemons
// admitted more than was added.
func (e Estimate) Tokens() float64 { return e.tokens }

// Age returns the time since the last update, or 0 before the first one.
func (e Estimate) Age(now clock.Instant) time.Duration {
	if e.updatedAt == 0 {
		return 0
	}
	return now.Sub(e.updatedAt)
}
