package loads

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// totals is the sum of the reports of the other daemons.
type totals struct {
	online, batch  map[string]int64                     // numbers of requests, by engine
	tokens         map[string]int64                     // of these, by engine
	failures       map[string][]placement.FailureClaim  // by engine
	suspectedFrom  map[string][]string                  // by engine: data centres of the daemons that suspect it
	leaving        map[string]bool                      // engines that leave according to a daemon
	waitingDaemons int                                  // number of daemons on which batch items wait
	waitingNearby  int                                  // number of these in the own data centre
	daemons        int                                  // number of daemons whose load is in the sums
	ages           time.Duration                        // of the reports, together; a sum counts for each of its daemons
	lastReadAt     clock.Instant                        // when a daemon sent the newest read of the configuration
	rollouts       map[string]*blackboard.RolloutTotals // by service
}

// applyTotals replaces the other daemons' part of the engines' loads by the sum of the
// recent reports of running daemons. This drops the part of daemons that have stopped.
func (c *Controller) applyTotals(roster *blackboard.Roster) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropStale(roster, now)
	t := c.totals(roster)
	c.board.PeerReportAge.Store(int64(t.meanAge(roster)))
	c.estimates.update(c.board.Engines.Value(), now)
	c.publishPaced(now)
	c.logSlow(c.board.Engines.Value(), now)
	c.applyFailures(t.failures, now)
	engines := c.board.Engines.Value().All
	for _, e := range engines {
		e.Load.PeerOnline.Store(t.online[e.ID])
		e.Load.PeerBatch.Store(t.batch[e.ID])
		e.Load.PeerTokens.Store(t.tokens[e.ID])
		e.Load.LeavingByPeers.Store(t.leaving[e.ID])
		c.setEjected(e, placement.ShouldEject(roster.Self.DataCentre, t.suspectedFrom[e.ID]))
	}
	for _, e := range placement.SlowEngines(engines, now) {
		c.markSlow(e, now)
	}
	c.publishRollouts(t.rollouts)
	c.board.PeersWithBatchDemand.Store(int64(t.waitingDaemons))
	c.board.NearPeersWithBatchDemand.Store(int64(t.waitingNearby))
	c.board.ReportingDaemons.Store(int64(t.daemons) + 1)
	c.board.PeerReadAt.Store(int64(t.lastReadAt))
	c.board.ReportsAt.Store(int64(now))
}

// dropStale drops reports that are too old, and all that came from daemons that do not
// run any more. The caller holds c.mu.
func (c *Controller) dropStale(roster *blackboard.Roster, now clock.Instant) {
	for key, r := range c.reports {
		if now.Sub(r.receivedAt) > maxReportAge || !roster.Has(r.From) {
			delete(c.reports, key)
		}
	}
	for series := range c.admitted {
		if !roster.Has(series.from) {
			delete(c.admitted, series)
		}
	}
}

// totals adds up the reports. A daemon whose data centre sent a sum counts with that only.
// The caller holds c.mu.
func (c *Controller) totals(roster *blackboard.Roster) totals {
	t := totals{
		online: make(map[string]int64), batch: make(map[string]int64), failures: make(map[string][]placement.FailureClaim),
		suspectedFrom: make(map[string][]string), leaving: make(map[string]bool), rollouts: make(map[string]*blackboard.RolloutTotals),
	}
	for _, r := range c.reports {
		dataCentre := roster.DataCentreOf(r.From)
		if r.DataCentre == nil && c.reports[sumKey(dataCentre)] != nil && dataCentre != roster.Self.DataCentre {
			continue
		}
		before := t.daemons
		t.add(r, dataCentre)
		t.ages += clock.Since(r.receivedAt) * time.Duration(t.daemons-before)
		if r.WaitingItems > 0 && dataCentre == roster.Self.DataCentre {
			t.waitingNearby++
		}
	}
	return t
}

// maxSuspicions is the number of suspicions of one engine by one data centre from which on
// more make no difference.
const maxSuspicions = 2

// add adds a report that came from the data centre.
func (t *totals) add(r *report, dataCentre string) {
	switch {
	case r.DataCentre != nil:
		t.daemons += r.DataCentre.Daemons
		t.waitingDaemons += r.DataCentre.WaitingDaemons
	case r.WaitingItems > 0:
		t.daemons++
		t.waitingDaemons++
	default:
		t.daemons++
	}
	addRollouts(t.rollouts, r.Rollouts)
	t.addFailures(r)
	t.tokens = addTokens(t.tokens, r.Tokens)
	t.lastReadAt = max(t.lastReadAt, r.lastReadAt())
	for id, counts := range r.Engines {
		t.online[id] += counts[0]
		t.batch[id] += counts[1]
		if counts[4] > 0 {
			t.leaving[id] = true
		}
		for range min(counts[3], maxSuspicions) {
			t.suspectedFrom[id] = append(t.suspectedFrom[id], dataCentre)
		}
	}
}

// setEjected records whether the suspicions of other daemons eject the engine.
func (c *Controller) setEjected(e *blackboard.Engine, ejected bool) {
	if e.Load.Health.SuspectedByPeers.Swap(ejected) != ejected {
		c.log.Info().Str("engine", e.ID).Bool("avoided", ejected).Msg("engine was ejected or readmitted by the suspicions of other daemons")
	}
}

// markSlow records that the engine is much slower than others.
func (c *Controller) markSlow(e *blackboard.Engine, now clock.Instant) {
	if !e.Load.Health.IsSlow(now) {
		c.log.Warn().Str("engine", e.ID).Dur("pace", e.Load.Health.MeanInterval(now)).Msg("engine is much slower than other engines")
	}
	e.Load.Health.MarkSlow(now)
}
