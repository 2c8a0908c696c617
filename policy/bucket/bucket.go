// Package bucket computes the token bucket of a workspace that all daemons
// share, and how many tokens one daemon asks for.
package bucket

import (
	"math"
	"time"
)

// State is the shared bucket as it is kept in the store.
type State struct {
	// Tokens is what was left at At.
	Tokens float64 `json:"tokens"`
	// At is the store's clock.
	At time.Duration `json:"at"`
}

// Limit is the rate of a workspace.
type Limit struct {
	// Rate is the number of tokens that come a second.
	Rate float64
	// Burst is the largest number of tokens in the bucket.
	Burst float64
}

// Full returns the bucket of a workspace that was not used yet.
func Full(l Limit, now time.Duration) State { return State{Tokens: l.Burst, At: now} }

// Refill returns the bucket as it is at now.
func (s State) Refill(l Limit, now time.Duration) State {
	if now <= s.At {
		return State{Tokens: math.Min(s.Tokens, l.Burst), At: s.At}
	}
	came := l.Rate * (now - s.At).Seconds()
	return State{Tokens: math.Min(s.Tokens+came, l.Burst), At: now}
}

// Take gives back the unused tokens and takes up to want whole tokens. It
// returns the new bucket and the number of tokens taken.
func (s State) Take(l Limit, want, unused int) (State, int) {
	s.Tokens = math.Min(s.Tokens+float64(unused), l.Burst)
	taken := max(min(want, int(math.Floor(s.Tokens))), 0)
	s.Tokens -= float64(taken)
	return s, taken
}

// Wait returns how long it takes until the bucket holds one token.
func (s State) Wait(l Limit) time.Duration {
	if s.Tokens >= 1 || l.Rate <= 0 {
		return 0
	}
	return time.Duration((1 - s.Tokens) / l.Rate * float64(time.Second))
}

// Bounds of how long tokens may be used after they were taken. All daemons together
// hold no more than came in during that time, and may use it beside a whole burst.
const (
	minValidity = 300 * time.Millisecond
	maxValidity = 4 * time.Second
	// heldTokens is how many tokens beyond those of minValidity may be used later
	// than the bucket gave them; the limit of a workspace leaves that room.
	heldTokens = 16
)

// Validity returns how long tokens may be used: longer for a low rate, so that
// daemons with few requests need not ask for each of them.
func Validity(l Limit) time.Duration {
	if l.Rate <= 0 {
		return minValidity
	}
	return min(minValidity+time.Duration(heldTokens/l.Rate*float64(time.Second)), maxValidity)
}

// maxPart is the time whose tokens one daemon may hold at most.
const maxPart = 300 * time.Millisecond

// Want returns how many tokens a daemon asks for that got the given number of
// requests a second lately: enough for most of their validity.
func Want(perSecond float64, l Limit) int {
	const part = 0.8
	most := math.Max(math.Ceil(l.Rate*maxPart.Seconds()), 2)
	return max(int(math.Min(math.Ceil(perSecond*part*Validity(l).Seconds())+1, most)), 1)
}
