package limits

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/policy/admit"
	"github.com/baobablanding/baobablanding/policy/share"
)

// demandSmoothing is the weight of the newest sample in the moving average of the
// demand.
const demandSmoothing = 0.1

// workspaceLimiter implements blackboard.Limiter: it admits the requests of one workspace
// by this gateway's share and measures the workspace's demand on this gateway.
type workspaceLimiter struct {
	*admit.Limiter
	name       string
	demandBits atomic.Uint64 // math.Float64bits of the average requests per second
	coalescer  coalescer
	recalledBy sync.Map // peer addresses (string) of lenders that recalled their loan
	metrics    *Metrics
}

// newWorkspaceLimiter returns a limiter that asks the home gateway with ask, which must be
// safe for concurrent use.
func newWorkspaceLimiter(name string, limiter *admit.Limiter, ask askFunc, metrics *Metrics) *workspaceLimiter {
	w := &workspaceLimiter{Limiter: limiter, name: name, metrics: metrics}
	w.coalescer.send = func(tokens int) tokenResponse { return ask(w, tokens, false) }
	return w
}

// Take implements blackboard.Limiter. It uses this gateway's share only.
func (w *workspaceLimiter) Take(now time.Time) (bool, time.Duration) {
	ok, wait := w.Limiter.Take(now)
	if ok {
		w.metrics.admittedHere.Inc()
	}
	return ok, wait
}

// TakeRemote implements blackboard.Limiter: it asks the workspace's home gateway for a
// token, and again if that does not respond. If the home grants none, it tries the local
// share, as a loan may have come with the response.
func (w *workspaceLimiter) TakeRemote(ctx context.Context) (time.Time, bool, time.Duration) {
	out := w.coalescer.takeRepeatedly(ctx, func() bool {
		ok, _ := w.Limiter.TakeUncounted(time.Now())
		return ok
	})
	if out.admitted {
		w.metrics.admittedByHome.Inc()
	} else {
		w.metrics.rejected.Inc()
	}
	return out.at, out.admitted, out.wait
}

// demand returns the moving average of the requests per second that this gateway gets.
func (w *workspaceLimiter) demand() float64 { return math.Float64frombits(w.demandBits.Load()) }

// sampleDemand adds the requests since the last sample to the moving average.
func (w *workspaceLimiter) sampleDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(w.RequestsSinceLastCall()) / elapsed.Seconds()
	w.demandBits.Store(math.Float64bits((1-demandSmoothing)*w.demand() + demandSmoothing*rate))
}

// setBase sets the base share and reports whether more is lent than the share covers.
func (w *workspaceLimiter) setBase(base share.Amount, now time.Time) (overdrawn bool) {
	if a := w.Account(); a.Base == base && len(a.Borrowed) == 0 && len(a.Lent) == 0 {
		return false
	}
	w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
		a.Base = base
		b := a.Balance()
		overdrawn = b.Rate < -roundingError || b.Burst < -roundingError
		return a, level
	})
	return overdrawn
}

// roundingError is the largest rounding error of a sum of shares, in requests per second
// and in requests of burst.
const roundingError = 1e-9

// takeFor admits requests for another gateway or an agent that asks for tokens. Batch
// items leave a reserve of tokens to online requests. When it admits none, it returns the
// time after which one may be admitted.
func (w *workspaceLimiter) takeFor(request share.Request, now time.Time) (int, time.Duration) {
	reserve := 0.0
	if request.Batch {
		reserve = share.BatchReserve(w.Held(now))
	}
	return w.TakeUpTo(now, request.Tokens, reserve)
}

// renewalRate returns the rate to borrow again from the peer, in requests per second, if
// its loan ends within renewBefore. It returns 0 if there is no loan to renew or no rate
// is needed.
func (w *workspaceLimiter) renewalRate(from string, now time.Time) float64 {
	account := w.Account()
	for _, loan := range account.Borrowed {
		if loan.Peer == from && loan.End.Sub(now) < renewBefore {
			return share.RateToBorrow(account, from, w.demand())
		}
	}
	return 0
}

// recordRecall records that a lender asks for its loan back.
func (w *workspaceLimiter) recordRecall(from string) { w.recalledBy.Store(from, true) }

// shouldReturn reports whether the loan is to be returned before it ends: the lender
// recalled it, this gateway collected it as a home and no longer is the home, or the loan
// ends soon and its rate is not needed. It clears a recall.
func (w *workspaceLimiter) shouldReturn(loan share.Loan, isHome bool, now time.Time) bool {
	if _, recalled := w.recalledBy.LoadAndDelete(loan.Peer); recalled {
		return true
	}
	if loan.IdleShare {
		return !isHome
	}
	return loan.End.Sub(now) < renewBefore && share.RateToBorrow(w.Account(), loan.Peer, w.demand()) == 0
}

// returnLoan stops using the loan from the peer and returns the message that gives it
// back, with the loan's part of the tokens in the bucket. It returns false if there is no
// loan or if it is lent on to other gateways.
func (w *workspaceLimiter) returnLoan(from string, now time.Time) (r share.LoanReturn, ok bool) {
	w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
		loan, found := a.BorrowedLoan(from)
		remaining := a.WithoutBorrowedFrom(from)
		b := remaining.Balance()
		if !found || b.Rate < -roundingError || b.Burst < -roundingError {
			return a, level
		}
		tokens := 0.0
		if held := a.Held(); held.Burst > 0 {
			tokens = max(0, level*loan.Amount.Burst/held.Burst)
		}
		r, ok = share.LoanReturn{Workspace: w.name, Serial: loan.Serial, Level: tokens}, true
		return remaining, level - tokens
	})
	return r, ok
}
