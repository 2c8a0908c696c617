// Package bucket computes the token bucket of a workspace that all daemons
// share, and how many tokens one daemon takes at once.
package bucket

import (
	"math"
	"time"
)

// State is the shared bucket as it is kept in the store. The zero value is an empty
// bucket.
type State struct {
	// Tokens is the number of tokens left at At.
	Tokens float64 `json:"tokens"`
	// At is a time by the store's clock.
	At time.Duration `json:"at"`
}

// Limit is the rate limit of a workspace.
type Limit struct {
	// Rate is the number of tokens added per second.
	Rate float64
	// Burst is the largest number of tokens in the bucket.
	Burst float64
}

// Full returns the bucket of a workspace that was not used yet.
func Full(l Limit, now time.Duration) State { return State{Tokens: l.Burst, At: now} }

// Refill returns the bucket with the tokens added up to now. It adds none if the
// clock went back.
func (s State) Refill(l Limit, now time.Duration) State {
	if now <= s.At {
		return State{Tokens: math.Min(s.Tokens, l.Burst), At: s.At}
	}
	added := l.Rate * (now - s.At).Seconds()
	return State{Tokens: math.Min(s.Tokens+added, l.Burst), At: now}
}

// Take gives back the unused tokens and takes up to want whole tokens. It
// returns the new bucket and the number of tokens taken.
func (s State) Take(l Limit, want, unused int) (State, int) {
	s.Tokens = math.Min(s.Tokens+float64(unused), l.Burst)
	taken := max(min(want, int(math.Floor(s.Tokens))), 0)
	s.Tokens -= float64(taken)
	return s, taken
}

// Wait returns how long it takes until the bucket holds one token, or 0 if it holds
// one or none is ever added.
func (s State) Wait(l Limit) time.Duration {
	if s.Tokens >= 1 || l.Rate <= 0 {
		return 0
	}
	return time.Duration((1 - s.Tokens) / l.Rate * float64(time.Second))
}

// Bounds of the lifetime of a grant. All daemons together hold no more tokens than
// are added during that time, and may use them on top of a whole burst.
const (
	minLifetime = 300 * time.Millisecond
	maxLifetime = 4 * time.Second
	// maxLateTokens is how many tokens, beyond those added in minLifetime, daemons
	// may hold in grants and use some time after they took them from the bucket. The
	// tolerance of a workspace's limit leaves room for them.
	maxLateTokens = 16
)

// GrantLifetime returns how long the tokens of a grant may be used: longer for a low
// rate, so that daemons with few requests do not need a store call for each of them.
func GrantLifetime(l Limit) time.Duration {
	if l.Rate <= 0 {
		return minLifetime
	}
	return min(minLifetime+time.Duration(maxLateTokens/l.Rate*float64(time.Second)), maxLifetime)
}

// maxGrantTime bounds the grant of one daemon to the tokens added in this time.
const maxGrantTime = 300 * time.Millisecond

// GrantSize returns the number of tokens for which a daemon asks the shared bucket if
// it recently got the given number of requests per second: enough for most of the
// lifetime of a grant, at least 1, and no more than the larger of 2 and the tokens
// added in maxGrantTime.
func GrantSize(perSecond float64, l Limit) int {
	const lifetimeFraction = 0.8
	most := math.Max(math.Ceil(l.Rate*maxGrantTime.Seconds()), 2)
	return max(int(math.Min(math.Ceil(perSecond*lifetimeFraction*GrantLifetime(l).Seconds())+1, most)), 1)
}
