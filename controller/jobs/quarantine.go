package jobs

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/relay"
)

const (
	// minCrashPause and maxCrashPause bound how long an item that met a crash of an engine
	// waits for a finding about its segments before it runs again.
	minCrashPause = time.Second
	maxCrashPause = 2 * time.Second
)

// Engines is the way to the engines.
type Engines struct {
	// Client sends items to engines.
	Client relay.EngineClient
	// Crashes finds out which runs ended because the engine crashed.
	Crashes *relay.CrashDetector
	// Segments returns the shared segments of the prompt of an item with the headers.
	Segments func(header map[string]string) []blackboard.Segment
	// Tokens returns the tokens that an item with the headers takes in an engine's memory, or
	// 0 if they do not say. It may be nil.
	Tokens func(header map[string]string) int64
}

// mayStart reports whether the item may run now: its segments are not quarantined, or it is
// their trial, and it does not wait after a crash.
func (c *Controller) mayStart(s *itemState, now clock.Instant) bool {
	quarantine := c.board.Quarantine.Value()
	if s.crashedAt == 0 && len(quarantine.BySegment) == 0 {
		return true
	}
	if _, blocked := s.gate.Blocked(quarantine, now); blocked {
		return false
	}
	pause := now.Sub(s.crashedAt)
	return s.crashedAt == 0 || pause >= maxCrashPause || pause >= minCrashPause && c.isSound(s, now)
}

// isSound reports whether all segments of the item are known to be sound.
func (c *Controller) isSound(s *itemState, now clock.Instant) bool {
	for _, segment := range s.gate.Segments {
		if !c.board.SoundSegments.IsSound(segment, now) {
			return false
		}
	}
	return true
}

// selectNext moves the first item of the job that may start to the front of those that wait.
// It reports false if there is none.
func (c *Controller) selectNext(o *ownedJob) bool {
	route, _ := c.startableRoute(o)
	if route == nil {
		return false
	}
	now := clock.Now()
	for i, s := range o.waiting {
		if !s.isExhausted(route) && c.mayStart(s, now) {
			copy(o.waiting[1:i+1], o.waiting[:i])
			o.waiting[0] = s
			return true
		}
	}
	return false
}

// countStartable returns the number of items of the job that wait and may start.
func (c *Controller) countStartable(o *ownedJob) int {
	route, _ := c.startableRoute(o)
	if route == nil {
		return 0
	}
	now := clock.Now()
	n := 0
	for _, s := range o.waiting {
		if !s.isExhausted(route) && c.mayStart(s, now) {
			n++
		}
	}
	return n
}

// checkCrash returns crashed instead of interrupted if the engine crashed with the item.
func (c *Controller) checkCrash(ctx context.Context, r *itemRun, outcome runOutcome, err error) runOutcome {
	if outcome == interrupted && !r.written() && c.engines.Crashes.Check(ctx, &r.message, r.engine, err) {
		return crashed
	}
	return outcome
}
