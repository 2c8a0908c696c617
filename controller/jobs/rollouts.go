package jobs

import (
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/policy/rollout"
)

// chooseEngine returns the engine for the item, or nil. With an engine, a first run counts as
// a request that reached the service.
func (c *Controller) chooseEngine(s *itemState, service string, query *placement.BatchQuery) *blackboard.Engine {
	view := rollout.NewView(c.board, service, query.Now)
	isFirst := s.lastEvent() < 0 && s.earlierRuns == 0
	engines := c.board.Engines.Value().OfService(service)
	engine := view.Choose(&query.Query, engines, isFirst, func() *blackboard.Engine {
		return placement.ChooseForBatch(engines, query)
	})
	if engine != nil && isFirst {
		view.Admit()
	}
	return engine
}

// mustLeave reports whether items must leave the engine, because the engines of its version
// are replaced.
func (c *Controller) mustLeave(e *blackboard.Engine, now clock.Instant) bool {
	duty, _ := rollout.NewView(c.board, e.Service, now).Duty(e)
	return duty != rollout.Keep
}

// versionOutcome returns what the end of an item's run shows of the engine's version.
func versionOutcome(outcome runOutcome, cancelled bool) rollout.Outcome {
	switch {
	case outcome == completed:
		return rollout.Answered
	case outcome == failed:
		return rollout.Failed
	case cancelled:
		return rollout.NotCounted
	case outcome == interrupted || outcome == crashed:
		return rollout.Lost
	default:
		return rollout.NotCounted
	}
}
