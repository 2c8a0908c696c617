package loads

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/rollout"
)

// maxReportedEngines is the number of new engines of a service in a report, which bounds its
// size. Those with the most bad answers come first.
const maxReportedEngines = 24

// ownRollouts returns what this daemon counted during the current orders, by service, or nil
// without an order.
func (c *Controller) ownRollouts() map[string]*blackboard.RolloutTotals {
	rollouts := c.board.Rollouts.Value()
	if rollouts == nil {
		return nil
	}
	var own map[string]*blackboard.RolloutTotals
	for service, versions := range rollouts.ByService {
		if versions.Counts == nil {
			continue
		}
		if own == nil {
			own = make(map[string]*blackboard.RolloutTotals)
		}
		totals := rollout.OwnTotals(versions, c.board.Engines.Value().OfService(service))
		own[service] = &totals
	}
	return own
}

// encodeRollouts returns the form of the totals in a report.
func encodeRollouts(totals map[string]*blackboard.RolloutTotals) map[string]peer.RolloutCounts {
	if len(totals) == 0 {
		return nil
	}
	encoded := make(map[string]peer.RolloutCounts, len(totals))
	for service, t := range totals {
		counts := peer.RolloutCounts{
			Order: t.Order, Stage: int(t.Stage), AtStage: t.AtStage, Daemons: t.Daemons,
			DaemonsWithAnswers: t.DaemonsWithAnswers, DaemonsWithBad: t.DaemonsWithBad,
			Routes: make(map[string][2][7]int64, len(t.Routes)), Engines: make(map[string][2]int64, len(t.Engines)),
		}
		for name, figures := range t.Routes {
			counts.Routes[name] = [2][7]int64{figures[0], figures[1]}
		}
		for _, id := range worstEngines(t.Engines) {
			counts.Engines[id] = [2]int64{t.Engines[id][1], t.Engines[id][2]}
		}
		encoded[service] = counts
	}
	return encoded
}

// worstEngines returns the ids of the engines that go into a report.
func worstEngines(engines map[string]blackboard.AnswerFigures) []string {
	ids := slices.SortedFunc(maps.Keys(engines), func(a, b string) int {
		return cmp.Or(cmp.Compare(engines[b][2], engines[a][2]), cmp.Compare(engines[b][1], engines[a][1]), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), maxReportedEngines)]
}

// decodeRollout returns the totals that a report holds of one roll-out.
func decodeRollout(counts peer.RolloutCounts) blackboard.RolloutTotals {
	t := blackboard.RolloutTotals{
		Order: counts.Order, Stage: blackboard.RolloutStage(counts.Stage), AtStage: counts.AtStage, Daemons: counts.Daemons,
		DaemonsWithAnswers: counts.DaemonsWithAnswers, DaemonsWithBad: counts.DaemonsWithBad,
		Routes:  make(map[string][2]blackboard.AnswerFigures, len(counts.Routes)),
		Engines: make(map[string]blackboard.AnswerFigures, len(counts.Engines)),
	}
	for name, figures := range counts.Routes {
		t.Routes[name] = [2]blackboard.AnswerFigures{figures[0], figures[1]}
	}
	for id, figures := range counts.Engines {
		t.Engines[id] = blackboard.AnswerFigures{1: figures[0], 2: figures[1]}
	}
	return t
}

// addRollouts adds what a report holds of roll-outs. Of two orders of a service, the newer one
// counts: the other has ended.
func addRollouts(totals map[string]*blackboard.RolloutTotals, reported map[string]peer.RolloutCounts) {
	for service, counts := range reported {
		next := decodeRollout(counts)
		if old := totals[service]; old != nil && old.Order >= next.Order {
			if old.Order > next.Order {
				continue
			}
			next = rollout.AddTotals(*old, next)
		}
		totals[service] = &next
	}
}

// publishRollouts publishes what the other daemons counted.
func (c *Controller) publishRollouts(totals map[string]*blackboard.RolloutTotals) {
	if len(totals) > 0 || len(c.board.PeerRollouts.Value()) > 0 {
		c.board.PeerRollouts.Publish(totals)
	}
}
