package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// clearTellingTime is how long an answer is told to other daemons after evidence from before
// it last arrived.
const clearTellingTime = 10 * time.Second

// Evidence returns what the ledger holds for other daemons. It may be told to them until
// Version changes.
func (l *Ledger) Evidence(now clock.Instant) *blackboard.Evidence {
	e := &blackboard.Evidence{Crashes: slices.Clone(l.crashes)}
	for _, v := range l.decisions {
		e.Decisions = append(e.Decisions, blackboard.DecisionClaim{
			Reporter: l.self, Segment: v.Segment, LastCrash: v.LastCrash, TrialDue: v.TrialDue, Extensions: v.Extensions,
		})
	}
	for _, claim := range l.claims {
		e.Decisions = append(e.Decisions, claim)
	}
	for _, c := range l.clears {
		if l.isTold(c, now) {
			e.Clears = append(e.Clears, c.ClearClaim)
		}
	}
	return e
}

// isTold reports whether other daemons may need to know of the answer.
func (l *Ledger) isTold(c cleared, now clock.Instant) bool {
	return now.Sub(c.contradictedAt) < clearTellingTime
}

// countTold returns the number of answers that are told to other daemons.
func (l *Ledger) countTold(now clock.Instant) int {
	n := 0
	for _, c := range l.clears {
		if l.isTold(c, now) {
			n++
		}
	}
	return n
}

// Doubtful returns the segments for which there is evidence, each once.
func (l *Ledger) Doubtful() []blackboard.Segment {
	doubtful := make(map[blackboard.Segment]bool)
	for i := range l.crashes {
		for _, s := range l.crashes[i].Segments {
			doubtful[s] = true
		}
	}
	for s := range l.decisions {
		doubtful[s] = true
	}
	for key := range l.claims {
		doubtful[key.segment] = true
	}
	return slices.Collect(maps.Keys(doubtful))
}
