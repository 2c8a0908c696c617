package relay

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// Pace measures the inter-event intervals of one stream. It must not be used by
// several goroutines at once.
type Pace struct {
	// Health records the measured intervals.
	Health *blackboard.EngineHealth

	lastEventAt clock.Instant // 0 before the first event
}

// Note observes a number of events that arrived together. Each counts with an equal
// part of the time since the last call.
func (m *Pace) Note(events int, now clock.Instant) {
	if m.lastEventAt != 0 && events > 0 {
		m.Health.NotePace(now.Sub(m.lastEventAt)/time.Duration(events), now)
	}
	m.lastEventAt = now
}
