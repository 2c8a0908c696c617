package rates

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/bucket"
	"github.com/baobablanding/baobablanding/timer"
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
	perSecond float64 // requests that asked
	granted   float64 // tokens a second that were given
	given     int     // tokens since the last average
	lost      bool
}

func (c *Controller) newAccount(workspace string, share *blackboard.Share) *account {
	return &account{Controller: c, workspace: workspace, share: share, averaged: clock.Now()}
}

func (a *account) run(ctx context.Context) {
	for {
		select {
		case <-a.share.Needed:
			a.refill(ctx)
			if a.lost {
				timer.Sleep(ctx, creditTime)
			}
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
	return bucket.Limit{Rate: w.Rate, Burst: math.Max(w.Burst, 1)}, true
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
	given := float64(a.given) / math.Max(passed.Seconds(), minAverageTime.Seconds())
	a.granted += weight * (given - a.granted)
	a.given = 0
}

// refill replaces the share's grant. While the store does not answer, requests
// get tokens on credit.
func (a *account) refill(ctx context.Context) {
	limit, ok := a.limit()
	if !ok || !a.share.Grant.Value().Low(clock.Now()) {
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
	wait := patience
	for {
		select {
		case o := <-done:
			a.finish(o, want, limit)
			return
		case <-time.After(wait):
			a.giveCredit(limit)
			wait = creditTime
		case <-ctx.Done():
			<-done
			return
		}
	}
}

// giveCredit publishes tokens that were not taken from the bucket. It gives no
// more than the daemon was given lately, or a part of its even share: whatever
// callers ask meanwhile, all daemons together stay near the rate.
func (a *account) giveCredit(limit bucket.Limit) {
	unused := a.share.Grant.Value().Close()
	a.debt -= min(unused, a.debt)
	even := limit.Rate / float64(a.board.Roster.Value().Size())
	rate := math.Max(math.Min(a.granted, limit.Rate), evenPart*even)
	exact := rate * creditTime.Seconds()
	tokens := int(exact)
	if rand.Float64() < exact-float64(tokens) {
		tokens++
	}
	a.debt += tokens
	now := clock.Now()
	a.share.Grant.Publish(blackboard.NewGrant(tokens, now.Add(2*creditTime), 0))
}

// finish publishes what was taken.
func (a *account) finish(o outcome, want int, limit bucket.Limit) {
	now := clock.Now()
	if o.err != nil {
		a.fail(o.err)
		return
	}
	if a.lost {
		a.lost = false
		a.log.Info().Str("workspace", a.workspace).Int("debt", a.debt).Msg("shared rate is reached again")
	}
	paid := min(max(o.taken-want, 0), a.debt)
	a.debt -= paid
	tokens := o.taken - paid + a.share.Grant.Value().Close()
	if tokens == 0 {
		a.share.Grant.Publish(blackboard.NewGrant(0, 0, now.Add(o.wait)))
		return
	}
	a.given += max(o.taken-o.returned, 0)
	a.share.Grant.Publish(blackboard.NewGrant(tokens, now.Add(bucket.Validity(limit)), 0))
}

// fail gives tokens on credit after a call that failed.
func (a *account) fail(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if !a.lost {
		a.lost = true
		a.log.Warn().Str("workspace", a.workspace).Float64("requests_per_s", a.perSecond).Err(err).
			Msg("shared rate is not reached; requests are admitted at the recent rate of this daemon")
	}
	if limit, ok := a.limit(); ok {
		a.giveCredit(limit)
	}
}
