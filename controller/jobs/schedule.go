package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/due"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// preempt takes items off engines that have more requests than slots, and all items off
// slow engines.
func (c *Controller) preempt() {
	now := clock.Now()
	delays := c.board.Roster.Value().LoadDelays()
	for _, e := range c.board.Engines.Value().All {
		if e.Load.Batch.Load() > 0 && c.mustLeave(e, now) {
			c.preemptItems(e, int(e.Load.Batch.Load()), "leaves a version that is replaced")
			continue
		}
		if now.Sub(c.preemptedAt[e.ID]) < placement.PreemptionInterval(delays, e.DataCentre == c.self.DataCentre) {
			continue
		}
		if !e.IsUsable() {
			continue // a draining engine finishes what it runs
		}
		count, reason := placement.ItemsToPreempt(e, rand.Float64()), "gives way to online requests"
		if count == 0 && placement.PreemptForMemory(e, c.memoryTokens(e), rand.Float64()) {
			count, reason = 1, "leaves memory to online requests"
		}
		if e.Load.Health.IsSlow(now) {
			count, reason = int(e.Load.Batch.Load()), "leaves a slow engine"
		}
		if count > 0 {
			c.preemptedAt[e.ID] = now
			c.preemptItems(e, count, reason)
		}
	}
}

// memoryTokens returns the tokens that the engine can hold, or 0 if that is not known.
func (c *Controller) memoryTokens(e *blackboard.Engine) int64 {
	if cat := c.board.Catalog.Value(); cat != nil {
		return c.board.MemoryTokens(cat.Service(e.Service))
	}
	return 0
}

// preemptItems cancels up to n items that run at the engine. They wait for another engine
// and continue there after their last event.
func (c *Controller) preemptItems(e *blackboard.Engine, n int, reason string) {
	for _, s := range c.selectItemsToPreempt(e.ID, n) {
		c.log.Info().Str("item", s.item().ID).Str("job", s.job.key.ID).Str("engine", e.ID).Str("reason", reason).
			Int("engine_busy", e.RequestCount()).Dur("pace", e.Load.Health.MeanInterval(clock.Now())).Int64("event", s.lastEvent()).Msg("item is preempted")
		s.cancelled = true
		s.cancel()
	}
}

// selectItemsToPreempt returns up to n items that run at the engine, beginning with those
// that package due would start last.
func (c *Controller) selectItemsToPreempt(engine string, n int) []*itemState {
	var found []*itemState
	for _, o := range c.owned {
		for _, s := range o.running {
			if s.engine == engine && !s.cancelled && !c.isUnansweredTrial(s) {
				found = append(found, s)
			}
		}
	}
	now := c.board.StoreNow()
	slices.SortFunc(found, func(a, b *itemState) int { return due.Compare(c.dueJob(b), c.dueJob(a), now) })
	return found[:min(n, len(found))]
}

// dueJob returns what package due needs to order the item's job.
func (c *Controller) dueJob(s *itemState) due.Job {
	head := &s.job.head.Head
	return due.Job{Due: head.Submitted + head.DueAfter, Remaining: c.runTime.Remaining(s.elapsed())}
}

// startItems gives up the waiting items that will not run any more, and starts others on
// engines that have free slots, in the order of package due.
func (c *Controller) startItems(ctx context.Context) {
	c.giveUpItems()
	c.stopped = !c.canStart()
	if c.stopped {
		return
	}
	var jobs []*ownedJob
	for _, o := range c.owned {
		if c.ownsWaitingItems(o) && c.selectNext(o) {
			jobs = append(jobs, o)
		}
	}
	now := c.board.StoreNow()
	slices.SortFunc(jobs, func(a, b *ownedJob) int {
		return c.compareNext(a.waiting[0], b.waiting[0], now)
	})
	for _, o := range jobs {
		// A late job leaves the slots to other daemons, whose items can finish on time. It
		// starts no more than a trial.
		isLate := !c.dueJob(o.waiting[0]).CanFinishOnTime(now) && c.board.PeersWithBatchDemand.Load() > 0
		if isLate && !c.wouldBeTrial(o.waiting[0]) {
			continue
		}
		for len(o.waiting) > 0 && c.running < maxRunningItems {
			if !c.startItem(ctx, o) || isLate {
				break
			}
		}
	}
}

// compareNext orders items that may start: trials first, since their lease ends soon and other
// items wait for their outcome, then as package due does.
func (c *Controller) compareNext(a, b *itemState, now time.Duration) int {
	if x, y := c.wouldBeTrial(a), c.wouldBeTrial(b); x != y {
		if x {
			return -1
		}
		return 1
	}
	return due.Compare(c.dueJob(a), c.dueJob(b), now)
}

// canStart reports whether items may be started. If the store is unavailable for
// this daemon only, other daemons may have read changes that it misses, and it starts
// none. While the store is unavailable for all daemons, no daemon can read a change, and
// items use the slots that online requests leave.
func (c *Controller) canStart() bool {
	read := c.board.ConfigRead.Value()
	recent := read.SentWithin(maxReadAgeToStart, clock.Now())
	everRead := read.SentAt != 0 && c.board.Roster.Value().Loaded
	outage := everRead && !recent && c.board.ReportingFraction() >= outageReportingFraction && !c.board.PeerReadWithin(maxReadAgeToStart)
	if outage != c.outage {
		c.outage = outage
		c.log.Info().Bool("away", outage).Float64("heard_part", c.board.ReportingFraction()).
			Dur("reading_age", clock.Since(read.SentAt)).Msg("store outage for all daemons began or ended")
	}
	return recent || outage
}

// startItem starts the job's next item that may start, and reports whether it did. It does
// not if there is none, or no engine has room.
func (c *Controller) startItem(ctx context.Context, o *ownedJob) bool {
	route, _ := c.startableRoute(o)
	if route == nil || !c.selectNext(o) {
		return false
	}
	service := c.board.Catalog.Value().Service(route.PickService(rand.Float64()))
	if service == nil {
		return false
	}
	s := o.waiting[0]
	query := placement.BatchQuery{
		Query:                    placement.NewQuery(c.board, service, rand.Float64),
		PeersWithBatchDemand:     int(c.board.PeersWithBatchDemand.Load()),
		NearPeersWithBatchDemand: int(c.board.NearPeersWithBatchDemand.Load()),
		Interval:                 schedulingInterval,
	}
	query.Tried, query.Tokens = s.failedRecently, s.tokens
	engine := c.chooseEngine(s, service.Name, &query)
	if engine == nil || !s.gate.EnterItem(c.board.Quarantine.Value(), c.board.ItemTrials.Value(), clock.Now()) {
		return false
	}
	if s.gate.Lease() != nil {
		c.logItem(s, engine, nil).Msg("item is sent as a trial of its quarantined segments")
	}
	o.waiting = o.waiting[1:]
	c.run(ctx, s, route, engine)
	return true
}
