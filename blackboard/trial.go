package blackboard

import (
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// SegmentGate keeps a request or batch item from engines while one of its segments is
// quarantined, unless it runs as the trial of that segment. It must not be used by several
// goroutines at once.
type SegmentGate struct {
	// Segments are the shared segments of the prompt.
	Segments []Segment
	trial    *Quarantined // that the request took, or nil
}

// Blocked reports whether the request must not run, and returns the time until the next
// trial of the segment that blocks it.
func (g *SegmentGate) Blocked(quarantine *Quarantine, now clock.Instant) (wait time.Duration, blocked bool) {
	q, wait := quarantine.Blocked(g.Segments, now)
	return wait, q != nil && q != g.trial && !q.isTrial(now)
}

// Enter reports whether the request may be sent to an engine now, for which it takes the
// trial of its segment if necessary.
func (g *SegmentGate) Enter(quarantine *Quarantine, now clock.Instant) bool {
	q, _ := quarantine.Blocked(g.Segments, now)
	if q == nil || q == g.trial {
		return true
	}
	if !q.TakeTrial(now) {
		return false
	}
	g.trial = q
	return true
}

// IsTrial reports whether the request runs as a trial.
func (g *SegmentGate) IsTrial() bool { return g.trial != nil }

// EndTrial ends the trial after the request ran, so that it needs another one to run again.
func (g *SegmentGate) EndTrial() { g.trial = nil }
