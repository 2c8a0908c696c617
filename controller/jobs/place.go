package jobs

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/policy/due"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// trim takes items away from engines that have more requests than slots.
func (c *Controller) trim() {
	now := clock.Now()
	for _, e := range c.board.Engines.Value().All {
		if now.Sub(c.trimmed[e.ID]) < trimPause {
			continue
		}
		if !e.Usable() {
			continue // a leaving engine finishes what it runs
		}
		excess, why := placement.Excess(e, rand.Float64()), "gives way to online requests"
		if e.Load.Health.Slow(now) {
			excess, why = int(e.Load.Batch.Load()), "leaves a slow engine"
		}
		if excess > 0 {
			c.trimmed[e.ID] = now
			c.takeAway(e, excess, why)
		}
	}
}

// takeAway cuts items that run at the engine.
func (c *Controller) takeAway(e *blackboard.Engine, n int, why string) {
	for _, p := range c.latest(e.ID, n) {
		c.log.Info().Str("item", p.item().ID).Str("job", p.job.key.ID).Str("engine", e.ID).Str("reason", why).
			Int("engine_busy", e.Busy()).Dur("pace", e.Load.Health.Pace(clock.Now())).Int64("event", p.last()).Msg("item is moved")
		p.cut = true
		p.cancel()
	}
}

// latest returns up to n items that run at the engine, in the reverse order
// of their starts.
func (c *Controller) latest(engine string, n int) []*progress {
	var found []*progress
	for _, o := range c.owned {
		for _, p := range o.running {
			if p.engine == engine && !p.cut {
				found = append(found, p)
			}
		}
	}
	now := c.board.StoreNow()
	slices.SortFunc(found, func(a, b *progress) int { return due.Compare(c.due(b), c.due(a), now) })
	return found[:min(n, len(found))]
}

// due returns what the order of the item's job depends on.
func (c *Controller) due(p *progress) due.Job {
	head := &p.job.head.Head
	return due.Job{Due: head.Submitted + head.Due, Remaining: c.runTime.Remaining(p.soFar())}
}

// start gives waiting items to engines with room, in the order of package due.
func (c *Controller) start(ctx context.Context) {
	if !c.mayStart() {
		return
	}
	var jobs []*owned
	for _, o := range c.owned {
		if len(o.waiting) > 0 && o.head.Open() && o.head.Owner == c.self.Incarnation {
			jobs = append(jobs, o)
		}
	}
	now := c.board.StoreNow()
	slices.SortFunc(jobs, func(a, b *owned) int { return due.Compare(c.due(a.waiting[0]), c.due(b.waiting[0]), now) })
	for _, o := range jobs {
		if !c.due(o.waiting[0]).OnTime(now) && c.board.Rivals.Load() > 0 {
			return // other daemons have items that can end in time
		}
		for len(o.waiting) > 0 && c.running < maxRunning {
			if !c.startItem(ctx, o) {
				break
			}
		}
	}
}

// mayStart tells whether items may be started. A daemon that alone does not reach
// the store may miss what others were told. While the store is away for all, nobody
// can be told anything, and items use the engines that online requests leave.
func (c *Controller) mayStart() bool {
	reading := c.board.Reading.Value()
	recent := reading.Within(startValidity, clock.Now())
	began := reading.Sent != 0 && c.board.Roster.Value().Known
	outage := began && !recent && c.board.HeardPart() >= heardForAll && !c.board.PeersReadWithin(startValidity)
	if outage != c.outage {
		c.outage = outage
		c.log.Info().Bool("away", outage).Float64("heard_part", c.board.HeardPart()).
			Dur("reading_age", clock.Since(reading.Sent)).Msg("items run without the store")
	}
	return recent || outage
}

// startItem starts the job's next item and tells whether an engine had room.
func (c *Controller) startItem(ctx context.Context, o *owned) bool {
	cat := c.board.Catalog.Value()
	route := cat.RouteByName(o.head.Route)
	if route == nil {
		c.giveUpAll(o, "the route was removed")
		return false
	}
	if route.MaxAge > 0 && clock.Since(o.seen) > route.MaxAge {
		c.giveUpAll(o, "the job is too old")
		return false
	}
	service := cat.Service(route.Pick(rand.Float64()))
	if service == nil {
		return false
	}
	p := o.waiting[0]
	query := placement.BatchQuery{
		Query: placement.Query{
			DataCentre: c.self.DataCentre, Now: clock.Now(), ColdRate: service.ColdRate,
			Daemons: c.board.Roster.Value().Size(), Random: rand.Float64, Tried: p.wasRefused,
			Homes: c.board.Homes.Value(),
		},
		Rivals: int(c.board.Rivals.Load()),
	}
	engine := placement.ChooseForBatch(c.board.Engines.Value().OfService(service.Name), &query)
	if engine == nil {
		return false
	}
	o.waiting = o.waiting[1:]
	c.run(ctx, p, route, engine)
	return true
}

// giveUpAll gives up every item of the job that waits.
func (c *Controller) giveUpAll(o *owned, reason string) {
	for _, p := range o.waiting {
		c.log.Warn().Str("item", p.item().ID).Str("job", o.key.ID).Str("reason", reason).Msg("item is given up")
		o.finished = append(o.finished, p.result(job.GivenUp))
	}
	o.waiting = nil
}
