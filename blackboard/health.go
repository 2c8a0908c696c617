package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// EngineHealth judges an engine by its responses, independently of the state that
// the engine reports. The zero value is a healthy engine. Its methods are called
// on the request path from several goroutines.
type EngineHealth struct {
	failureScore atomic.Int64 // evidence of failures, see failureWeight
	suspectUntil atomic.Int64 // clock.Instant, moved by each failure
	slowUntil    atomic.Int64 // clock.Instant, moved when the engine is found slow
	meanInterval atomic.Int64 // mean inter-event interval, in ns
	lastEventAt  atomic.Int64 // clock.Instant of the last event of a stream
	failedAt     atomic.Int64 // clock.Instant of the last failed answer to an online request
	wellAt       atomic.Int64 // clock.Instant of the sending of the last request that was answered well
	// FailsByPeers reports whether the engine answers requests of several daemons with
	// failures. It is then the last choice only. controller/loads writes it.
	FailsByPeers atomic.Bool
	// SuspectedByPeers reports whether enough other daemons suspect the engine.
	// controller/loads writes it.
	SuspectedByPeers atomic.Bool
}

const (
	// failureWeight is what a failure adds to the score; a success subtracts 1.
	// The score, and with it the duration of the suspicion, keeps growing for an
	// engine that fails more than a third of its requests.
	failureWeight    = 2
	maxFailureScore  = 10
	minSuspicionTime = 500 * time.Millisecond
	maxSuspicionTime = 4 * time.Second
	// intervalWeight is the weight of a new interval in the moving average.
	intervalWeight = 0.15
	// intervalValidity is how long the mean interval is used after the last event.
	intervalValidity = time.Second
	// slowDuration is how long an engine is suspected after it was found slow.
	slowDuration = 1500 * time.Millisecond
)

// update replaces the value by next of it and returns the new value. No concurrent update
// is lost.
func update(value *atomic.Int64, next func(int64) int64) int64 {
	for {
		old := value.Load()
		if n := next(old); value.CompareAndSwap(old, n) {
			return n
		}
	}
}

// RecordSuccess records a successful response of the engine.
func (h *EngineHealth) RecordSuccess() {
	update(&h.failureScore, func(n int64) int64 { return max(n-1, 0) })
}

// RecordFailure records a failure of the engine. This daemon then suspects the engine
// for a time that doubles with each failure that successes have not yet offset, from
// minSuspicionTime to maxSuspicionTime.
func (h *EngineHealth) RecordFailure(now clock.Instant) {
	score := update(&h.failureScore, func(n int64) int64 { return min(n+failureWeight, maxFailureScore) })
	suspicion := min(minSuspicionTime<<((score-1)/failureWeight), maxSuspicionTime)
	h.suspectUntil.Store(int64(now.Add(suspicion)))
}

// RecordFailedAnswer records that the engine itself answered an online request with a failure,
// which no path between daemon and engine can cause.
func (h *EngineHealth) RecordFailedAnswer(now clock.Instant) {
	update(&h.failedAt, func(at int64) int64 { return max(at, int64(now)) })
}

// RecordGoodAnswer records that the engine answered well a request that was sent at the
// instant. Requests that were sent before a failure say nothing about the time after it.
func (h *EngineHealth) RecordGoodAnswer(sentAt clock.Instant) {
	update(&h.wellAt, func(at int64) int64 { return max(at, int64(sentAt)) })
}

// LastAnswers returns when the last failed answer came, and when the last request was sent
// that the engine answered well. Either is 0 if there was none.
func (h *EngineHealth) LastAnswers() (failedAt, wellAt clock.Instant) {
	return clock.Instant(h.failedAt.Load()), clock.Instant(h.wellAt.Load())
}

// ObserveInterval records one inter-event interval of a stream. The average restarts
// at the interval if the last event is older than intervalValidity.
func (h *EngineHealth) ObserveInterval(interval time.Duration, now clock.Instant) {
	last := clock.Instant(h.lastEventAt.Swap(int64(now)))
	update(&h.meanInterval, func(mean int64) int64 {
		if mean == 0 || now.Sub(last) > intervalValidity {
			return int64(interval)
		}
		return mean + int64(intervalWeight*float64(int64(interval)-mean))
	})
}

// MeanInterval returns the mean inter-event interval, or 0 if the last event is older
// than intervalValidity.
func (h *EngineHealth) MeanInterval(now clock.Instant) time.Duration {
	if now.Sub(clock.Instant(h.lastEventAt.Load())) > intervalValidity {
		return 0
	}
	return time.Duration(h.meanInterval.Load())
}

// LastEventAt returns when the last event of a stream arrived, or 0 before the first.
func (h *EngineHealth) LastEventAt() clock.Instant { return clock.Instant(h.lastEventAt.Load()) }

// MarkSlow records that the engine is much slower than the other engines.
func (h *EngineHealth) MarkSlow(now clock.Instant) { h.slowUntil.Store(int64(now.Add(slowDuration))) }

// IsSlow reports whether this daemon recently found the engine much slower than the
// other engines.
func (h *EngineHealth) IsSlow(now clock.Instant) bool { return int64(now) < h.slowUntil.Load() }

// IsSuspected reports whether this daemon suspects the engine, because it failed or
// is slow.
func (h *EngineHealth) IsSuspected(now clock.Instant) bool {
	return int64(now) < h.suspectUntil.Load() || h.IsSlow(now)
}

// IsEjected reports whether the engine is ejected: this daemon suspects it, or
// enough other daemons do.
func (h *EngineHealth) IsEjected(now clock.Instant) bool {
	return h.IsSuspected(now) || h.SuspectedByPeers.Load()
}
