package jobs

import (
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// onlineTrend is the trend of the online requests of a service.
type onlineTrend struct {
	admission.Trend
	// reserve is the number of slots of each engine, on average, that online requests are
	// expected to need until items can next be preempted and that is known.
	reserve float64
}

// followOnlineLoad updates the trend of the online requests of each service that uses the
// admission queue. Those that wait here count too.
func (c *Controller) followOnlineLoad() {
	levels, engines := make(map[string]float64), make(map[string]int)
	for _, e := range c.board.Engines.Value().All {
		if !c.board.UsesAdmissionQueue(e.Service) {
			continue
		}
		levels[e.Service] += float64(e.OnlineRequestCount())
		if e.IsUsable() {
			engines[e.Service]++
		}
	}
	next := make(map[string]onlineTrend, len(levels))
	waiting := float64(c.board.Places.Waiting.Load())
	delays := c.board.Roster.Value().LoadDelays()
	horizon := delays.Far + placement.PreemptionInterval(delays, false)
	for service, level := range levels {
		trend := c.trends[service].Next(level+waiting, clock.Now())
		next[service] = onlineTrend{trend, trend.Rise(horizon) / float64(max(engines[service], 1))}
	}
	c.trends = next
}
