package jobs

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// maxHeldSets bounds the combinations of segments that are published. There are at most 256
// quarantined segments.
const maxHeldSets = 256

// heldSets collects the quarantined segments of items that wait for a trial.
type heldSets struct{ sets [][]blackboard.Segment }

// add adds the quarantined segments of an item.
func (h *heldSets) add(set []blackboard.Segment) {
	if len(h.sets) < maxHeldSets && !slices.ContainsFunc(h.sets, func(o []blackboard.Segment) bool { return slices.Equal(o, set) }) {
		h.sets = append(h.sets, set)
	}
}

// publish publishes the sets if they changed. The smallest come first: a trial of a segment alone
// may clear it, while with a segment that crashes engines it only waits longer.
func (h *heldSets) publish(board *blackboard.EntryBoard) {
	slices.SortFunc(h.sets, func(a, b []blackboard.Segment) int {
		return cmp.Or(cmp.Compare(len(a), len(b)), slices.Compare(a, b))
	})
	if !slices.EqualFunc(board.HeldSegments.Value().Sets, h.sets, slices.Equal) {
		board.HeldSegments.Publish(&blackboard.HeldSegments{Sets: h.sets})
	}
}

// countHolds returns for each reason how many items of the job wait for it, and adds the
// segments for whose trial items wait.
func (c *Controller) countHolds(o *ownedJob, held *heldSets) (holds [blackboard.HoldReasons]int) {
	if len(o.waiting) == 0 {
		return holds
	}
	route, _ := c.startableRoute(o)
	now := clock.Now()
	for _, s := range o.waiting {
		reason := c.holdReason(s, route, now)
		holds[reason]++
		if reason == blackboard.HeldByQuarantine || reason == blackboard.HeldForEngine && c.wouldBeTrial(s) {
			held.add(s.gate.Quarantined(c.board.Quarantine.Value()))
		}
	}
	return holds
}

// holdReason returns why the item waits.
func (c *Controller) holdReason(s *itemState, route *catalog.Route, now clock.Instant) blackboard.HoldReason {
	switch {
	case c.draining.Load():
		return blackboard.HeldByLeaving
	case route == nil:
		return blackboard.HeldByRoute
	case s.isExhausted(route):
		return blackboard.HeldByAttempts
	case c.stopped:
		return blackboard.HeldWithoutStore
	case c.mayStart(s, now):
		return blackboard.HeldForEngine
	case now < s.retryAt:
		return blackboard.HeldAfterFailure
	case s.gate.ItemBlocked(c.board.Quarantine.Value(), c.board.ItemTrials.Value(), now):
		return blackboard.HeldByQuarantine
	default:
		return blackboard.HeldAfterCrash
	}
}

// logHeldJob logs once that items of the job wait although the job is due, with the reasons, and
// for one that waits for a trial with the segment, the next trial and who took the last one.
func (c *Controller) logHeldJob(o *ownedJob, holds *[blackboard.HoldReasons]int, now time.Duration) {
	if o.heldLogged || len(o.waiting) == 0 || o.head.DueAfter <= 0 || now <= o.head.Submitted+o.head.DueAfter {
		return
	}
	o.heldLogged = true
	line := c.log.Warn().Str("job", o.key.ID).Dur("overdue", now-o.head.Submitted-o.head.DueAfter)
	for reason, n := range holds {
		if n > 0 {
			line = line.Int(blackboard.HoldReason(reason).String(), n)
		}
	}
	trials := c.board.ItemTrials.Value().BySegment
	for _, s := range o.waiting {
		held := s.gate.Quarantined(c.board.Quarantine.Value())
		if len(held) == 0 {
			continue
		}
		line = line.Str("item", s.item().ID).Str("segment", strconv.FormatUint(uint64(held[0]), 16)).Int("segments", len(held))
		if status, ok := trials[held[0]]; ok {
			line = line.Dur("trial_in", status.Due.Sub(clock.Now())).Int("trials", status.Trials).Str("trial_holder", status.Holder)
		}
		break
	}
	line.Msg("batch job is held beyond its due time")
}
