// Package share decides how gateways divide a workspace's rate and burst. Its
// functions are pure: they get the state and the time and return new state.
//
// Each gateway owns a base share. A gateway lends parts of its share to another
// one until an end time. The lender lowers its own share before it answers and
// raises it again only after the loan's end and a margin; the borrower counts
// the loan's life from when it sent its request. The shares of all gateways
// therefore never add up to more than the workspace's rate and burst.
package share

import "time"

// Amount is a part of a workspace's rate and burst.
type Amount struct {
	// Rate is in requests per second.
	Rate float64 `json:"r"`
	// Burst is the capacity of the token bucket in requests.
	Burst float64 `json:"b"`
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Rate + b.Rate, a.Burst + b.Burst} }

// Minus returns a - b.
func (a Amount) Minus(b Amount) Amount { return Amount{a.Rate - b.Rate, a.Burst - b.Burst} }

// Scale returns a × f.
func (a Amount) Scale(f float64) Amount { return Amount{a.Rate * f, a.Burst * f} }

// Min returns the smaller of each component.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.Rate, b.Rate), min(a.Burst, b.Burst)} }

// Max returns the larger of each component.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.Rate, b.Rate), max(a.Burst, b.Burst)} }

// covers tells whether no component of b is larger than that of a.
func (a Amount) covers(b Amount) bool { return a.Rate >= b.Rate && a.Burst >= b.Burst }

// Loan is a part of a share that one gateway has lent to another.
type Loan struct {
	// Peer is the other gateway's peer address.
	Peer string
	// Amount is what was lent.
	Amount Amount
	// Serial identifies the loan among those of its lender.
	Serial uint64
	// Idle tells that the workspace's home has gathered the share.
	Idle bool
	// End is when the borrower stops to use the loan or, at the lender, when
	// the share is restored.
	End time.Time
}

// Account is one gateway's share of one workspace. It is immutable.
type Account struct {
	// Base is what the gateway owns.
	Base Amount
	// In holds at most one loan from each lender.
	In []Loan
	// Out holds at most one loan to each borrower.
	Out []Loan
}

// Balance returns the base with all loans counted. A component is negative
// while more is lent than the gateway owns, which a lowered base can cause.
func (a Account) Balance() Amount {
	sum := a.Base
	for _, l := range a.In {
		sum = sum.Plus(l.Amount)
	}
	for _, l := range a.Out {
		sum = sum.Minus(l.Amount)
	}
	return sum
}

// Held returns what the gateway may use itself.
func (a Account) Held() Amount { return a.Balance().Max(Amount{}) }

// Free returns what the gateway can lend until the given time: loans to it that
// end before are not counted. A component is negative while too much is lent.
func (a Account) Free(until time.Time) Amount {
	sum := a.Balance()
	for _, l := range a.In {
		if l.End.Before(until) {
			sum = sum.Minus(l.Amount)
		}
	}
	return sum
}

// FirstEnd returns the earliest end of a loan to the gateway.
func (a Account) FirstEnd() (end time.Time, ok bool) {
	for _, l := range a.In {
		if !ok || l.End.Before(end) {
			end, ok = l.End, true
		}
	}
	return end, ok
}

// WithoutEnded returns the account without the loans to the gateway that have
// ended.
func (a Account) WithoutEnded(now time.Time) Account {
	a.In = running(a.In, now)
	return a
}

// Restored returns the account without the loans by the gateway whose share is
// to be restored.
func (a Account) Restored(now time.Time) Account {
	a.Out = running(a.Out, now)
	return a
}

// With returns the account with a loan to the gateway, which replaces an
// earlier one from the same lender.
func (a Account) With(l Loan) Account {
	a.In = replaced(a.In, l)
	return a
}

// WithOut returns the account with a loan by the gateway, which replaces an
// earlier one to the same borrower.
func (a Account) WithOut(l Loan) Account {
	a.Out = replaced(a.Out, l)
	return a
}

// LoanFrom returns the loan from the peer.
func (a Account) LoanFrom(peer string) (Loan, bool) {
	for _, l := range a.In {
		if l.Peer == peer {
			return l, true
		}
	}
	return Loan{}, false
}

// LoanTo returns the loan to the peer.
func (a Account) LoanTo(peer string) (Loan, bool) {
	for _, l := range a.Out {
		if l.Peer == peer {
			return l, true
		}
	}
	return Loan{}, false
}

// Returned returns the account without the loan to the peer, if it is the one
// with the serial number.
func (a Account) Returned(peer string, serial uint64) (Account, bool) {
	for _, l := range a.Out {
		if l.Peer == peer && l.Serial == serial {
			a.Out = others(a.Out, peer)
			return a, true
		}
	}
	return a, false
}

// LentTo returns what is lent to the peer.
func (a Account) LentTo(peer string) Amount { return amountOf(a.Out, peer) }

// BorrowedFrom returns what is borrowed from the peer.
func (a Account) BorrowedFrom(peer string) Amount { return amountOf(a.In, peer) }

// Shortened returns the account with the loan to the peer ending at the given
// time at the latest.
func (a Account) Shortened(peer string, end time.Time) Account {
	for _, l := range a.Out {
		if l.Peer == peer && l.End.After(end) {
			l.End = end
			return a.WithOut(l)
		}
	}
	return a
}

// WithoutFrom returns the account without loans from the peer.
func (a Account) WithoutFrom(peer string) Account {
	a.In = others(a.In, peer)
	return a
}

func amountOf(loans []Loan, peer string) Amount {
	for _, l := range loans {
		if l.Peer == peer {
			return l.Amount
		}
	}
	return Amount{}
}

func running(loans []Loan, now time.Time) []Loan {
	var kept []Loan
	for _, l := range loans {
		if l.End.After(now) {
			kept = append(kept, l)
		}
	}
	return kept
}

func others(loans []Loan, peer string) []Loan {
	var kept []Loan
	for _, l := range loans {
		if l.Peer != peer {
			kept = append(kept, l)
		}
	}
	return kept
}

func replaced(loans []Loan, l Loan) []Loan { return append(others(loans, l.Peer), l) }
