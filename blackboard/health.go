package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// EngineHealth is what the answers of an engine showed, whatever it says of
// itself. It is written on the path of a request.
type EngineHealth struct {
	failures   atomic.Int64 // evidence, which answers take back
	avoidUntil atomic.Int64 // instant, after failures
	slowUntil  atomic.Int64 // instant
	pace       atomic.Int64 // averaged time between two events, in ns
	paceAt     atomic.Int64 // instant of the last event
	// PeersAvoid tells that other daemons found the engine bad; its writer is
	// controller/loads.
	PeersAvoid atomic.Bool
}

const (
	// failureWeight is how many good answers take back the evidence of a failure:
	// an engine that fails a third of its requests is avoided ever longer.
	failureWeight = 2
	maxFailures   = 10
	firstAvoid    = 500 * time.Millisecond
	maxAvoid      = 4 * time.Second
	// paceWeight is the weight of a new interval in the average.
	paceWeight = 0.15
	// paceValidity is how long the pace counts after the last event.
	paceValidity = time.Second
	// slowTime is how long an engine counts as slow after it was found to be.
	slowTime = 1500 * time.Millisecond
)

// Succeeded notes that the engine answered.
func (h *EngineHealth) Succeeded() {
	if n := h.failures.Load(); n > 0 {
		h.failures.CompareAndSwap(n, n-1)
	}
}

// Failed notes that the engine failed. It is avoided for a time that grows with
// the evidence.
func (h *EngineHealth) Failed(now clock.Instant) {
	n := min(h.failures.Add(failureWeight), maxFailures)
	h.failures.Store(n)
	avoid := min(firstAvoid<<((n-1)/failureWeight), maxAvoid)
	h.avoidUntil.Store(int64(now.Add(avoid)))
}

// NotePace notes the time that passed between two events of a stream.
func (h *EngineHealth) NotePace(interval time.Duration, now clock.Instant) {
	average := h.pace.Load()
	if average == 0 || now.Sub(clock.Instant(h.paceAt.Load())) > paceValidity {
		average = int64(interval)
	}
	h.pace.Store(average + int64(paceWeight*float64(int64(interval)-average)))
	h.paceAt.Store(int64(now))
}

// Pace returns the averaged time between two events, or 0 if none came lately.
func (h *EngineHealth) Pace(now clock.Instant) time.Duration {
	if now.Sub(clock.Instant(h.paceAt.Load())) > paceValidity {
		return 0
	}
	return time.Duration(h.pace.Load())
}

// FoundSlow notes that the engine is much slower than others.
func (h *EngineHealth) FoundSlow(now clock.Instant) { h.slowUntil.Store(int64(now.Add(slowTime))) }

// Slow tells whether this daemon found the engine much slower than others.
func (h *EngineHealth) Slow(now clock.Instant) bool { return int64(now) < h.slowUntil.Load() }

// Suspect tells whether this daemon itself avoids the engine.
func (h *EngineHealth) Suspect(now clock.Instant) bool {
	return int64(now) < h.avoidUntil.Load() || h.Slow(now)
}

// Avoided tells whether the engine is avoided, by what this daemon or several
// others found.
func (h *EngineHealth) Avoided(now clock.Instant) bool { return h.Suspect(now) || h.PeersAvoid.Load() }
