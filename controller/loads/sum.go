package loads

import (
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// totals is what the reports of the other daemons say together.
type totals struct {
	online, batch map[string]int64    // requests, by engine
	suspects      map[string][]string // data centres of the daemons that avoid the engine
	waiting       int                 // daemons on which batch items wait
	read          clock.Instant       // of the last reading of the store
}

// sum adds up the reports of the daemons that run, which drops those of daemons
// that do not.
func (c *Controller) sum(roster *blackboard.Roster) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(roster, now)
	t := c.totals(roster)
	engines := c.board.Engines.Value().All
	for _, e := range engines {
		e.Load.PeerOnline.Store(t.online[e.ID])
		e.Load.PeerBatch.Store(t.batch[e.ID])
		c.judge(e, placement.Verdict(roster.Self.DataCentre, t.suspects[e.ID]))
	}
	for _, e := range placement.Slow(engines, now) {
		c.noteSlow(e, now)
	}
	c.board.Rivals.Store(int64(t.waiting))
	c.board.Heard.Store(int64(len(c.reports)) + 1)
	c.board.PeersRead.Store(int64(t.read))
}

// forget drops what old reports and daemons that do not run told.
func (c *Controller) forget(roster *blackboard.Roster, now clock.Instant) {
	for from, r := range c.reports {
		if now.Sub(r.at) > maxAge || !roster.Has(from) {
			delete(c.reports, from)
		}
	}
	for from := range c.admitted {
		if !roster.Has(from) {
			delete(c.admitted, from)
		}
	}
}

func (c *Controller) totals(roster *blackboard.Roster) totals {
	t := totals{online: make(map[string]int64), batch: make(map[string]int64), suspects: make(map[string][]string)}
	for from, r := range c.reports {
		if r.Waiting > 0 {
			t.waiting++
		}
		t.read = max(t.read, r.read())
		for id, counts := range r.Engines {
			t.online[id] += counts[0]
			t.batch[id] += counts[1]
			if counts[3] != 0 {
				t.suspects[id] = append(t.suspects[id], roster.DataCentreOf(from))
			}
		}
	}
	return t
}

// judge notes whether other daemons found the engine bad.
func (c *Controller) judge(e *blackboard.Engine, bad bool) {
	if e.Load.Health.PeersAvoid.Swap(bad) != bad {
		c.log.Info().Str("engine", e.ID).Bool("avoided", bad).Msg("verdict of other daemons on an engine")
	}
}

// noteSlow notes that the engine is much slower than others.
func (c *Controller) noteSlow(e *blackboard.Engine, now clock.Instant) {
	if !e.Load.Health.Slow(now) {
		c.log.Warn().Str("engine", e.ID).Dur("pace", e.Load.Health.Pace(now)).Msg("engine is much slower than others")
	}
	e.Load.Health.FoundSlow(now)
}
