// Package share decides how gateways divide a workspace's rate and burst. Its
// functions are pure: they get the state and the time and return new state.
//
// Each gateway owns a base share. A gateway lends parts of its share to another
// one until an end time. The lender lowers its own share before it replies and
// raises it again only after the loan's end and LenderMargin; the borrower counts
// the loan's duration from when it sent its request. The shares of all gateways
// therefore never add up to more than the workspace's rate and burst.
//
// There are two kinds of loans. A workspace's home gateway regularly borrows the idle
// shares, which are what the other gateways do not use themselves. A gateway whose
// demand exceeds what it holds borrows rate from the home gateway.
package share

import "time"

// Amount is a part of a workspace's rate and burst. The zero value is nothing.
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

// covers reports whether no component of b is larger than that of a.
func (a Amount) covers(b Amount) bool { return a.Rate >= b.Rate && a.Burst >= b.Burst }

// Loan is a part of a share that one gateway has lent to another.
type Loan struct {
	// Peer is the peer address of the other gateway: the lender in the
	// borrower's account, the borrower in the lender's.
	Peer   string
	Amount Amount
	// Serial identifies the loan among those of its lender.
	Serial uint64
	// IdleShare reports whether the loan is of an idle share, which the workspace's
	// home gateway collects.
	IdleShare bool
	// End is when the borrower stops using the loan or, in the lender's account,
	// when the lender gets the amount back, which is later.
	End time.Time
}

// Account is one gateway's share of one workspace. It is immutable: the methods
// return changed copies. The zero value is a gateway without a share.
type Account struct {
	// Base is what the gateway owns.
	Base Amount
	// Borrowed lists the borrowed loans, at most one from each lender.
	Borrowed []Loan
	// Lent lists the loans to other gateways, at most one to each borrower.
	Lent []Loan
}

// Balance returns the base plus borrowed loans minus lent ones. A component is
// negative while more is lent than the gateway owns, which happens when a new
// configuration lowers the base.
func (a Account) Balance() Amount {
	sum := a.Base
	for _, l := range a.Borrowed {
		sum = sum.Plus(l.Amount)
	}
	for _, l := range a.Lent {
		sum = sum.Minus(l.Amount)
	}
	return sum
}

// Held returns what the gateway may use itself.
func (a Account) Held() Amount { return a.Balance().Max(Amount{}) }

// Lendable returns what the gateway can lend until the given time. Borrowed loans
// that end earlier are not counted. A component is negative while too much is lent.
func (a Account) Lendable(until time.Time) Amount {
	sum := a.Balance()
	for _, l := range a.Borrowed {
		if l.End.Before(until) {
			sum = sum.Minus(l.Amount)
		}
	}
	return sum
}

// FirstBorrowedEnd returns the earliest end of the borrowed loans, and false if
// there is none.
func (a Account) FirstBorrowedEnd() (end time.Time, ok bool) {
	for _, l := range a.Borrowed {
		if !ok || l.End.Before(end) {
			end, ok = l.End, true
		}
	}
	return end, ok
}

// WithoutExpiredBorrowed returns the account without the borrowed loans that have
// ended.
func (a Account) WithoutExpiredBorrowed(now time.Time) Account {
	a.Borrowed = unexpired(a.Borrowed, now)
	return a
}

// WithoutExpiredLent returns the account without the lent loans that have ended.
func (a Account) WithoutExpiredLent(now time.Time) Account {
	a.Lent = unexpired(a.Lent, now)
	return a
}

// WithBorrowed returns the account with a borrowed loan, which replaces an earlier one
// from the same lender.
func (a Account) WithBorrowed(l Loan) Account {
	a.Borrowed = withLoan(a.Borrowed, l)
	return a
}

// WithLent returns the account with a lent loan, which replaces an earlier one to
// the same borrower.
func (a Account) WithLent(l Loan) Account {
	a.Lent = withLoan(a.Lent, l)
	return a
}

// BorrowedLoan returns the loan borrowed from the peer, and false if there is none.
func (a Account) BorrowedLoan(peer string) (Loan, bool) {
	for _, l := range a.Borrowed {
		if l.Peer == peer {
			return l, true
		}
	}
	return Loan{}, false
}

// LentLoan returns the loan lent to the peer, and false if there is none.
func (a Account) LentLoan(peer string) (Loan, bool) {
	for _, l := range a.Lent {
		if l.Peer == peer {
			return l, true
		}
	}
	return Loan{}, false
}

// WithoutLent returns the account without the loan that was lent to the peer under
// the serial number. It returns false if there is no such loan.
func (a Account) WithoutLent(peer string, serial uint64) (Account, bool) {
	for _, l := range a.Lent {
		if l.Peer == peer && l.Serial == serial {
			a.Lent = withoutPeer(a.Lent, peer)
			return a, true
		}
	}
	return a, false
}

// LentTo returns the amount lent to the peer.
func (a Account) LentTo(peer string) Amount { return amountOf(a.Lent, peer) }

// BorrowedFrom returns the amount borrowed from the peer.
func (a Account) BorrowedFrom(peer string) Amount { return amountOf(a.Borrowed, peer) }

// ShortenLent returns the account with the loan that is lent to the peer ending at the
// given time at the latest.
func (a Account) ShortenLent(peer string, end time.Time) Account {
	for _, l := range a.Lent {
		if l.Peer == peer && l.End.After(end) {
			l.End = end
			return a.WithLent(l)
		}
	}
	return a
}

// WithoutBorrowedFrom returns the account without the loan borrowed from the peer.
func (a Account) WithoutBorrowedFrom(peer string) Account {
	a.Borrowed = withoutPeer(a.Borrowed, peer)
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

func unexpired(loans []Loan, now time.Time) []Loan {
	var kept []Loan
	for _, l := range loans {
		if l.End.After(now) {
			kept = append(kept, l)
		}
	}
	return kept
}

func withoutPeer(loans []Loan, peer string) []Loan {
	var kept []Loan
	for _, l := range loans {
		if l.Peer != peer {
			kept = append(kept, l)
		}
	}
	return kept
}

func withLoan(loans []Loan, l Loan) []Loan { return append(withoutPeer(loans, l.Peer), l) }
