// Package retry decides whether a failed request is attempted again.
package retry

import (
	"sync/atomic"

	"github.com/baobablanding/baobablanding/result"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Tries counts the attempts made so far that an upstream may have run or
	// refused for lack of room, this one included.
	Tries int
	// Limit is the largest number of tries.
	Limit int
	// Redirects counts the other attempts made so far, this one included.
	Redirects int
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Started tells that a part of the answer was passed on to the caller.
	Started bool
	// Err is why the attempt failed.
	Err *result.Error
}

// maxRedirects is the largest number of attempts of one request that ended at
// upstreams which take no work at all.
const maxRedirects = 8

// Again tells whether a further attempt is safe and may help. The caller then
// asks the budget, unless the failure was a redirect.
func Again(a Attempt) bool {
	if a.Started || a.Tries >= a.Limit || a.Redirects >= maxRedirects {
		return false
	}
	if a.Err.Verdict != result.NotRun && !a.Idempotent {
		return false
	}
	return mayHelp(a.Err.Code)
}

// IsRedirect tells whether the failure only says that the upstream takes no work
// now. A further attempt puts no load on the fleet that the first one did not
// save, so it counts neither as a try nor against the budget.
func IsRedirect(e *result.Error) bool {
	if e.Verdict != result.NotRun {
		return false
	}
	switch e.Code {
	case result.Draining, result.UpstreamLeaving, result.DataCentreOut,
		result.UnknownUpstream, result.UpstreamUnreachable:
		return true
	default:
		return false
	}
}

// mayHelp tells whether another upstream may succeed where one failed with c.
func mayHelp(c result.Code) bool {
	switch c {
	case result.UpstreamUnreachable, result.UpstreamCold, result.UpstreamLeaving,
		result.DataCentreOut, result.UpstreamFailed, result.AnswerIncomplete,
		result.OutcomeUnknown, result.UpstreamOverloaded, result.Draining, result.QueueFull,
		result.QueueTimeout, result.UnknownUpstream:
		return true
	default:
		return false
	}
}

// budgetUnit is the cost of one retry in the units of a Budget.
const budgetUnit = 100

// Budget bounds retries to a percentage of requests. It is safe for concurrent
// use without locks.
type Budget struct {
	balance atomic.Int64
}

// maxBalance is the number of retries that a quiet route may save up.
const maxBalance = 20 * budgetUnit

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() *Budget {
	b := new(Budget)
	b.balance.Store(maxBalance)
	return b
}

// Earn credits one request, which allows percent hundredths of a retry.
func (b *Budget) Earn(percent int) {
	if b.balance.Add(int64(percent)) > maxBalance {
		b.balance.Store(maxBalance)
	}
}

// Spend takes one retry from the budget and returns whether it was there.
func (b *Budget) Spend() bool {
	if b.balance.Add(-budgetUnit) >= 0 {
		return true
	}
	b.balance.Add(budgetUnit)
	return false
}
