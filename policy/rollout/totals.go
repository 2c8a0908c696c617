package rollout

import (
	"maps"

	"github.com/baobablanding/baobablanding/blackboard"
)

// OwnTotals returns what this daemon counted of the engines of the service.
func OwnTotals(v *blackboard.ServiceVersions, engines []*blackboard.Engine) blackboard.RolloutTotals {
	t := blackboard.RolloutTotals{
		Order: v.Order, Daemons: 1, AtStage: 1, Stage: v.Stage,
		Routes: make(map[string][2]blackboard.AnswerFigures), Engines: make(map[string]blackboard.AnswerFigures),
	}
	if routes := v.Counts.Routes.Load(); routes != nil {
		for name, route := range *routes {
			figures := [2]blackboard.AnswerFigures{route.Versions[0].Figures(), route.Versions[1].Figures()}
			if figures != ([2]blackboard.AnswerFigures{}) {
				t.Routes[name] = figures
			}
		}
	}
	for _, e := range engines {
		if counts := v.Counts.Engine(e.ID); counts != nil && e.Version == v.To && e.Version != v.InUse {
			if figures := counts.Figures(); figures[answered] > 0 {
				t.Engines[e.ID] = figures
			}
		}
	}
	for _, figures := range t.Engines {
		t.DaemonsWithAnswers = 1
		if figures[bad] > 0 {
			t.DaemonsWithBad = 1
		}
	}
	return t
}

// AddTotals returns the sum of the totals of other daemons of the same order.
func AddTotals(a, b blackboard.RolloutTotals) blackboard.RolloutTotals {
	sum := a
	sum.Daemons += b.Daemons
	sum.DaemonsWithBad += b.DaemonsWithBad
	sum.DaemonsWithAnswers += b.DaemonsWithAnswers
	switch {
	case a.Stage == b.Stage:
		sum.AtStage += b.AtStage
	case b.Stage < a.Stage:
		sum.Stage, sum.AtStage = b.Stage, b.AtStage
	}
	sum.Routes = addFigures(a.Routes, b.Routes, func(x, y [2]blackboard.AnswerFigures) [2]blackboard.AnswerFigures {
		return [2]blackboard.AnswerFigures{x[0].Add(y[0]), x[1].Add(y[1])}
	})
	sum.Engines = addFigures(a.Engines, b.Engines, blackboard.AnswerFigures.Add)
	return sum
}

// addFigures returns the sums by key.
func addFigures[T any](a, b map[string]T, add func(T, T) T) map[string]T {
	sum := maps.Clone(a)
	for key, figures := range b {
		sum[key] = add(sum[key], figures)
	}
	return sum
}
