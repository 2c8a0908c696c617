package blackboard

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// SegmentGate keeps a request or batch item from engines while one of its segments is
// quarantined, unless it runs as the trial of each of them. It must not be used by several
// goroutines at once.
type SegmentGate struct {
	// Segments are the shared segments of the prompt.
	Segments []Segment
	trials   []*Quarantined // that the request took
	lease    *TrialLease    // that the batch item took, or nil
}

// Fork returns a copy for another goroutine.
func (g *SegmentGate) Fork() SegmentGate {
	return SegmentGate{Segments: g.Segments, trials: slices.Clone(g.trials)}
}

// Blocked reports whether the request must not run, and returns the time until the last of
// the trials that it waits for.
func (g *SegmentGate) Blocked(quarantine *Quarantine, now clock.Instant) (wait time.Duration, blocked bool) {
	for _, s := range g.Segments {
		q := quarantine.BySegment[s]
		if q == nil || slices.Contains(g.trials, q) || q.isTrial(now) {
			continue
		}
		blocked = true
		wait = max(wait, q.TrialDue.Sub(now))
	}
	return wait, blocked
}

// Enter reports whether the request may be sent to an engine now, for which it takes the
// trials of its segments if necessary.
func (g *SegmentGate) Enter(quarantine *Quarantine, now clock.Instant) bool {
	if _, blocked := g.Blocked(quarantine, now); blocked {
		return false
	}
	for _, s := range g.Segments {
		q := quarantine.BySegment[s]
		if q == nil || slices.Contains(g.trials, q) {
			continue
		}
		if !q.TakeTrial(now) {
			return false
		}
		g.trials = append(g.trials, q)
	}
	return true
}

// IsTrial reports whether the request runs as a trial.
func (g *SegmentGate) IsTrial() bool { return len(g.trials) > 0 }

// EndTrial ends the trials after the request ran, so that it needs others to run again.
func (g *SegmentGate) EndTrial() { g.trials = nil }
