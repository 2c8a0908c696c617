package share

import (
	"math"
	"time"
)

const (
	// LoanLife is how long a gateway that asked for more rate may use it.
	LoanLife = 1500 * time.Millisecond
	// Margin is how much longer than its borrower a lender counts a loan. It is
	// longer than an admitted request may wait before it is forwarded.
	Margin = 400 * time.Millisecond
	// IdleLifeExtra is by how much a loan of an idle share outlives the period
	// after which it is asked for again.
	IdleLifeExtra = 2200 * time.Millisecond

	minIdlePeriod     = time.Second
	idlePeriodPerPeer = 250 * time.Millisecond

	// localPart is the part of its demand for which a gateway holds a share
	// itself. The rest is admitted by the workspace's home, so that the shares
	// that gateways hold are used up.
	localPart = 0.8
	// keptRate is the smallest part of its base rate that a lender keeps.
	keptRate = 1.0 / 64
	// reservePart is the smallest part of its base share that a lender keeps if
	// the burst of that part is at least one request. It serves callers while
	// the workspace's home is out of reach.
	reservePart = 1.0 / 8
	// keptStep is the step of the part of its base share that a lender keeps.
	keptStep = 0.25
	// minLocalBurst and localBurstTime are the requests and the time at the
	// held rate that a gateway holds as burst; the rest stays with the home.
	minLocalBurst  = 4
	localBurstTime = 0.25 // seconds
	// idleDemand is the number of requests per second below which a workspace
	// counts as idle.
	idleDemand = 0.05
	// minLoanRate is the rate from which a loan costs fewer messages than a
	// question for each request.
	minLoanRate = 2
	// lentPart is the part of its unused rate that a gateway lends at once, so
	// that others that ask find some too.
	lentPart = 0.75
	// keepPart is the part of a loan below which a smaller need ends it.
	keepPart = 0.5
)

// IdlePeriod returns how often a gateway asks each of its peers for idle
// shares. It grows with the number of gateways, so that the messages of one
// gateway do not.
func IdlePeriod(gateways int) time.Duration {
	return max(minIdlePeriod, time.Duration(gateways)*idlePeriodPerPeer)
}

// IdleLife returns how long a loan of an idle share lasts.
func IdleLife(gateways int) time.Duration { return IdlePeriod(gateways) + IdleLifeExtra }

// Ask is what a gateway asks another one for, in one workspace.
type Ask struct {
	// Workspace is the workspace's name.
	Workspace string `json:"w"`
	// Tokens is the number of requests to admit at once.
	Tokens int `json:"n,omitempty"`
	// Batch tells that the tokens are for batch items, which come after online
	// requests.
	Batch bool `json:"c,omitempty"`
	// Rate is the rate that the asking gateway wants to borrow from this one in
	// all, or 0.
	Rate float64 `json:"r,omitempty"`
	// Idle asks for what this gateway does not use itself.
	Idle bool `json:"i,omitempty"`
}

// Grant is the answer to an Ask.
type Grant struct {
	// Workspace is the workspace's name.
	Workspace string `json:"w"`
	// Tokens is the number of requests that were admitted.
	Tokens int `json:"n,omitempty"`
	// Wait is when a request may be admitted, if none was.
	Wait time.Duration `json:"a,omitempty"`
	// Lent is what the asking gateway has borrowed from this one in all. It is
	// nil when nothing was lent or the present loan was not prolonged.
	Lent *Amount `json:"l,omitempty"`
	// Level is the number of tokens that come with the loan.
	Level float64 `json:"t,omitempty"`
	// Serial identifies the loan among those of the lender.
	Serial uint64 `json:"s,omitempty"`
	// Recall asks the borrower to give the present loan back early.
	Recall bool `json:"b,omitempty"`
	// Life is how long the loan lasts, counted from the sending of the Ask.
	Life time.Duration `json:"e,omitempty"`
}

// Return gives a loan back before its end. The borrower has stopped to use it.
type Return struct {
	// Workspace is the workspace's name.
	Workspace string `json:"w"`
	// Serial is the loan's number.
	Serial uint64 `json:"s"`
	// Level is the number of tokens that go back with the loan.
	Level float64 `json:"t,omitempty"`
}

// Lender is the state by which a gateway decides on a loan.
type Lender struct {
	// Account is the gateway's share.
	Account Account
	// Level is the number of tokens in its bucket.
	Level float64
	// Demand is the number of requests per second that the gateway gets itself.
	Demand float64
	// Gateways is the number of gateways.
	Gateways int
}

// Decide returns what the lender lends to the peer that asks, with the tokens
// that go with it and the loan's life. It returns false when nothing is lent or
// an earlier loan is not prolonged.
func (s Lender) Decide(ask Ask, peer string, now time.Time) (lent Amount, level float64, life time.Duration, ok bool) {
	life = LoanLife
	if ask.Idle {
		life = IdleLife(s.Gateways)
	}
	present := s.Account.LentTo(peer)
	free := s.Account.Free(now.Add(life + Margin)).Plus(present)
	if ask.Idle {
		lent = s.idle(present).Min(free)
	} else {
		lent = s.wanted(ask.Rate, present, free)
	}
	if lent.Rate <= 0 || !lent.covers(present) {
		return Amount{}, 0, 0, false
	}
	if held := s.Account.Held(); held.Burst > 0 {
		level = max(0, s.Level) * min(1, (lent.Burst-present.Burst)/held.Burst)
	}
	return lent, level, life, true
}

// idle returns the part of the base share that the lender does not need, less
// what it has lent to others than the peer.
func (s Lender) idle(present Amount) Amount {
	base := s.Account.Base
	unused := base.Minus(s.kept())
	unused.Rate = min(unused.Rate, base.Rate*(1-keptRate))
	if base.Burst*reservePart >= 1 {
		unused = unused.Min(base.Scale(1 - reservePart))
	}
	if unused.Rate < present.Rate && unused.Rate >= present.Rate-base.Rate*keptStep {
		unused = present
	}
	sum := Amount{}
	for _, l := range s.Account.Out {
		sum = sum.Plus(l.Amount)
	}
	return unused.Minus(sum.Minus(present)).Max(Amount{})
}

// kept returns the part of its base share that the lender keeps for its own
// demand. It changes in steps, so that small changes of the demand move nothing.
func (s Lender) kept() Amount {
	base := s.Account.Base
	if s.Demand <= idleDemand || base.Rate <= 0 {
		return Amount{}
	}
	part := min(1-keptStep, math.Ceil(localPart*s.Demand/base.Rate/keptStep)*keptStep)
	kept := base.Scale(part)
	kept.Burst = min(kept.Burst, localBurst(kept.Rate))
	if kept.Burst < 1 {
		return Amount{}
	}
	return kept
}

// localBurst returns the burst that a gateway holds with the rate.
func localBurst(rate float64) float64 { return max(minLocalBurst, rate*localBurstTime) }

// wanted returns what a gateway gets that wants to borrow a rate.
func (s Lender) wanted(rate float64, present, free Amount) Amount {
	if rate < minLoanRate || free.Rate <= 0 {
		return Amount{}
	}
	unused := max(0, free.Rate-s.Demand)
	if rate < present.Rate*keepPart || unused < present.Rate*keepPart {
		return Amount{}
	}
	lent := Amount{Rate: max(present.Rate, min(rate, unused*lentPart))}
	lent.Burst = max(present.Burst, min(free.Burst*lent.Rate/free.Rate, localBurst(lent.Rate)))
	if lent.Burst < minLocalBurst {
		return Amount{}
	}
	return Amount{Rate: lent.Rate, Burst: min(lent.Burst, free.Burst)}
}

// WantedRate returns the rate that a gateway with the demand wants to borrow
// from the peer, or 0.
func WantedRate(a Account, peer string, demand float64) float64 {
	without := a.Held().Rate - a.BorrowedFrom(peer).Rate
	if wanted := localPart*demand - without; wanted >= minLoanRate {
		return wanted
	}
	return 0
}

// BatchReserve returns the number of tokens that batch items leave to online
// requests.
func BatchReserve(held Amount) float64 {
	return max(0, min(held.Burst/2, held.Burst-1))
}
