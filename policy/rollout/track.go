package rollout

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// slowFactor is how many times the usual time of the old version an answer must take to
	// be bad. Versions that take 1.3 times longer are good, and engines differ by as much.
	slowFactor = 2.5
	// aloneInterval and aloneFirstEvent hold instead once all requests go to the new version.
	// The load may then have risen five times since the old version was measured, which
	// lengthens the time to the first event most.
	aloneInterval   = 4.0
	aloneFirstEvent = 8.0
	// lossInterval is the time within which lost connections to one engine count once. They
	// show one crash of its process.
	lossInterval = 300 * time.Millisecond
	// minFirstEvent and minInterval are times up to which an answer is never slow. They are
	// below what callers notice.
	minFirstEvent = 40 * time.Millisecond
	minInterval   = 10 * time.Millisecond
)

// Outcome is how an attempt at an engine ended.
type Outcome int

const (
	// NotCounted means that the attempt shows nothing of the version: it was not run, or
	// ended because of its caller or this daemon.
	NotCounted Outcome = iota
	// Answered means that the engine gave a whole answer that is no failure.
	Answered
	// Failed means that the engine answered with a failure.
	Failed
	// Lost means that the connection to the engine was lost.
	Lost
	// TimedOut means that the answer did not come in time. Once all requests go to the new
	// version, that may be due to the load alone, and shows nothing.
	TimedOut
)

// Tracker counts one attempt at an engine for the comparison of the versions. The zero value
// counts nothing. It must not be used by several goroutines at once.
type Tracker struct {
	route           *blackboard.RouteCounts
	version, engine *blackboard.AnswerCounts
	alone           bool // all requests went to the new version when the attempt was sent
	cold            bool // the engine was in cold start then, in which it may be slow

	sentAt, firstAt, lastAt clock.Instant
	events                  int
}

// Track counts that a request of the route is sent to the engine, and returns the Tracker of
// the attempt.
func (v *View) Track(e *blackboard.Engine, route string) Tracker {
	if v == nil || v.versions.Counts == nil {
		return Tracker{}
	}
	t := Tracker{route: v.versions.Counts.Route(route), engine: v.versions.Counts.Engine(e.ID), sentAt: v.now}
	index := versionIndex(v.versions, e)
	if t.route == nil || t.engine == nil || index < 0 {
		return Tracker{}
	}
	t.alone, t.cold = v.versions.Stage == blackboard.RolloutSwitch, e.IsCold(v.now)
	t.version = &t.route.Versions[index]
	t.version.Sent.Add(1)
	t.engine.Sent.Add(1)
	return t
}

// versionIndex returns the index of the engine's version, or -1 if it is neither.
func versionIndex(s *blackboard.ServiceVersions, e *blackboard.Engine) int {
	switch e.Version {
	case s.InUse:
		return blackboard.OldVersion
	case s.To:
		return blackboard.NewVersion
	default:
		return -1
	}
}

// Observe records n new events of the answer. The whole of an answer without events counts
// as one.
func (t *Tracker) Observe(n int, now clock.Instant) {
	if t.version == nil || n == 0 {
		return
	}
	if t.events == 0 {
		t.firstAt = now
	}
	t.events += n
	t.lastAt = now
}

// End counts how the attempt ended.
func (t *Tracker) End(outcome Outcome, now clock.Instant) {
	if t.version == nil || outcome == NotCounted || outcome == TimedOut && t.alone {
		return
	}
	bad := outcome != Answered
	if outcome == Lost {
		last := t.engine.LostAt.Swap(int64(now))
		if last != 0 && now.Sub(clock.Instant(last)) < lossInterval {
			return
		}
	}
	if t.events > 0 {
		bad = t.isSlow() || bad
		t.recordTimes()
	}
	for _, c := range []*blackboard.AnswerCounts{t.version, t.engine} {
		c.Answered.Add(1)
		if bad {
			c.Bad.Add(1)
		}
	}
}

// interval returns the mean time between two events, or 0 if there were fewer than two.
func (t *Tracker) interval() time.Duration {
	if t.events < 2 {
		return 0
	}
	return t.lastAt.Sub(t.firstAt) / time.Duration(t.events-1)
}

// isSlow reports whether the answer took several times longer than usual at the old version.
func (t *Tracker) isSlow() bool {
	if t.cold {
		return false
	}
	firstFactor, intervalFactor := slowFactor, slowFactor
	if t.alone {
		firstFactor, intervalFactor = aloneFirstEvent, aloneInterval
	}
	return exceeds(t.firstAt.Sub(t.sentAt), firstFactor, t.route.FirstEvent.Load(), minFirstEvent) ||
		exceeds(t.interval(), intervalFactor, t.route.Interval.Load(), minInterval)
}

// exceeds reports whether the time is the factor times the usual one, in ns, and above the
// minimum.
func exceeds(d time.Duration, factor float64, usual int64, minimum time.Duration) bool {
	return usual > 0 && d > minimum && float64(d) > factor*float64(usual)
}

func (t *Tracker) recordTimes() {
	t.version.FirstEvents.Add(1)
	t.version.FirstEventTime.Add(int64(t.firstAt.Sub(t.sentAt)))
	if interval := t.interval(); interval > 0 {
		t.version.Intervals.Add(1)
		t.version.IntervalTime.Add(int64(interval))
	}
}

// minUsualAnswers is the number of answers from which on the mean time is the usual one.
const minUsualAnswers = 5

// UsualTimes returns the usual time to the first event and between events by the figures of
// the old version; one that is not known yet is 0.
func UsualTimes(old blackboard.AnswerFigures) (firstEvent, interval time.Duration) {
	mean := func(count, sumMs int64) time.Duration {
		if count < minUsualAnswers {
			return 0
		}
		return max(time.Duration(sumMs)*time.Millisecond/time.Duration(count), 1)
	}
	return mean(old[3], old[4]), mean(old[5], old[6])
}
