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

// account gets the tokens of one workspace. It belongs to one goroutine.
type account struct {
	*Controller
	workspace string
	share     *blackboard.Share

	state     bucket.State
	version   int64 // of the row; 0 if it does not exist
	known     bool  // state and version are as they were last seen
	storeNow  time.Duration
	seen      clock.Instant // when storeNow was received
	debt      int           // tokens given on credit and not taken yet
	asked     int64
	averaged  clock.Instant
	perSecond float64       // requests that asked
	learned   bool          // the estimate began with what the bucket held
	lost      clock.Instant // when the last call failed, or 0 while the store answers
}

func (c *Controller) newAccount(workspace string, share *blackboard.Share) *account {
	return &account{Controller: c, workspace: workspace, share: share, averaged: clock.Now()}
}

func (a *account) run(ctx context.Context) {
	for {
		select {
		case <-a.share.Needed:
			a.refill(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// limit returns the workspace's rate, or false if it has none any more.
func (a *account) limit() (bucket.Limit, bool) {
	w := a.board.Catalog.Value().Workspace(a.workspace)
	if w == nil || w.Rate <= 0 {
		return bucket.Limit{}, false
	}
	return limitOf(w), true
}

// average updates the number of requests a second.
func (a *account) average() {
	now := clock.Now()
	passed := now.Sub(a.averaged)
	if passed <= 0 {
		return
	}
	asked := a.share.Asked.Load()
	rate := float64(asked-a.asked) / math.Max(passed.Seconds(), minAverageTime.Seconds())
	weight := 1 - math.Exp(-passed.Seconds()/averageTime.Seconds())
	a.perSecond += weight * (rate - a.perSecond)
	a.asked, a.averaged = asked, now
}

// refill replaces the share's grant. While the store does not answer, requests
// get tokens on credit.
func (a *account) refill(ctx context.Context) {
	limit, ok := a.limit()
	if !ok || !a.share.Grant.Value().Low(clock.Now()) {
		return
	}
	if a.lost != 0 && clock.Since(a.lost) < retryTime && !a.returned() {
		a.giveCredit(limit)
		return
	}
	if a.mayAdvance(limit) {
		a.giveCredit(limit)
		return
	}
	a.average()
	unused := 0
	if grant := a.share.Grant.Value(); grant.Expired(clock.Now()) {
		unused = grant.Close()
	}
	want := bucket.Want(a.perSecond, limit)
	done := make(chan outcome, 1)
	asked := want + a.debt // the debt grows while the call runs
	go func() { done <- a.take(ctx, limit, asked, unused) }()
	a.await(ctx, done, limit)
}

// mayAdvance tells whether the shared bucket surely holds enough for a few requests
// before the store is asked.
func (a *account) mayAdvance(limit bucket.Limit) bool {
	return limit.Rate <= maxAdvanceRate && a.debt < maxDebt && a.board.HeardPart() >= fullyHeard &&
		a.estimate(a.share.Estimate.Value(), a.share, limit).Rich(limit)
}

// await gives tokens on credit, whenever requests need some, until the call that
// takes tokens ends.
func (a *account) await(ctx context.Context, done <-chan outcome, limit bucket.Limit) {
	late := time.NewTimer(a.patience())
	defer late.Stop()
	var needed <-chan struct{} // nil until the call is late
	for {
		select {
		case o := <-done:
			a.finish(o, limit)
			return
		case <-late.C:
			needed = a.share.Needed
			a.giveCredit(limit)
		case <-needed:
			a.giveCredit(limit)
		case <-ctx.Done():
			<-done
			return
		}
	}
}

// patience returns how long requests wait for a call of the store before they get
// tokens on credit.
func (a *account) patience() time.Duration {
	switch {
	case a.lost == 0:
		return callPatience
	case a.returned():
		return returnPatience
	default:
		return 0
	}
}

// returned tells whether others read the store again, though the last call of this
// account failed.
func (a *account) returned() bool {
	return a.board.Reading.Value().Within(returnedAge, clock.Now())
}

// giveCredit publishes tokens that were not taken from the bucket, as many as the
// estimate of the bucket allows: whatever callers ask meanwhile, all daemons that
// hear each other stay at the rate.
func (a *account) giveCredit(limit bucket.Limit) {
	now := clock.Now()
	if !a.share.Grant.Value().Low(now) {
		return
	}
	unused := a.share.Grant.Value().Close()
	paid := min(unused, a.debt)
	a.debt -= paid
	estimate := a.estimate(a.share.Estimate.Value(), a.share, limit)
	credit := estimate.Part(a.board.Roster.Value().Size())
	tokens := credit + unused - paid
	if tokens == 0 {
		wait := max(estimate.Wait(limit), minWait)
		a.share.Grant.Publish(blackboard.NewGrant(0, 0, now.Add(wait)))
		return
	}
	a.debt = min(a.debt+credit, a.debtLimit(limit))
	a.share.Grant.Publish(blackboard.NewGrant(tokens, now.Add(creditTime), 0))
}

// debtLimit returns the largest debt of a daemon. However long the store was away,
// its bucket holds no more than the burst that was not taken from it.
func (a *account) debtLimit(limit bucket.Limit) int {
	part := limit.Burst / float64(a.board.Roster.Value().Size())
	return max(int(math.Ceil(part)), maxDebt)
}

// finish publishes what was taken, of which the debt is paid first.
func (a *account) finish(o outcome, limit bucket.Limit) {
	now := clock.Now()
	if o.err != nil {
		a.fail(o.err)
		return
	}
	if a.lost != 0 {
		a.lost = 0
		a.log.Info().Str("workspace", a.workspace).Int("debt", a.debt).Msg("shared rate is reached again")
	}
	a.learn(limit)
	paid := min(o.taken, a.debt)
	a.debt -= paid
	tokens := o.taken - paid + a.share.Grant.Value().Close()
	if tokens == 0 {
		a.share.Grant.Publish(blackboard.NewGrant(0, 0, now.Add(o.wait)))
		return
	}
	a.share.Grant.Publish(blackboard.NewGrant(tokens, now.Add(bucket.Validity(limit)), 0))
}

// learn takes in what the shared bucket holds, once: a daemon that has just started
// has seen no admissions. Later the bucket does not show what was given on credit.
func (a *account) learn(limit bucket.Limit) {
	if a.learned {
		return
	}
	a.learned = true
	a.share.Estimate.Update(func(old bucket.Estimate) bucket.Estimate {
		return a.estimate(old, a.share, limit).AtLeast(a.state.Tokens)
	})
}

// fail gives tokens on credit after a call that failed.
func (a *account) fail(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if a.lost == 0 {
		a.log.Warn().Str("workspace", a.workspace).Float64("requests_per_s", a.perSecond).
			Float64("heard_part", a.board.HeardPart()).Err(err).
			Msg("shared rate is not reached; requests are admitted by an estimate of the shared bucket")
	}
	a.lost = clock.Now()
	if limit, ok := a.limit(); ok {
		a.giveCredit(limit)
	}
}
