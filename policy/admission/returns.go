// Package admission decides what becomes of a request that cannot begin at once: whether it
// waits or is refused, and when a refused caller should come back.
package admission

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

const (
	// returnFraction is the part of the time a caller has left up to which it honours a
	// Retry-After.
	returnFraction = 1.0 / 3
	// answerTime is the part of the caller's time that the refusal may need to reach it.
	answerTime = 30 * time.Millisecond
	// maxReturn bounds the time that callers without a short time limit are told. Loads
	// change within a few seconds, so that a later prediction would say nothing.
	maxReturn = 5 * time.Second
	// spreadFraction is the part of the latest time by which callers are spread that
	// would all be told that time.
	spreadFraction = 0.1
)

// LatestReturn returns the longest Retry-After that is told to a caller that has the given
// time left. The caller honours it.
func LatestReturn(left time.Duration) time.Duration {
	return max(min(time.Duration(float64(left-answerTime)*returnFraction), maxReturn), 0)
}

// ReturnQueue is the virtual queue of the callers that one daemon refused and told to come
// back. Each gets the time at which a token, or a place, is expected to be free for it after
// those of the callers before it. The zero value is an empty queue. Its methods may be called
// from several goroutines and never wait.
type ReturnQueue struct {
	tail atomic.Int64 // clock.Instant from which nothing is reserved
}

// Refusal describes a refused request.
type Refusal struct {
	// Now is the current instant.
	Now clock.Instant
	// Earliest is the time after which a caller that is refused alone comes back.
	Earliest time.Duration
	// Debt is the time until something is free at all by the estimate of what others use.
	// It counts only behind other callers.
	Debt time.Duration
	// PerSecond is the number of tokens or places that become free each second for this
	// daemon's callers.
	PerSecond float64
	// CallerLeft is how long the caller still waits for its response.
	CallerLeft time.Duration
	// Random is a number in [0, 1), which spreads the callers.
	Random float64
}

// Return says when a refused caller should come back.
type Return struct {
	// After is the time that it is told.
	After time.Duration
	// Waiting is how long the queue was, as the time until it would have been empty.
	Waiting time.Duration
	// Late reports whether nothing is expected to be free for the caller while it still
	// comes back. It was told the latest time that it honours and reserves nothing.
	Late bool
}

// Join adds a refused caller to the queue and returns when it should come back. Behind an
// empty queue that is r.Earliest.
func (q *ReturnQueue) Join(r Refusal) Return {
	first := r.Now.Add(r.Earliest)
	latest := LatestReturn(r.CallerLeft)
	step := min(stepOf(r.PerSecond), latest) // by then the caller has come back or never will
	for {
		tail := q.tail.Load()
		if clock.Instant(tail) <= first {
			if q.tail.CompareAndSwap(tail, int64(first.Add(step))) {
				return Return{After: r.Earliest}
			}
			continue
		}
		slot := max(clock.Instant(tail), r.Now.Add(r.Debt))
		waiting := clock.Instant(tail).Sub(r.Now)
		if slot.Sub(r.Now) > latest {
			return Return{After: spreadBefore(latest, r.Random), Waiting: waiting, Late: true}
		}
		if q.tail.CompareAndSwap(tail, int64(slot.Add(step))) {
			after := slot.Sub(r.Now) + time.Duration(r.Random*float64(step))
			return Return{After: min(after, latest), Waiting: waiting}
		}
	}
}

// maxStep bounds the time that one caller reserves, so that instants do not overflow.
const maxStep = time.Hour

// stepOf returns the time between two that become free.
func stepOf(perSecond float64) time.Duration {
	if !(perSecond > 1/maxStep.Seconds()) { // also if it is NaN
		return maxStep
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// spreadBefore returns a time from the last part of the given one.
func spreadBefore(latest time.Duration, random float64) time.Duration {
	return latest - time.Duration(random*spreadFraction*float64(latest))
}
