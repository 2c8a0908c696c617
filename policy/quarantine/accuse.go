package quarantine

import (
	"cmp"
	"maps"
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

// docket is the evidence against all segments, as it is weighed.
type docket struct {
	accusations map[blackboard.Segment]*accusation
	// segments holds the segments of all requests that an engine held when it ended.
	segments map[engineStart][]blackboard.Segment
	verdicts map[blackboard.Segment]*Verdict // before the evidence is weighed
}

// docket returns the evidence. A fleet is given by the number of its daemons.
func (l *Ledger) docket(daemons int) *docket {
	d := &docket{accusations: l.accusations(daemons), segments: make(map[engineStart][]blackboard.Segment), verdicts: maps.Clone(l.verdicts)}
	for i := range l.crashes {
		start := startOf(&l.crashes[i])
		d.segments[start] = append(d.segments[start], l.crashes[i].Segments...)
	}
	return d
}

// isExplained reports whether the crash does not count against the segment: the engine also
// held a request with a segment that is quarantined already, or one with more evidence
// against it.
func (d *docket) isExplained(c *blackboard.CrashClaim, s blackboard.Segment) bool {
	return slices.ContainsFunc(d.segments[startOf(c)], func(other blackboard.Segment) bool {
		return other != s && (d.verdicts[other] != nil || d.outweighs(other, s))
	})
}

// outweighs reports whether there is more evidence against the segment than against another.
func (d *docket) outweighs(s, other blackboard.Segment) bool {
	a := d.accusations[s]
	return a != nil && a.weight() > d.accusations[other].weight()
}

// isAcquitted reports whether each engine that ended with the segment also held a request with
// a quarantined segment that has more evidence against it.
func (d *docket) isAcquitted(s blackboard.Segment) bool {
	accused := d.accusations[s]
	if accused == nil {
		return false
	}
	isCause := func(other blackboard.Segment) bool {
		return other != s && d.verdicts[other] != nil && d.outweighs(other, s)
	}
	for _, c := range accused.crashes {
		if !slices.ContainsFunc(d.segments[startOf(c)], isCause) {
			return false
		}
	}
	return true
}
