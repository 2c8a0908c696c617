package share

import (
	"math"
	"time"
)

const (
	// LoanDuration is the duration of a loan to a gateway that asked for more rate.
	LoanDuration = 1500 * time.Millisecond
	// LenderMargin is how much later a loan ends in the lender's account than in the
	// borrower's. It is longer than an admitted request may wait before it is forwarded.
	LenderMargin = 400 * time.Millisecond
	// IdleLoanOverlap is by how much a loan of an idle share outlasts the interval
	// after which it is asked for again.
	IdleLoanOverlap = 2200 * time.Millisecond

	// A gateway asks for idle shares at an interval of idleIntervalPerGateway for each
	// gateway of the fleet, but at least minIdleInterval.
	minIdleInterval        = time.Second
	idleIntervalPerGateway = 250 * time.Millisecond

	// localFraction is the fraction of its demand for which a gateway holds a share
	// itself. The home gateway of the workspace admits the rest, so that gateways use
	// up the shares that they hold.
	localFraction = 0.8
	// minKeptRateFraction is the smallest fraction of its base rate that a lender
	// of an idle share keeps.
	minKeptRateFraction = 1.0 / 64
	// minKeptShareFraction is the smallest fraction of its base share that a lender
	// of an idle share keeps if the burst of that fraction is at least one request.
	// It serves callers while the home gateway of the workspace is unreachable.
	minKeptShareFraction = 1.0 / 8
	// keptFractionStep is the step to which the fraction of its base share that a
	// lender keeps is rounded up.
	keptFractionStep = 0.25
	// A gateway holds as burst what its rate yields in localBurstSeconds, at least
	// minLocalBurst requests; the rest stays with the home gateway.
	minLocalBurst     = 4
	localBurstSeconds = 0.25
	// idleDemandPerSecond is the demand up to which a workspace counts as idle.
	idleDemandPerSecond = 0.05
	// minLoanRatePerSecond is the rate from which a loan costs fewer messages than
	// asking the home gateway to admit each request.
	minLoanRatePerSecond = 2
	// lentFraction is the fraction of its unused rate that a gateway lends at once,
	// so that other gateways that ask can borrow too.
	lentFraction = 0.75
	// minNeededLoanFraction is the fraction of a loan that must still be needed, and
	// unused by the lender, for the loan to be extended.
	minNeededLoanFraction = 0.5
)

// IdleRequestInterval returns the interval at which a gateway asks each of its peers
// for idle shares. It grows with the number of gateways, so that the message rate of
// one gateway does not.
func IdleRequestInterval(gateways int) time.Duration {
	return max(minIdleInterval, time.Duration(gateways)*idleIntervalPerGateway)
}

// IdleLoanDuration returns the duration of a loan of an idle share.
func IdleLoanDuration(gateways int) time.Duration {
	return IdleRequestInterval(gateways) + IdleLoanOverlap
}

// Request is a message by which a gateway asks another one to admit requests of one
// workspace, to lend to it, or both.
type Request struct {
	// Workspace is the workspace's name.
	Workspace string `json:"w"`
	// Tokens is the number of requests to admit at once.
	Tokens int `json:"n,omitempty"`
	// Batch reports whether the tokens are for batch items, which come after online
	// requests.
	Batch bool `json:"c,omitempty"`
	// Rate is the rate in requests per second that the sender wants to borrow from
	// the receiver in all, or 0.
	Rate float64 `json:"r,omitempty"`
	// Idle asks to borrow what the receiver does not use itself.
	Idle bool `json:"i,omitempty"`
}

// Reply is the response of a gateway to a Request.
type Reply struct {
	// Workspace is the workspace's name.
	Workspace string `json:"w"`
	// Tokens is the number of requests that were admitted.
	Tokens int `json:"n,omitempty"`
	// Wait is the time after which a request may be admitted, if none was.
	Wait time.Duration `json:"a,omitempty"`
	// Lent is what the borrower has borrowed from the lender in all. It is nil when
	// nothing was lent or the current loan was not extended.
	Lent *Amount `json:"l,omitempty"`
	// Level is the number of tokens that come with the loan.
	Level float64 `json:"t,omitempty"`
	// Serial identifies the loan among those of the lender.
	Serial uint64 `json:"s,omitempty"`
	// Recall asks the borrower to give the current loan back before its end.
	Recall bool `json:"b,omitempty"`
	// ValidFor is the duration of the loan, counted from when the borrower sent its
	// Request.
	ValidFor time.Duration `json:"e,omitempty"`
}

// LoanReturn is a message that gives a loan back before its end. The borrower has
// already stopped using the loan.
type LoanReturn struct {
	// Workspace is the workspace's name.
	Workspace string `json:"w"`
	// Serial is the loan's number.
	Serial uint64 `json:"s"`
	// Level is the number of tokens that go back with the loan.
	Level float64 `json:"t,omitempty"`
}

// Lender is the state of a gateway that decides on a loan of one workspace.
type Lender struct {
	// Account is the gateway's share.
	Account Account
	// Level is the number of tokens in the gateway's bucket.
	Level float64
	// Demand is the number of requests per second that callers send to the gateway
	// itself.
	Demand float64
	// Gateways is the number of gateways.
	Gateways int
}

// DecideLoan returns what the lender lends to the peer that sent the request, including
// the current loan to this peer, with the tokens that go with the loan and its duration.
// It returns false when nothing is lent or the current loan is not extended.
func (l Lender) DecideLoan(request Request, peer string, now time.Time) (lent Amount, level float64, duration time.Duration, ok bool) {
	duration = LoanDuration
	if request.Idle {
		duration = IdleLoanDuration(l.Gateways)
	}
	current := l.Account.LentTo(peer)
	lendable := l.Account.Lendable(now.Add(duration + LenderMargin)).Plus(current)
	if request.Idle {
		lent = l.idleLoan(current).Min(lendable)
	} else {
		lent = l.rateLoan(request.Rate, current, lendable)
	}
	if lent.Rate <= 0 || !lent.covers(current) {
		return Amount{}, 0, 0, false
	}
	if held := l.Account.Held(); held.Burst > 0 {
		level = max(0, l.Level) * min(1, (lent.Burst-current.Burst)/held.Burst)
	}
	return lent, level, duration, true
}

// idleLoan returns the part of the base share that the lender does not need, less
// what it has lent to other gateways. If the unused rate is below that of the current
// loan by at most one step of the base rate, the current loan stays as it is.
func (l Lender) idleLoan(current Amount) Amount {
	base := l.Account.Base
	unused := base.Minus(l.kept())
	unused.Rate = min(unused.Rate, base.Rate*(1-minKeptRateFraction))
	if base.Burst*minKeptShareFraction >= 1 {
		unused = unused.Min(base.Scale(1 - minKeptShareFraction))
	}
	if unused.Rate < current.Rate && unused.Rate >= current.Rate-base.Rate*keptFractionStep {
		unused = current
	}
	sum := Amount{}
	for _, loan := range l.Account.Lent {
		sum = sum.Plus(loan.Amount)
	}
	return unused.Minus(sum.Minus(current)).Max(Amount{})
}

// kept returns the part of its base share that the lender keeps for its own
// demand. The part changes in steps, so that small changes of the demand do not
// change loans.
func (l Lender) kept() Amount {
	base := l.Account.Base
	if l.Demand <= idleDemandPerSecond || base.Rate <= 0 {
		return Amount{}
	}
	fraction := min(1-keptFractionStep, math.Ceil(localFraction*l.Demand/base.Rate/keptFractionStep)*keptFractionStep)
	kept := base.Scale(fraction)
	kept.Burst = min(kept.Burst, localBurst(kept.Rate))
	if kept.Burst < 1 {
		return Amount{}
	}
	return kept
}

// localBurst returns the burst that a gateway holds with the rate.
func localBurst(rate float64) float64 { return max(minLocalBurst, rate*localBurstSeconds) }

// rateLoan returns the loan to a gateway that wants to borrow the rate, or zero if
// the loan is not worth its messages or the lender needs the rate itself. A current
// loan is never reduced, only extended or not.
func (l Lender) rateLoan(rate float64, current, lendable Amount) Amount {
	if rate < minLoanRatePerSecond || lendable.Rate <= 0 {
		return Amount{}
	}
	unused := max(0, lendable.Rate-l.Demand)
	if rate < current.Rate*minNeededLoanFraction || unused < current.Rate*minNeededLoanFraction {
		return Amount{}
	}
	lent := Amount{Rate: max(current.Rate, min(rate, unused*lentFraction))}
	lent.Burst = max(current.Burst, min(lendable.Burst*lent.Rate/lendable.Rate, localBurst(lent.Rate)))
	if lent.Burst < minLocalBurst {
		return Amount{}
	}
	return Amount{Rate: lent.Rate, Burst: min(lent.Burst, lendable.Burst)}
}

// RateToBorrow returns the rate in requests per second that a gateway with the demand
// asks to borrow from the peer in all, or 0 if a loan is not worth its messages.
func RateToBorrow(a Account, peer string, demand float64) float64 {
	without := a.Held().Rate - a.BorrowedFrom(peer).Rate
	if wanted := localFraction*demand - without; wanted >= minLoanRatePerSecond {
		return wanted
	}
	return 0
}

// BatchReserve returns the number of tokens that batch items leave to online
// requests.
func BatchReserve(held Amount) float64 {
	return max(0, min(held.Burst/2, held.Burst-1))
}
