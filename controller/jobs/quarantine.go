package jobs

import (
	"context"
	"slices"
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

// mayStart reports whether the item may run now: its segments are not quarantined, or it may
// be their trial, and it does not wait after a crash or a failed attempt.
func (c *Controller) mayStart(s *itemState, now clock.Instant) bool {
	if now < s.retryAt {
		return false
	}
	quarantine := c.board.Quarantine.Value()
	if s.crashedAt == 0 && len(quarantine.BySegment) == 0 {
		return true
	}
	return !s.gate.ItemBlocked(quarantine, c.board.ItemTrials.Value(), now) && !c.pausesAfterCrash(s, now)
}

// pausesAfterCrash reports whether the item waits because an engine crashed with it.
func (c *Controller) pausesAfterCrash(s *itemState, now clock.Instant) bool {
	pause := now.Sub(s.crashedAt)
	return s.crashedAt != 0 && pause < maxCrashPause && (pause < minCrashPause || !c.isSound(s, now))
}

// isSuspected reports whether an engine crashed lately under a request with a segment of the
// item, and nothing else is known of that segment. The previous owner of the item may have seen
// that crash; the checkpoint does not say so.
func (c *Controller) isSuspected(s *itemState) bool {
	suspected := c.board.Quarantine.Value().Suspected
	return slices.ContainsFunc(s.gate.Segments, func(segment blackboard.Segment) bool {
		return suspected[segment] && !c.board.SoundSegments.IsSound(segment, clock.Now())
	})
}

// wouldBeTrial reports whether the item, which may start, has a quarantined segment.
func (c *Controller) wouldBeTrial(s *itemState) bool {
	return len(s.gate.Quarantined(c.board.Quarantine.Value())) > 0
}

// isUnansweredTrial reports whether the running item is a trial to which the engine has not
// written a response yet. Such a run is not preempted, since the trial would be lost; it ends
// by itself within quarantine.ItemTrialRunTime.
func (c *Controller) isUnansweredTrial(s *itemState) bool {
	return s.gate.Lease() != nil && !c.answeredSince(s, s.startedAt)
}

// answeredSince reports whether engines have answered requests with each of the segments of the
// item's lease since the time.
func (c *Controller) answeredSince(s *itemState, since clock.Instant) bool {
	for _, segment := range s.gate.Lease().Segments {
		if at, ok := c.board.SoundSegments.AnsweredAt(segment); !ok || at < since {
			return false
		}
	}
	return true
}

// endTrial ends the lease of an item whose run ended.
func (c *Controller) endTrial(s *itemState, outcome runOutcome) {
	switch {
	case s.gate.Lease() == nil:
	case outcome == notRun:
		s.gate.EndLease(blackboard.TrialNotSent)
	case c.answeredSince(s, s.startedAt):
		s.gate.EndLease(blackboard.TrialAnswered)
	default:
		s.gate.EndLease(blackboard.TrialSpent)
	}
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

// selectNext moves the first item of the job that may start to the front of those that wait. An
// item that would be a trial goes before others, and of these one with which no engine crashed,
// so that each trial shows something about another item. It reports false if there is none.
func (c *Controller) selectNext(o *ownedJob) bool {
	route, _ := c.startableRoute(o)
	if route == nil {
		return false
	}
	now := clock.Now()
	hasLease := len(c.board.ItemTrials.Value().Leases) > 0
	next := -1
	for i, s := range o.waiting {
		if s.isExhausted(route) || !c.mayStart(s, now) {
			continue
		}
		if next < 0 || hasLease && c.isBetterTrial(s, o.waiting[next]) {
			next = i
		}
		if !hasLease {
			break
		}
	}
	if next < 0 {
		return false
	}
	s := o.waiting[next]
	copy(o.waiting[1:next+1], o.waiting[:next])
	o.waiting[0] = s
	return true
}

// isBetterTrial reports whether an item should run as a trial rather than another one, or is the
// only one of both that would be a trial.
func (c *Controller) isBetterTrial(s, other *itemState) bool {
	if !c.wouldBeTrial(s) {
		return false
	}
	return !c.wouldBeTrial(other) || s.crashedAt < other.crashedAt
}

// checkCrash returns crashed instead of interrupted if the engine crashed with the item.
func (c *Controller) checkCrash(ctx context.Context, r *itemRun, outcome runOutcome, err error) runOutcome {
	if outcome == interrupted && r.written() {
		c.engines.Crashes.ObserveEnd(&r.message, r.engine, err)
		return outcome
	}
	if outcome == interrupted && c.engines.Crashes.Check(ctx, &r.message, r.engine, err) {
		return crashed
	}
	return outcome
}
