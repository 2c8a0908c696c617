package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// Segment is the hash of the id of one segment of a prompt that several requests may
// share. The last segment of a prompt is never among a request's shared segments.
type Segment uint64

// EngineCrash is the end of an engine's process while it held a request. If it had not begun to
// answer it, that is evidence against the request's shared segments.
type EngineCrash struct {
	// Engine and StartedAtMs identify the start of the engine that ended.
	Engine      string
	StartedAtMs int64
	// Request is the hash of the request's id.
	Request uint64
	// Segments are the shared segments of the request that were not known to be sound. Without
	// any, the crash is only the end of an engine, and Request is 0.
	Segments []Segment
	// Held are all shared segments of the request. Other daemons are not told of them.
	Held []Segment
	// SeenAt is when this daemon found that the engine had ended.
	SeenAt clock.Instant
}

// Quarantine is the immutable set of segments that crash engines. The zero value is empty.
type Quarantine struct {
	// BySegment holds the quarantined segments.
	BySegment map[Segment]*Quarantined
	// Suspected holds the segments of at least one recent crash that are not quarantined.
	Suspected map[Segment]bool
}

// Quarantined is one quarantined segment. All snapshots of a quarantine share it.
type Quarantined struct {
	// Since is when this daemon quarantined the segment, or last saw it crash an engine.
	Since clock.Instant
	// TrialDue is when the fleet may next run one request with the segment.
	TrialDue clock.Instant
	// trialTaken reports whether this daemon has used its trial.
	trialTaken atomic.Bool
	// MayTry reports whether this daemon is the one that may run the trial once it is due.
	MayTry bool
}

// TakeTrial reports whether the caller may run the trial. Only one caller gets it.
func (q *Quarantined) TakeTrial(now clock.Instant) bool {
	return q.isTrial(now) && q.trialTaken.CompareAndSwap(false, true)
}

// TrialTaken reports whether this daemon has used its trial.
func (q *Quarantined) TrialTaken() bool { return q.trialTaken.Load() }

// isTrial reports whether a request with the segment would be this daemon's trial.
func (q *Quarantined) isTrial(now clock.Instant) bool {
	return q.MayTry && now >= q.TrialDue && !q.trialTaken.Load()
}

// CrashQueue passes crashes from requests to the controller that judges them. It drops
// crashes instead of blocking a request.
type CrashQueue struct {
	ch      chan EngineCrash
	dropped atomic.Int64
}

// maxQueuedCrashes is the number of crashes that may wait for the controller.
const maxQueuedCrashes = 256

// NewCrashQueue returns an empty queue.
func NewCrashQueue() *CrashQueue { return &CrashQueue{ch: make(chan EngineCrash, maxQueuedCrashes)} }

// Report queues the crash.
func (q *CrashQueue) Report(c EngineCrash) {
	select {
	case q.ch <- c:
	default:
		q.dropped.Add(1)
	}
}

// Chan returns the channel from which the controller receives.
func (q *CrashQueue) Chan() <-chan EngineCrash { return q.ch }

// Dropped returns the number of dropped crashes.
func (q *CrashQueue) Dropped() int64 { return q.dropped.Load() }

// SoundSegments remembers which segments engines answered lately. It has a fixed size and
// forgets segments when others take their places. Its methods take no lock and may be
// called from several goroutines.
type SoundSegments struct {
	places [soundPlaces]struct {
		segment atomic.Uint64
		at      atomic.Int64 // clock.Instant
	}
}

const (
	// soundPlaces is the number of segments that are remembered, a power of 2.
	soundPlaces = 8192
	// soundValidity is how long a segment counts as sound after it was last answered.
	soundValidity = 10 * time.Minute
)

// Record records that an engine answered a request with the segments.
func (s *SoundSegments) Record(segments []Segment, now clock.Instant) {
	for _, segment := range segments {
		p := &s.places[uint64(segment)%soundPlaces]
		p.segment.Store(uint64(segment))
		p.at.Store(int64(now))
	}
}

// IsSound reports whether the segment was recorded lately. It may miss one that was
// recorded.
func (s *SoundSegments) IsSound(segment Segment, now clock.Instant) bool {
	at, ok := s.AnsweredAt(segment)
	return ok && now.Sub(at) < soundValidity
}

// AnsweredAt returns when the segment was last recorded, or false if it was not. It may miss
// one that was recorded.
func (s *SoundSegments) AnsweredAt(segment Segment) (at clock.Instant, ok bool) {
	p := &s.places[uint64(segment)%soundPlaces]
	if p.segment.Load() != uint64(segment) {
		return 0, false
	}
	at = clock.Instant(p.at.Load())
	return at, at != 0 && p.segment.Load() == uint64(segment) // a record of another segment changes this first
}
