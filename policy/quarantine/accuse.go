package quarantine

import (
	"cmp"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
)

// accusation is the evidence against a segment: all crashes that are blamed on it, in order
// of time, and those that count.
type accusation struct {
	crashes, counted []*blackboard.CrashClaim
}

// accusations returns the evidence against each segment. A fleet is given by the number of
// its daemons.
func (l *Ledger) accusations(daemons int) map[blackboard.Segment]*accusation {
	bySegment := make(map[blackboard.Segment]*accusation)
	for i := range l.crashes {
		for _, s := range l.blamed(&l.crashes[i]) {
			if bySegment[s] == nil {
				bySegment[s] = new(accusation)
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

// blamed returns the segments on which the crash is blamed: those of which no daemon knows an
// answer, or all of them if there is none such, since a segment may turn deadly.
func (l *Ledger) blamed(c *blackboard.CrashClaim) []blackboard.Segment {
	var blamed []blackboard.Segment
	for _, s := range c.Segments {
		if _, answered := l.clears[s]; !answered {
			blamed = append(blamed, s)
		}
	}
	if len(blamed) == 0 {
		return c.Segments
	}
	return blamed
}

// isExplained reports whether the crash does not count against the segment: its request also
// had a segment that is quarantined already, or against which more crashes count.
func isExplained(c *blackboard.CrashClaim, s blackboard.Segment, bySegment map[blackboard.Segment]*accusation, verdicts map[blackboard.Segment]*Verdict) bool {
	for _, other := range c.Segments {
		if other == s {
			continue
		}
		if verdicts[other] != nil {
			return true
		}
		if a := bySegment[other]; a != nil && len(a.counted) > len(bySegment[s].counted) {
			return true
		}
	}
	return false
}
