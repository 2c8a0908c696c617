// Package admit decides whether a request is within its workspace's rate.
package admit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/policy/share"
)

const (
	// closed is the value of fullAt in a state that is being replaced.
	closed = math.MaxInt64
	// never is the end of a state without a borrowed loan.
	never = math.MaxInt64
	// maxToleranceNS and maxIntervalNS bound the fields of a state in nanoseconds, so
	// that sums of them and a time do not overflow.
	maxToleranceNS = 1 << 61
	maxIntervalNS  = 1 << 55
)

// Limiter admits the requests of one workspace on one gateway by the gateway's
// share. It is safe for concurrent use. Taking a token touches only atomics. A
// change of the share replaces the state: the goroutine that marks the old state as
// closed computes the new one, and takers that meet a closed state wait on its
// channel.
type Limiter struct {
	origin   time.Time // times of a state are kept as ns since origin
	state    atomic.Pointer[state]
	requests atomic.Int64 // calls of Take since RequestsSinceLastCall was last called
}

// state is a token bucket with a fixed rate and capacity. It keeps its level in one
// word: fullAt, the time at which the bucket would be full.
type state struct {
	account   share.Account
	interval  int64 // ns between two requests at the sustained rate
	tolerance int64 // capacity as ns at the sustained rate
	since     int64 // when the state was computed
	end       int64 // when the first borrowed loan ends, or never
	fullAt    atomic.Int64
	replaced  chan struct{} // closed when the next state is stored
}

// NewLimiter returns a limiter without a share, which admits nothing. Times are kept
// in nanoseconds since origin.
func NewLimiter(origin time.Time) *Limiter {
	l := &Limiter{origin: origin}
	l.state.Store(l.newState(share.Account{}, 0, 0))
	return l
}

// since returns t in nanoseconds since the origin.
func (l *Limiter) since(t time.Time) int64 { return int64(t.Sub(l.origin)) }

// newState returns a state that holds level tokens at the given time.
func (l *Limiter) newState(account share.Account, level float64, at int64) *state {
	s := &state{account: account, since: at, end: never, replaced: make(chan struct{})}
	held := account.Held()
	s.interval = maxIntervalNS
	if held.Rate > 0 {
		s.interval = int64(min(maxIntervalNS, math.Ceil(float64(time.Second)/held.Rate)))
		s.tolerance = int64(min(maxToleranceNS, held.Burst*float64(s.interval)))
	}
	if end, ok := account.FirstBorrowedEnd(); ok {
		s.end = l.since(end)
	}
	missing := int64(math.Ceil(float64(s.tolerance) - level*float64(s.interval)))
	s.fullAt.Store(at + max(0, missing))
	return s
}

// level returns the tokens at the given time, for a value of fullAt.
func (s *state) level(fullAt, at int64) float64 {
	return float64(s.tolerance-max(0, fullAt-at)) / float64(s.interval)
}

// Take admits one request at the given time, or returns the duration after which
// one may be admitted.
func (l *Limiter) Take(now time.Time) (bool, time.Duration) {
	l.requests.Add(1)
	n, wait := l.TakeUpTo(now, 1, 0)
	return n == 1, wait
}

// TakeUncounted is Take for a request that an earlier call of Take has counted.
func (l *Limiter) TakeUncounted(now time.Time) (bool, time.Duration) {
	n, wait := l.TakeUpTo(now, 1, 0)
	return n == 1, wait
}

// TakeUpTo admits up to n requests, but leaves reserve tokens in the bucket. If it
// admits none, it returns the duration after which one may be admitted.
func (l *Limiter) TakeUpTo(now time.Time, n int, reserve float64) (int, time.Duration) {
	at := l.since(now)
	for {
		s := l.state.Load()
		if at >= s.end {
			l.Update(now, nil)
			continue
		}
		fullAt := s.fullAt.Load()
		if fullAt == closed {
			<-s.replaced
			continue
		}
		tolerance := s.tolerance - int64(reserve*float64(s.interval))
		from := max(fullAt, at)
		taken := min(int64(n), (at+tolerance-from)/s.interval)
		if taken <= 0 {
			return 0, time.Duration(max(1, from+s.interval-at-tolerance))
		}
		if s.fullAt.CompareAndSwap(fullAt, from+taken*s.interval) {
			return int(taken), 0
		}
	}
}

// UpdateFunc returns the account and tokens that replace the given ones.
type UpdateFunc func(account share.Account, level float64) (share.Account, float64)

// Update drops the loans that have ended and then applies update, which may be nil.
func (l *Limiter) Update(now time.Time, update UpdateFunc) {
	for {
		s := l.state.Load()
		fullAt := s.fullAt.Swap(closed)
		if fullAt == closed {
			<-s.replaced
			continue
		}
		l.state.Store(l.nextState(s, fullAt, max(l.since(now), s.since), update))
		close(s.replaced)
		return
	}
}

// nextState returns the state that follows s at the given time. It ends borrowed
// loans one after the other, so that the level between two ends grows at the rate
// of that time.
func (l *Limiter) nextState(s *state, fullAt, at int64, update UpdateFunc) *state {
	for s.end <= at {
		end := max(s.end, s.since)
		account := s.account.WithoutExpiredBorrowed(l.origin.Add(time.Duration(s.end)))
		s = l.newState(account, s.level(fullAt, end), end)
		fullAt = s.fullAt.Load()
	}
	level := s.level(fullAt, at)
	account := s.account.WithoutExpiredLent(l.origin.Add(time.Duration(at)))
	if update != nil {
		account, level = update(account, level)
	}
	return l.newState(account, level, at)
}

// Account returns the gateway's share as of the last Update. It may still contain
// loans that have ended since.
func (l *Limiter) Account() share.Account { return l.state.Load().account }

// Held returns the rate and burst that the gateway may use now.
func (l *Limiter) Held(now time.Time) share.Amount {
	s := l.state.Load()
	if l.since(now) >= s.end {
		return s.account.WithoutExpiredBorrowed(now).Held()
	}
	return s.account.Held()
}

// RequestsSinceLastCall returns the number of calls of Take since the last call of
// RequestsSinceLastCall.
func (l *Limiter) RequestsSinceLastCall() int64 { return l.requests.Swap(0) }
