package rollouts

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// outageReadAge is the age of the last read from which on the store may be unavailable.
	outageReadAge = 1500 * time.Millisecond
	// outageReporting is the fraction of the daemons whose reports must arrive to conclude
	// that nobody can read the store.
	outageReporting = 0.9
	// outageValidity is how long that conclusion holds. With the time of a report between data
	// centres it is shorter than rollout.Validity.
	outageValidity = 500 * time.Millisecond
	// wakeTime is how long this daemon must have run without a pause before it trusts what it
	// knows of others: their reports count for 1.2 s.
	wakeTime = 1500 * time.Millisecond
	// maxTickGap is the time between two ticks from which on the daemon was paused.
	maxTickGap = 500 * time.Millisecond
)

// outageWatch finds out whether the store is unavailable to all daemons.
type outageWatch struct {
	lastTick, awakeSince clock.Instant
	forAll               bool
}

// observe looks at the board once.
func (o *outageWatch) observe(board *blackboard.EntryBoard, now clock.Instant) {
	if o.lastTick == 0 || now.Sub(o.lastTick) > maxTickGap {
		o.awakeSince = now
	}
	o.lastTick = now
	o.forAll = now.Sub(o.awakeSince) >= wakeTime && !board.ConfigRead.Value().SentWithin(outageReadAge, now) &&
		board.ReportingFraction() >= outageReporting && !board.PeerReadWithin(outageReadAge)
}

// validUntil returns until when a stage may be used because nobody can change it, or 0.
func (o *outageWatch) validUntil(now clock.Instant) clock.Instant {
	if !o.forAll {
		return 0
	}
	return now.Add(outageValidity)
}
