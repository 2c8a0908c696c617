package rates

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/bucket"
)

// refiller supplies the limiter of one workspace with tokens from the shared bucket. Its
// fields belong to the goroutine of run, which leaves the bucket's state to take while a
// call runs.
type refiller struct {
	*Controller
	workspace string
	limiter   *blackboard.RateLimiter

	state             bucket.State
	rowVersion        int64         // of the bucket's row; 0 if the row does not exist
	loaded            bool          // state and rowVersion are as they were last read or written
	storeClock        time.Duration // the store's clock in its last response
	storeClockAt      clock.Instant // when storeClock was received
	overdraft         int           // tokens granted here but not taken from the shared bucket yet
	requests          int64         // the limiter's TokensRequested at averagedAt
	averagedAt        clock.Instant
	requestsPerSecond float64       // moving average of the requests that asked for a token
	seeded            bool          // the estimate was raised to the shared bucket's content
	known             bool          // the estimate rests on the shared bucket's content
	firstRead         chan float64  // receives the bucket's content when it was read first
	wasRead           bool          // a content was sent to firstRead
	failedAt          clock.Instant // when the last call failed, or 0 if it succeeded
}

// newRefiller returns the refiller of a limiter that got no requests yet.
func (c *Controller) newRefiller(workspace string, limiter *blackboard.RateLimiter) *refiller {
	return &refiller{Controller: c, workspace: workspace, limiter: limiter, averagedAt: clock.Now(), firstRead: make(chan float64, 1)}
}

// run refills the limiter when its tokens run low, until ctx is done.
func (r *refiller) run(ctx context.Context) {
	for {
		select {
		case <-r.limiter.RefillNeeded:
			r.refill(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// limit returns the workspace's rate limit, or false if the catalog has none any more.
func (r *refiller) limit() (bucket.Limit, bool) {
	w := r.board.Catalog.Value().Workspace(r.workspace)
	if w == nil || w.Rate <= 0 {
		return bucket.Limit{}, false
	}
	return limitOf(w), true
}

// updateRequestRate updates the moving average of the requests per second.
func (r *refiller) updateRequestRate() {
	now := clock.Now()
	elapsed := now.Sub(r.averagedAt)
	if elapsed <= 0 {
		return
	}
	requests := r.limiter.TokensRequested.Load()
	rate := float64(requests-r.requests) / math.Max(elapsed.Seconds(), minAveragingTime.Seconds())
	weight := 1 - math.Exp(-elapsed.Seconds()/averagingTime.Seconds())
	r.requestsPerSecond += weight * (rate - r.requestsPerSecond)
	r.requests, r.averagedAt = requests, now
}

// refill replaces the limiter's grant if it runs low. Requests get tokens on overdraft
// while the store is unavailable, while a call takes long, and ahead of a call while the
// shared bucket is nearly full.
func (r *refiller) refill(ctx context.Context) {
	limit, ok := r.limit()
	if !ok || !r.limiter.Grant.Value().IsLow(clock.Now()) {
		return
	}
	if r.failedAt != 0 && clock.Since(r.failedAt) < storeRetryInterval && !r.storeAvailableAgain() {
		r.grantOverdraft(limit)
		return
	}
	if r.canAdmitAhead(limit) {
		r.grantOverdraft(limit)
		return
	}
	r.updateRequestRate()
	unused := 0
	if grant := r.limiter.Grant.Value(); grant.IsExpired(clock.Now()) {
		unused = grant.Close()
	}
	wanted := bucket.GrantSize(r.requestsPerSecond, limit)
	done := make(chan takeResult, 1)
	total := wanted + r.overdraft // fixed here: the overdraft may grow while the call runs
	go func() { done <- r.take(ctx, limit, total, unused) }()
	r.awaitTake(ctx, done, limit)
}

// canAdmitAhead reports whether the shared bucket is estimated to be so full that a few
// requests may be admitted before the store is asked.
func (r *refiller) canAdmitAhead(limit bucket.Limit) bool {
	return limit.Rate <= maxRateAhead && r.overdraft < maxTokensAhead && r.board.ReportingFraction() >= minReportingFraction &&
		r.advanceEstimate(r.limiter.Estimate.Value(), r.limiter, limit).AllowsOverdraft(limit)
}

// awaitTake waits for the call that takes tokens and publishes its result. Once the call
// is late, it grants tokens on overdraft whenever requests need some.
func (r *refiller) awaitTake(ctx context.Context, done <-chan takeResult, limit bucket.Limit) {
	late := time.NewTimer(r.overdraftWait())
	defer late.Stop()
	var needed <-chan struct{} // nil, which blocks, until the call is late
	for {
		select {
		case result := <-done:
			r.publishTaken(result, limit)
			return
		case tokens := <-r.firstRead:
			r.seedAtStart(tokens, limit)
			if needed != nil {
				r.grantOverdraft(limit)
			}
		case <-late.C:
			needed = r.limiter.RefillNeeded
			r.grantOverdraft(limit)
		case <-needed:
			r.grantOverdraft(limit)
		case <-ctx.Done():
			<-done
			return
		}
	}
}

// overdraftWait returns how long requests wait for a call of the store before they get
// tokens on overdraft.
func (r *refiller) overdraftWait() time.Duration {
	switch {
	case r.failedAt == 0:
		return overdraftDelay
	case r.storeAvailableAgain():
		return overdraftDelayAfterOutage
	default:
		return 0
	}
}

// storeAvailableAgain reports whether the configuration was read from the store lately,
// though this refiller's last call failed.
func (r *refiller) storeAvailableAgain() bool {
	return r.board.ConfigRead.Value().SentWithin(availableReadAge, clock.Now())
}

// grantOverdraft publishes a grant of tokens that were not taken from the shared bucket,
// as many as the estimate of the bucket allows. The estimate counts the admissions of all
// daemons whose load reports arrive, so these daemons stay at the rate together, however
// many requests arrive.
func (r *refiller) grantOverdraft(limit bucket.Limit) {
	now := clock.Now()
	if !r.limiter.Grant.Value().IsLow(now) {
		return
	}
	unused := r.limiter.Grant.Value().Close()
	settled := min(unused, r.overdraft)
	r.overdraft -= settled
	estimate := r.advanceEstimate(r.limiter.Estimate.Value(), r.limiter, limit)
	granted := estimate.EvenShare(r.board.Roster.Value().Size())
	tokens := granted + unused - settled
	if tokens == 0 && !r.known && r.failedAt == 0 {
		return // the bucket was not read yet and may be full
	}
	if tokens == 0 {
		wait := max(estimate.Wait(limit), minEmptyWait)
		r.limiter.Grant.Publish(blackboard.NewGrant(0, 0, now.Add(wait)))
		return
	}
	r.overdraft = min(r.overdraft+granted, r.overdraftLimit(limit))
	r.limiter.Grant.Publish(blackboard.NewGrant(tokens, now.Add(overdraftLifetime), 0))
}

// overdraftLimit returns the largest overdraft of this daemon: its even share of the
// burst. However long the store was unavailable, its bucket then holds no more than the
// burst that was not taken from it.
func (r *refiller) overdraftLimit(limit bucket.Limit) int {
	part := limit.Burst / float64(r.board.Roster.Value().Size())
	return max(int(math.Ceil(part)), maxTokensAhead)
}

// publishTaken publishes the tokens that a call took from the shared bucket, less the
// overdraft, which is settled first.
func (r *refiller) publishTaken(result takeResult, limit bucket.Limit) {
	now := clock.Now()
	if result.err != nil {
		r.recordFailure(result.err)
		return
	}
	if r.failedAt != 0 {
		r.failedAt = 0
		r.log.Info().Str("workspace", r.workspace).Int("debt", r.overdraft).Msg("shared bucket is available again")
	}
	r.seedEstimate(limit)
	settled := min(result.taken, r.overdraft)
	r.overdraft -= settled
	tokens := result.taken - settled + r.limiter.Grant.Value().Close()
	if tokens == 0 {
		r.limiter.Grant.Publish(blackboard.NewGrant(0, 0, now.Add(result.wait)))
		return
	}
	r.limiter.Grant.Publish(blackboard.NewGrant(tokens, now.Add(bucket.GrantLifetime(limit)), 0))
}

// seedAtStart raises the estimate to the content of the bucket as it was first read. The
// daemon then need not wait until its first write is done, which takes long while all
// daemons start. Until others report what they admit, only this daemon's even part counts,
// so that all together stay within the content. It does nothing until the daemon knows how
// many others use the bucket, or if its part is less than one token.
func (r *refiller) seedAtStart(tokens float64, limit bucket.Limit) {
	part := tokens * r.board.ReportingFraction()
	if r.board.Roster.Value().Loaded && (part >= 1 || tokens < 1) {
		r.known = true
		r.raiseEstimate(part, limit)
	}
}

func (r *refiller) raiseEstimate(tokens float64, limit bucket.Limit) {
	r.limiter.Estimate.Update(func(old bucket.Estimate) bucket.Estimate {
		return r.advanceEstimate(old, r.limiter, limit).RaisedTo(tokens)
	})
}

// seedEstimate raises the estimate to what the shared bucket holds, once: a daemon that
// has just started has seen no admissions. It does not do so later, since the bucket does
// not show what daemons granted on overdraft.
func (r *refiller) seedEstimate(limit bucket.Limit) {
	if r.seeded {
		return
	}
	r.seeded, r.known = true, true
	r.raiseEstimate(r.state.Tokens, limit)
}

// recordFailure records a call that failed and grants tokens on overdraft. It ignores calls
// that were cancelled because the refiller stops.
func (r *refiller) recordFailure(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if r.failedAt == 0 {
		r.log.Warn().Str("workspace", r.workspace).Float64("requests_per_s", r.requestsPerSecond).
			Float64("heard_part", r.board.ReportingFraction()).Err(err).
			Msg("shared bucket is unavailable; requests are admitted by an estimate of it")
	}
	r.failedAt = clock.Now()
	if limit, ok := r.limit(); ok {
		r.grantOverdraft(limit)
	}
}
