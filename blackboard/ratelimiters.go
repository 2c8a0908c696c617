package blackboard

import (
	"sync/atomic"

	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
	"github.com/baobablanding/baobablanding/policy/bucket"
)

// RateLimiters holds this daemon's rate limiter of each workspace. It is immutable; a
// limiter is shared by all snapshots.
type RateLimiters struct {
	// ByWorkspace maps the name of each workspace that has a rate limit to its
	// limiter.
	ByWorkspace map[string]*RateLimiter
}

// NewRateLimiters returns an empty set.
func NewRateLimiters() *RateLimiters {
	return &RateLimiters{ByWorkspace: make(map[string]*RateLimiter)}
}

// RateLimiter admits the requests of one workspace on this daemon. It uses up the tokens
// of its Grant, which controller/rates replaces.
type RateLimiter struct {
	// Grant holds the tokens that may be used now. controller/rates writes it.
	Grant Section[*Grant]
	// TokensRequested counts the requests that asked for a token, whether or not they
	// got one.
	TokensRequested atomic.Int64
	// AdmittedHere counts the requests that got a token from this daemon.
	// AdmittedByPeers counts those that other daemons reported to have admitted;
	// controller/loads writes it.
	AdmittedHere, AdmittedByPeers atomic.Int64
	// Estimate is the content of the shared bucket, estimated from the admissions of
	// this and the other daemons. controller/rates writes it.
	Estimate Section[bucket.Estimate]
	// Returns is the virtual queue of the callers that this daemon told to come back when
	// the shared bucket has tokens again. The path of a request writes it.
	Returns admission.ReturnQueue
	// Refused counts the requests that this daemon refused because of the rate, and
	// RefusedPlace those that it refused because no engine had a place in time.
	Refused, RefusedPlace atomic.Int64
	// RefillNeeded wakes controller/rates when the tokens run low. Its capacity is one:
	// a full channel means that the wake-up is pending.
	RefillNeeded chan struct{}
}

// NewRateLimiter returns a limiter whose grant has no tokens.
func NewRateLimiter() *RateLimiter {
	l := &RateLimiter{RefillNeeded: make(chan struct{}, 1)}
	l.Grant.Publish(NewGrant(0, 0, 0))
	return l
}

// ShareHere returns the part of the workspace's admitted requests that this daemon admits
// itself: its even part while few are known, and what was counted later.
func (l *RateLimiter) ShareHere(daemons int) float64 {
	here, peers := float64(l.AdmittedHere.Load()), float64(l.AdmittedByPeers.Load())
	return (here + 1) / (here + peers + float64(max(daemons, 1)))
}

// Grant is a number of tokens that this daemon may use for a limited time. They were
// taken out of the workspace's shared bucket or are an overdraft. The methods may be
// called from several goroutines.
type Grant struct {
	remaining    atomic.Int64 // 0 or less when exhausted or closed
	lowWatermark int64
	expiresAt    clock.Instant
	nextTokenAt  clock.Instant
}

// NewGrant returns a grant that expires at expiresAt. For a grant without tokens,
// nextTokenAt is when the shared bucket holds a token again, or 0 if that is not
// known.
func NewGrant(tokens int, expiresAt, nextTokenAt clock.Instant) *Grant {
	g := &Grant{lowWatermark: int64(tokens) / 2, expiresAt: expiresAt, nextTokenAt: nextTokenAt}
	g.remaining.Store(int64(tokens))
	return g
}

// Take takes one token from the grant and reports whether it got one. It wakes
// controller/rates if it got none or the grant is low. It does not block.
func (l *RateLimiter) Take(g *Grant, now clock.Instant) bool {
	ok := now < g.expiresAt && g.remaining.Add(-1) >= 0
	if ok {
		l.AdmittedHere.Add(1)
	}
	if !ok || g.IsLow(now) {
		select {
		case l.RefillNeeded <- struct{}{}:
		default:
		}
	}
	return ok
}

// IsLow reports whether the grant should be replaced: it has expired, or fewer than
// half of its tokens remain, or none.
func (g *Grant) IsLow(now clock.Instant) bool {
	return g.IsExpired(now) || g.remaining.Load() < max(g.lowWatermark, 1)
}

// IsExpired reports whether the tokens may no longer be used.
func (g *Grant) IsExpired(now clock.Instant) bool { return now >= g.expiresAt }

// BucketEmptyUntil reports whether the shared bucket is known to be empty now, and
// returns the instant at which it holds a token again.
func (g *Grant) BucketEmptyUntil(now clock.Instant) (next clock.Instant, empty bool) {
	return g.nextTokenAt, now < g.nextTokenAt
}

// Close ends the grant and returns the number of unused tokens. Calls of Take
// that run at the same time either got a token before or get none.
func (g *Grant) Close() int {
	const closed = -1 << 40 // negative, so that Take fails
	return int(max(g.remaining.Swap(closed), 0))
}
