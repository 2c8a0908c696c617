package relay

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// IntervalMeter measures the inter-event intervals of one stream. It must not be used by
// several goroutines at once.
type IntervalMeter struct {
	// Health records the measured intervals.
	Health *blackboard.EngineHealth

	lastEventAt clock.Instant // 0 before the first event
}

// Observe records a number of events that arrived together. Each counts with an equal
// part of the time since the previous call.
func (m *IntervalMeter) Observe(events int, now clock.Instant) {
	if m.lastEventAt != 0 && events > 0 {
		m.Health.ObserveInterval(now.Sub(m.lastEventAt)/time.Duration(events), now)
	}
	m.lastEventAt = now
}
