package quarantine

import (
	"cmp"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
)

// accusation is the evidence against a segment: all crashes after its last known answer, in
// order of time, and those that count.
type accusation struct {
	crashes, counted []*blackboard.CrashClaim
	// answered reports whether an answer from before is known. A segment may turn deadly, but
	// one that was never answered is the more likely cause.
	answered bool
}

// answeredFactor is how much more evidence convicts a segment that was answered before.
const answeredFactor = 2

// weight compares the evidence with that against other segments of the same requests.
func (a *accusation) weight() int {
	if a.answered {
		return len(a.counted) / answeredFactor
	}
	return len(a.counted)
}

// accusations returns the evidence against each segment. A fleet is given by the number of
// its daemons.
func (l *Ledger) accusations(daemons int) map[blackboard.Segment]*accusation {
	bySegment := make(map[blackboard.Segment]*accusation)
	for i := range l.crashes {
		for _, s := range l.crashes[i].Segments {
			if bySegment[s] == nil {
				_, answered := l.clears[s]
				bySegment[s] = &accusation{answered: answered}
			}
			bySegment[s].crashes = append(bySegment[s].crashes, &l.crashes[i])
		}
	}
	for _, a := range bySegment {
		slices.SortStableFunc(a.crashes, func(a, b *blackboard.CrashClaim) int { return cmp.Compare(a.SeenAt, b.SeenAt) })
		a.counted = slices.Clone(countedCrashes(a.crashes, l.self, daemons))
	}
	return bySegment
}

// isExplained reports whether the crash does not count against the segment: its request also
// had a segment that is quarantined already, or one with more evidence against it.
func isExplained(c *blackboard.CrashClaim, s blackboard.Segment, bySegment map[blackboard.Segment]*accusation, verdicts map[blackboard.Segment]*Verdict) bool {
	for _, other := range c.Segments {
		if other == s {
			continue
		}
		if verdicts[other] != nil {
			return true
		}
		if a := bySegment[other]; a != nil && a.weight() > bySegment[s].weight() {
			return true
		}
	}
	return false
}
