// Package ramp decides how much work an upstream gets at once while it recovers
// from a cold start.
package ramp

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Limit returns the number of requests that the upstream may have at once in
// the state after it completed the given number of requests since it was last
// cold: the bound of its cold start, and one more for each completed request
// until all slots are open.
func Limit(spec *fleet.Upstream, state fleet.UpstreamState, completed int) int {
	cold := min(spec.ColdSlots, spec.Slots)
	switch state {
	case fleet.Cold:
		return cold
	case fleet.Ready:
		return min(spec.Slots, cold+completed)
	default:
		return 0
	}
}

// Bounds of what counts as a slow first token.
const (
	slowFactor  = 8 // times the usual latency
	slowFloor   = 100 * time.Millisecond
	slowStreak  = 3  // slow first tokens in a row
	minSamples  = 16 // first tokens before a usual latency is known
	normWeight  = 16 // samples over which the usual latency is averaged
	epochShift  = 32
	epochMask   = 1<<epochShift - 1
	maxProgress = 1 << 20 // completed requests
)

// Meter counts the requests that an upstream completed since it was last cold.
// It is safe for concurrent use without locks.
type Meter struct {
	word    atomic.Uint64 // epoch in the high half, completed requests in the low
	norm    atomic.Int64  // usual time to the first token in ns
	samples atomic.Int64
	slow    atomic.Int64
}

// Epoch identifies the time between two cold starts.
type Epoch uint32

// Epoch returns the current epoch.
func (m *Meter) Epoch() Epoch { return Epoch(m.word.Load() >> epochShift) }

// Completed returns the number of requests completed in the current epoch.
func (m *Meter) Completed() int { return int(m.word.Load() & epochMask) }

// Done counts a request that began in the epoch e and was answered. Requests of
// an earlier epoch say nothing about the upstream now.
func (m *Meter) Done(e Epoch) {
	for {
		w := m.word.Load()
		if Epoch(w>>epochShift) != e || w&epochMask >= maxProgress {
			return
		}
		if m.word.CompareAndSwap(w, w+1) {
			return
		}
	}
}

// Reset begins a new epoch if e is still the current one, so that many
// failures of one epoch count as one cold start. It returns whether it did.
func (m *Meter) Reset(e Epoch) bool {
	for {
		w := m.word.Load()
		if Epoch(w>>epochShift) != e {
			return false
		}
		if m.word.CompareAndSwap(w, uint64(e+1)<<epochShift) {
			m.slow.Store(0)
			return true
		}
	}
}

// FirstToken notes the time to a first token. It returns whether the last ones
// were all so far above the usual time that the upstream seems cold.
func (m *Meter) FirstToken(d time.Duration) bool {
	norm := time.Duration(m.norm.Load())
	if m.samples.Load() >= minSamples && d > slowFloor && d > slowFactor*norm {
		return m.slow.Add(1) >= slowStreak
	}
	m.slow.Store(0)
	m.samples.Add(1)
	if norm == 0 {
		m.norm.Store(int64(d))
		return false
	}
	m.norm.Add(int64(d-norm) / normWeight)
	return false
}
