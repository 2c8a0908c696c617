// Package retry decides whether a failed request is attempted again.
package retry

import (
	"sync/atomic"

	"github.com/baobablanding/baobablanding/result"
)

// FailedAttempt describes a failed attempt of a request.
type FailedAttempt struct {
	// Attempts is the number of attempts so far, including this one, that are not
	// redirects: the upstream may have run the request or rejected it for lack of
	// room.
	Attempts int
	// MaxAttempts is the largest number of these attempts.
	MaxAttempts int
	// Redirects is the number of attempts so far, including this one, that are
	// redirects by IsRedirect.
	Redirects int
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// ResponseStarted reports whether a part of the response was passed on to the
	// caller.
	ResponseStarted bool
	// Err is why the attempt failed.
	Err *result.Error
}

// maxRedirects bounds the attempts of one request at upstreams that take no work.
const maxRedirects = 8

// ShouldRetry reports whether another attempt is safe and may succeed. If so, the
// retry must also be paid for by Budget.TryWithdraw, unless the failure is a redirect.
func ShouldRetry(a FailedAttempt) bool {
	if a.ResponseStarted || a.Attempts >= a.MaxAttempts || a.Redirects >= maxRedirects {
		return false
	}
	if a.Err.Verdict != result.NotRun && !a.Idempotent {
		return false
	}
	return mayWorkElsewhere(a.Err.Code)
}

// IsRedirect reports whether the failure only says that the upstream takes no work
// now. The failed attempt caused no load, so another one adds none to the fleet. A
// redirect therefore counts neither against MaxAttempts nor against the budget.
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

// mayWorkElsewhere reports whether another upstream may succeed where one failed
// with c.
func mayWorkElsewhere(c result.Code) bool {
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

// retryCost is the cost of one retry in the units of Budget.balance, which are
// hundredths of a retry.
const retryCost = 100

// Budget limits retries to a percentage of requests. It is safe for concurrent
// use without locks. Its zero value is an empty budget.
type Budget struct {
	balance atomic.Int64 // hundredths of a retry
}

// maxBalance bounds the saved balance to 20 retries, which is also the largest burst
// of retries.
const maxBalance = 20 * retryCost

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := new(Budget)
	b.balance.Store(maxBalance)
	return b
}

// Deposit adds the percent hundredths of a retry that one request allows.
func (b *Budget) Deposit(percent int) {
	for {
		old := b.balance.Load()
		if b.balance.CompareAndSwap(old, min(old+int64(percent), maxBalance)) {
			return
		}
	}
}

// TryWithdraw takes one retry from the budget. It returns false if less than one is
// left.
func (b *Budget) TryWithdraw() bool {
	if b.balance.Add(-retryCost) >= 0 {
		return true
	}
	b.balance.Add(retryCost)
	return false
}
