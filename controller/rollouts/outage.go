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
	// maxReportsAge is the age of the sum of the reports up to which it counts. A daemon that
	// was paused does not trust what it knew before.
	maxReportsAge = 300 * time.Millisecond
	// outageValidity is how long that conclusion holds. Reports count for 1.2 s: with that time
	// and those of a sum, it ends before an owner that reads the store again may end a roll-out.
	outageValidity = 400 * time.Millisecond
)

// outageValidUntil returns until when a stage may be used because nobody can change it: the
// store is unavailable to all daemons. It returns 0 otherwise.
func outageValidUntil(board *blackboard.EntryBoard, now clock.Instant) clock.Instant {
	reported := now.Sub(clock.Instant(board.ReportsAt.Load())) < maxReportsAge && board.ReportingFraction() >= outageReporting
	if !reported || board.ConfigRead.Value().SentWithin(outageReadAge, now) || board.PeerReadWithin(outageReadAge) {
		return 0
	}
	return now.Add(outageValidity)
}
