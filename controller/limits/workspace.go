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

// smoothing is the weight of the newest sample in the demand's average.
const smoothing = 0.1

// workspace is the limiter of one workspace with what is known of its traffic
// here.
type workspace struct {
	*admit.Limiter
	name      string
	average   atomic.Uint64 // bits of the float64 of requests per second
	questions questions
	recall    sync.Map // peer addresses of lenders that ask for their loan
	metrics   *Metrics
}

func newWorkspace(name string, limiter *admit.Limiter, ask asker, metrics *Metrics) *workspace {
	w := &workspace{Limiter: limiter, name: name, metrics: metrics}
	w.questions.send = func(tokens int) answer { return ask(w, tokens, false) }
	return w
}

// Take implements blackboard.Limiter.
func (w *workspace) Take(now time.Time) (bool, time.Duration) {
	ok, wait := w.Limiter.Take(now)
	if ok {
		w.metrics.local.Inc()
	}
	return ok, wait
}

// Ask implements blackboard.Limiter.
func (w *workspace) Ask(ctx context.Context) (time.Time, bool, time.Duration) {
	at, ok, wait := w.questions.ask(ctx)
	if !ok {
		at = time.Now()
		ok, _ = w.Limiter.TakeAgain(at)
	}
	if ok {
		w.metrics.remote.Inc()
	} else {
		w.metrics.refused.Inc()
	}
	return at, ok, wait
}

// demand returns the average of requests per second here.
func (w *workspace) demand() float64 { return math.Float64frombits(w.average.Load()) }

func (w *workspace) sample(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(w.Asked()) / elapsed.Seconds()
	w.average.Store(math.Float64bits((1-smoothing)*w.demand() + smoothing*rate))
}

// setBase sets the base share and tells whether more is lent than it covers.
func (w *workspace) setBase(base share.Amount, now time.Time) (overdrawn bool) {
	if a := w.Account(); a.Base == base && len(a.In) == 0 && len(a.Out) == 0 {
		return false
	}
	w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
		a.Base = base
		b := a.Balance()
		overdrawn = b.Rate < -roundingError || b.Burst < -roundingError
		return a, level
	})
	return overdrawn
}

// roundingError bounds the rounding of sums of shares.
const roundingError = 1e-9

// takeFor admits requests that another gateway asks for.
func (w *workspace) takeFor(ask share.Ask, now time.Time) (int, time.Duration) {
	reserve := 0.0
	if ask.Batch {
		reserve = share.BatchReserve(w.Held(now))
	}
	return w.TakeUpTo(now, ask.Tokens, reserve)
}

// renewal returns the rate to ask the peer for when its loan ends soon, or 0.
func (w *workspace) renewal(from string, now time.Time) float64 {
	account := w.Account()
	for _, in := range account.In {
		if in.Peer == from && in.End.Sub(now) < renewBefore {
			return share.WantedRate(account, from, w.demand())
		}
	}
	return 0
}

// recalled takes in that a lender needs its loan back.
func (w *workspace) recalled(from string) { w.recall.Store(from, true) }

// unneeded tells whether the loan is to be given back early.
func (w *workspace) unneeded(in share.Loan, home bool, now time.Time) bool {
	if _, recalled := w.recall.LoadAndDelete(in.Peer); recalled {
		return true
	}
	if in.Idle {
		return !home
	}
	return in.End.Sub(now) < renewBefore && share.WantedRate(w.Account(), in.Peer, w.demand()) == 0
}

// giveBack stops to use the loan from the peer, unless it is lent on.
func (w *workspace) giveBack(from string, now time.Time) (r share.Return, ok bool) {
	w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
		loan, found := a.LoanFrom(from)
		without := a.WithoutFrom(from)
		b := without.Balance()
		if !found || b.Rate < -roundingError || b.Burst < -roundingError {
			return a, level
		}
		back := 0.0
		if held := a.Held(); held.Burst > 0 {
			back = max(0, level*loan.Amount.Burst/held.Burst)
		}
		r, ok = share.Return{Workspace: w.name, Serial: loan.Serial, Level: back}, true
		return without, level - back
	})
	return r, ok
}
