package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
)

// segmentEvidence is the evidence against a segment: all crashes after its last known answer, in
// order of time, and those that count.
type segmentEvidence struct {
	crashes, counted []*blackboard.CrashClaim
	// answered reports whether an answer from before is known. A segment may turn deadly, but
	// one that was never answered is the more likely cause.
	answered bool
}

// answeredFactor is how much more evidence quarantines a segment that was answered before.
const answeredFactor = 2

// weight compares the evidence with that against other segments of the same requests.
func (a *segmentEvidence) weight() int {
	if a.answered {
		return len(a.counted) / answeredFactor
	}
	return len(a.counted)
}

// evidenceBySegment returns the evidence against each segment. A fleet is given by the number of
// its daemons.
func (l *Ledger) evidenceBySegment(daemons int) map[blackboard.Segment]*segmentEvidence {
	bySegment := make(map[blackboard.Segment]*segmentEvidence)
	for i := range l.crashes {
		for _, s := range l.crashes[i].Segments {
			if bySegment[s] == nil {
				_, answered := l.clears[s]
				bySegment[s] = &segmentEvidence{answered: answered}
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

// evidenceIndex is the evidence against all segments, as it is weighed.
type evidenceIndex struct {
	bySegment map[blackboard.Segment]*segmentEvidence
	// segments holds the segments of all requests that an engine held when it ended.
	segments  map[engineStart][]blackboard.Segment
	decisions map[blackboard.Segment]*Decision // before the evidence is weighed
	ends      map[engineStart]engineEnd
}

// evidenceIndex returns the evidence. A fleet is given by the number of its daemons.
func (l *Ledger) evidenceIndex(daemons int) *evidenceIndex {
	d := &evidenceIndex{bySegment: l.evidenceBySegment(daemons), segments: make(map[engineStart][]blackboard.Segment), decisions: maps.Clone(l.decisions), ends: l.ends}
	for i := range l.crashes {
		start := startOf(&l.crashes[i])
		d.segments[start] = append(d.segments[start], l.crashes[i].Segments...)
	}
	return d
}

// isExplained reports whether the crash does not count against the segment: the engine also
// held a request with a segment that is quarantined already, or one with more evidence
// against it.
func (d *evidenceIndex) isExplained(c *blackboard.CrashClaim, s blackboard.Segment) bool {
	return slices.ContainsFunc(d.segments[startOf(c)], func(other blackboard.Segment) bool {
		return other != s && (d.decisions[other] != nil || d.outweighs(other, s))
	})
}

// outweighs reports whether there is more evidence against the segment than against another.
func (d *evidenceIndex) outweighs(s, other blackboard.Segment) bool {
	a := d.bySegment[s]
	return a != nil && a.weight() > d.bySegment[other].weight()
}

// isExplainedAway reports whether each engine that ended with the segment also held a request with
// a quarantined segment that has more evidence against it.
func (d *evidenceIndex) isExplainedAway(s blackboard.Segment) bool {
	suspect := d.bySegment[s]
	if suspect == nil {
		return false
	}
	isCause := func(other blackboard.Segment) bool {
		return other != s && d.decisions[other] != nil && d.outweighs(other, s)
	}
	for _, c := range suspect.crashes {
		if !slices.ContainsFunc(d.segments[startOf(c)], isCause) {
			return false
		}
	}
	return true
}
