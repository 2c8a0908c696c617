package relay

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// Pace measures the time between the events of one stream.
type Pace struct {
	// Health takes in what is measured.
	Health *blackboard.EngineHealth

	last clock.Instant
}

// Note takes in that events arrived.
func (p *Pace) Note(events int, now clock.Instant) {
	if p.last != 0 && events > 0 {
		p.Health.NotePace(now.Sub(p.last)/time.Duration(events), now)
	}
	p.last = now
}
