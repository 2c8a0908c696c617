// Package ramp decides how many requests an upstream gets at once while it recovers
// from a cold start.
package ramp

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Limit returns the number of requests that the upstream may have at once, given
// its state and the number of requests it has completed since it was last cold: the
// limit of its cold start, plus one for each completed request, up to its slots. It
// is 0 in all states but cold and ready.
func Limit(spec *fleet.Upstream, state fleet.UpstreamState, completed int) int {
	cold := min(spec.ColdSlots, spec.Slots)
	switch state {
	case fleet.StateCold:
		return cold
	case fleet.StateReady:
		return min(spec.Slots, cold+completed)
	default:
		return 0
	}
}

const (
	// A first token counts as slow if it takes longer than minSlowLatency and
	// slowFactor times the usual latency.
	slowFactor     = 8
	minSlowLatency = 100 * time.Millisecond
	// minSlowInARow is the number of slow first tokens in a row that make an
	// upstream look cold.
	minSlowInARow = 3
	// minSamples is the number of first tokens before the usual latency is known.
	minSamples = 16
	// averageSamples is the number of samples over which the usual latency is
	// averaged.
	averageSamples = 16

	epochShift   = 32
	epochMask    = 1<<epochShift - 1
	maxCompleted = 1 << 20 // bound of the count of completed requests
)

// Meter counts the requests that an upstream completed since it was last cold, and
// watches its time to the first token for signs of another cold start. It is safe for
// concurrent use without locks. The zero value is ready to use.
type Meter struct {
	epochAndCompleted atomic.Uint64 // epoch in the high half, completed requests in the low
	usualLatency      atomic.Int64  // usual time to the first token in ns, or 0 if unknown
	samples           atomic.Int64  // first tokens that were not slow
	slowInARow        atomic.Int64  // slow first tokens since the last one that was not
}

// Epoch identifies the time between two cold starts.
type Epoch uint32

// Epoch returns the current epoch.
func (m *Meter) Epoch() Epoch { return Epoch(m.epochAndCompleted.Load() >> epochShift) }

// Completed returns the number of requests completed in the current epoch.
func (m *Meter) Completed() int { return int(m.epochAndCompleted.Load() & epochMask) }

// CountCompleted counts a completed request that began in epoch e. A request of an
// earlier epoch is not counted, since it says nothing about the upstream after its
// cold start.
func (m *Meter) CountCompleted(e Epoch) {
	for {
		w := m.epochAndCompleted.Load()
		if Epoch(w>>epochShift) != e || w&epochMask >= maxCompleted {
			return
		}
		if m.epochAndCompleted.CompareAndSwap(w, w+1) {
			return
		}
	}
}

// BeginEpoch begins a new epoch if e is still the current one, so that many failures
// within one epoch count as one cold start. It reports whether it did.
func (m *Meter) BeginEpoch(e Epoch) bool {
	for {
		w := m.epochAndCompleted.Load()
		if Epoch(w>>epochShift) != e {
			return false
		}
		if m.epochAndCompleted.CompareAndSwap(w, uint64(e+1)<<epochShift) {
			m.slowInARow.Store(0)
			return true
		}
	}
}

// ObserveFirstToken records the time to a first token. It reports whether so many first
// tokens in a row were slow that the upstream seems to be cold.
func (m *Meter) ObserveFirstToken(d time.Duration) bool {
	usualLatency := time.Duration(m.usualLatency.Load())
	if m.samples.Load() >= minSamples && d > minSlowLatency && d > slowFactor*usualLatency {
		return m.slowInARow.Add(1) >= minSlowInARow
	}
	m.slowInARow.Store(0)
	m.samples.Add(1)
	if usualLatency == 0 {
		m.usualLatency.Store(int64(d))
		return false
	}
	m.usualLatency.Add(int64(d-usualLatency) / averageSamples)
	return false
}
