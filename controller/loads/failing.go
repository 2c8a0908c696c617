package loads

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/placement"
)

const (
	// failureReportTime is how long a daemon reports a failed or good answer of an engine.
	failureReportTime = 3 * time.Second
	// maxFailingOfDaemon and maxFailingOfSum bound the engines of which one report tells
	// failed answers.
	maxFailingOfDaemon, maxFailingOfSum = 16, 32
)

// ownFailing returns what this daemon's requests met at engines that answer with failures, or
// nil if there are none. It tells good answers only of engines that a daemon says to fail. The
// caller holds c.mu.
func (c *Controller) ownFailing(now clock.Instant) map[string]peer.EngineFailures {
	var failing map[string]peer.EngineFailures
	for _, e := range c.board.Engines.Value().All {
		failedAt, wellAt := e.Load.Health.LastAnswers()
		var f peer.EngineFailures
		if failedAt > wellAt && now.Sub(failedAt) < failureReportTime {
			f.Daemons, f.FailedMs = 1, ageMs(failedAt, now)+1
		}
		if wellAt != 0 && now.Sub(wellAt) < failureReportTime && len(c.failures[e.ID]) > 0 {
			f.WellMs = ageMs(wellAt, now) + 1
		}
		if f == (peer.EngineFailures{}) || !c.estimates.isCompared(e.Service, now) {
			continue
		}
		if failing == nil {
			failing = make(map[string]peer.EngineFailures)
		}
		failing[e.ID] = f
	}
	return failing
}

// addFailing adds what a report of the given age says of failing engines to sum and returns it.
// It returns nil if both are nil.
func addFailing(sum, failing map[string]peer.EngineFailures, age time.Duration) map[string]peer.EngineFailures {
	if sum == nil && len(failing) > 0 {
		sum = make(map[string]peer.EngineFailures, len(failing))
	}
	ms := age.Milliseconds()
	for id, f := range failing {
		s := sum[id]
		sum[id] = peer.EngineFailures{
			Daemons: s.Daemons + f.Daemons, FailedMs: youngest(s.FailedMs, older(f.FailedMs, ms)), WellMs: youngest(s.WellMs, older(f.WellMs, ms)),
		}
	}
	return sum
}

// older returns the age, of which 0 is none, plus ms.
func older(age, ms int64) int64 {
	if age == 0 {
		return 0
	}
	return age + ms
}

// youngest returns the lower of two ages of which 0 is none.
func youngest(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// addFailures adds what the report says of failing engines to the claims.
func (t *totals) addFailures(r *report) {
	for id, f := range r.Failing {
		t.failures[id] = append(t.failures[id], placement.FailureClaim{
			Daemons: f.Daemons, FailedAt: r.instantOf(f.FailedMs), WellAt: r.instantOf(f.WellMs),
		})
	}
}

// instantOf returns the instant of an age in the report, of which 0 is none.
func (r *report) instantOf(ageMs int64) clock.Instant {
	if ageMs == 0 || ageMs > maxAge.Milliseconds() {
		return 0
	}
	return r.receivedAt.Add(-time.Duration(ageMs-1) * time.Millisecond)
}

// applyFailures makes the engines of a service whose answers failed on several daemons a last
// choice, unless too many of the service do. The caller holds c.mu.
func (c *Controller) applyFailures(failures map[string][]placement.FailureClaim, now clock.Instant) {
	c.failures = failures
	engines := c.board.Engines.Value()
	failing := make(map[*blackboard.Engine]bool)
	byService := make(map[string]int)
	for id, claims := range failures {
		e := engines.ByID(id)
		if e == nil || !c.estimates.isCompared(e.Service, now) {
			continue
		}
		own := placement.FailureClaim{Daemons: 1}
		own.FailedAt, own.WellAt = e.Load.Health.LastAnswers()
		if placement.FailsByAnswers(append(claims, own), now) {
			failing[e] = true
			byService[e.Service]++
		}
	}
	for _, e := range engines.All {
		fails := failing[e] && placement.MayAvoidFailing(byService[e.Service], len(engines.OfService(e.Service)))
		if e.Load.Health.FailsByPeers.Swap(fails) != fails {
			c.log.Info().Str("engine", e.ID).Bool("last_choice", fails).Msg("engine answers requests of several daemons with failures, or does so no more")
		}
	}
}
