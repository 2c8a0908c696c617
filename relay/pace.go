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

// Note observes events that arrived together. Each counts with an equal part of
// the time since the last ones.
func (p *Pace) Note(events int, now clock.Instant) {
	if p.lastEventAt != 0 && events > 0 {
		p.Health.NotePace(now.Sub(p.lastEventAt)/time.Duration(events), now)
	}
	p.lastEventAt = now
}
