// Package admit decides whether a request is within its workspace's rate.
package admit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/policy/share"
)

const (
	// closed marks a state that is being replaced.
	closed = math.MaxInt64
	// never is the end of a state that does not end by itself.
	never = math.MaxInt64
	// maxTolerance bounds a bucket's capacity in nanoseconds.
	maxTolerance = 1 << 61
	maxInterval  = 1 << 55
)

// Limiter admits the requests of one workspace on one gateway by the gateway's
// share. Taking a token touches only atomics. A change of the share replaces
// the state: whoever marks the old state as closed computes the new one, and
// takers that meet a closed state wait on its channel.
type Limiter struct {
	origin time.Time
	state  atomic.Pointer[state]
	asked  atomic.Int64 // requests since the last sample
}

// state is a token bucket with a fixed rate and capacity. It keeps its level in
// one word: the time at which it would be full.
type state struct {
	account   share.Account
	interval  int64 // ns between two requests at the sustained rate
	tolerance int64 // ns of burst
	since     int64 // when the state was computed
	end       int64 // when the first loan to the gateway ends
	full      atomic.Int64
	replaced  chan struct{}
}

// NewLimiter returns a limiter without a share.
func NewLimiter(origin time.Time) *Limiter {
	l := &Limiter{origin: origin}
	l.state.Store(l.newState(share.Account{}, 0, 0))
	return l
}

func (l *Limiter) since(t time.Time) int64 { return int64(t.Sub(l.origin)) }

// newState returns a state with the level at the time.
func (l *Limiter) newState(account share.Account, level float64, at int64) *state {
	s := &state{account: account, since: at, end: never, replaced: make(chan struct{})}
	held := account.Held()
	s.interval = maxInterval
	if held.Rate > 0 {
		s.interval = int64(min(maxInterval, math.Ceil(float64(time.Second)/held.Rate)))
		s.tolerance = int64(min(maxTolerance, held.Burst*float64(s.interval)))
	}
	if end, ok := account.FirstEnd(); ok {
		s.end = l.since(end)
	}
	missing := int64(math.Ceil(float64(s.tolerance) - level*float64(s.interval)))
	s.full.Store(at + max(0, missing))
	return s
}

// level returns the tokens at the time, for a value of the word full.
func (s *state) level(full, at int64) float64 {
	return float64(s.tolerance-max(0, full-at)) / float64(s.interval)
}

// Take admits one request at the given time, or returns the time after which
// one may be admitted.
func (l *Limiter) Take(now time.Time) (bool, time.Duration) {
	l.asked.Add(1)
	n, wait := l.TakeUpTo(now, 1, 0)
	return n == 1, wait
}

// TakeAgain is Take for a request that was counted before.
func (l *Limiter) TakeAgain(now time.Time) (bool, time.Duration) {
	n, wait := l.TakeUpTo(now, 1, 0)
	return n == 1, wait
}

// TakeUpTo admits up to n requests and leaves the reserve of tokens. When it
// admits none, it returns the time after which one may be admitted.
func (l *Limiter) TakeUpTo(now time.Time, n int, reserve float64) (int, time.Duration) {
	at := l.since(now)
	for {
		s := l.state.Load()
		if at >= s.end {
			l.Change(now, nil)
			continue
		}
		full := s.full.Load()
		if full == closed {
			<-s.replaced
			continue
		}
		tolerance := s.tolerance - int64(reserve*float64(s.interval))
		from := max(full, at)
		taken := min(int64(n), (at+tolerance-from)/s.interval)
		if taken <= 0 {
			return 0, time.Duration(max(1, from+s.interval-at-tolerance))
		}
		if s.full.CompareAndSwap(full, from+taken*s.interval) {
			return int(taken), 0
		}
	}
}

// Edit changes a share. It gets the account and its tokens and returns the new
// ones.
type Edit func(account share.Account, level float64) (share.Account, float64)

// Change settles the loans that have ended and then applies edit, which may be
// nil.
func (l *Limiter) Change(now time.Time, edit Edit) {
	for {
		s := l.state.Load()
		full := s.full.Swap(closed)
		if full == closed {
			<-s.replaced
			continue
		}
		l.state.Store(l.changed(s, full, max(l.since(now), s.since), edit))
		close(s.replaced)
		return
	}
}

// changed returns the state that follows s at the time.
func (l *Limiter) changed(s *state, full, at int64, edit Edit) *state {
	for s.end <= at {
		end := max(s.end, s.since)
		account := s.account.WithoutEnded(l.origin.Add(time.Duration(s.end)))
		s = l.newState(account, s.level(full, end), end)
		full = s.full.Load()
	}
	level := s.level(full, at)
	account := s.account.Restored(l.origin.Add(time.Duration(at)))
	if edit != nil {
		account, level = edit(account, level)
	}
	return l.newState(account, level, at)
}

// Account returns the share.
func (l *Limiter) Account() share.Account { return l.state.Load().account }

// Held returns what the share amounts to now.
func (l *Limiter) Held(now time.Time) share.Amount {
	s := l.state.Load()
	if l.since(now) >= s.end {
		return s.account.WithoutEnded(now).Held()
	}
	return s.account.Held()
}

// Asked returns the number of requests since the last call.
func (l *Limiter) Asked() int64 { return l.asked.Swap(0) }
