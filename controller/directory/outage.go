package directory

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// outageThreshold is the time between two successful reads from which the store counts
	// as having been unavailable in between.
	outageThreshold = 1800 * time.Millisecond
	// reregisterGrace is how long an engine whose row expired while the store was
	// unavailable may take to register again once it is available.
	reregisterGrace = 2 * time.Second
	// outageCheckInterval is the time between two looks at the reads of all daemons.
	outageCheckInterval = 150 * time.Millisecond
)

// RunOutages publishes when daemons read the store, and the ends of the times in which none of
// them did, until ctx is done.
func (c *Controller) RunOutages(ctx context.Context) {
	c.board.StoreReads.Publish(blackboard.StoreReads{LatestAt: clock.Now()})
	for timer.Sleep(ctx, outageCheckInterval) {
		old := c.board.StoreReads.Value()
		latest := max(c.board.ConfigRead.Value().SentAt, clock.Instant(c.board.PeerReadAt.Load()))
		if next := nextReads(old, latest, clock.Now()); next != old {
			c.board.StoreReads.Publish(next)
		}
	}
}

// nextReads returns what is known of the daemons' reads once one that was sent at the instant
// latest is heard of, at the instant now.
func nextReads(old blackboard.StoreReads, latest, now clock.Instant) blackboard.StoreReads {
	if latest <= old.LatestAt {
		return old
	}
	next := blackboard.StoreReads{LatestAt: latest, OutageEnd: old.OutageEnd}
	if latest.Sub(old.LatestAt) > outageThreshold {
		next.OutageEnd = now
	}
	return next
}

// graceAfterGap returns until when an engine may register again whose row is gone in a read that
// was sent at the instant sent, while the read before it was sent at previous; it returns 0 if
// such a row did not expire because the store was unavailable. That is only possible if this daemon and
// all others that it hears read nothing for a while in between. Of the reads after an outage
// only the first can lack a row for this reason: rows that are in it did not expire.
func graceAfterGap(previous, sent, now clock.Instant, reads blackboard.StoreReads) clock.Instant {
	if sent.Sub(previous) <= outageThreshold {
		return 0
	}
	end := reads.OutageEnd
	switch {
	case sent.Sub(max(reads.LatestAt, previous)) > outageThreshold:
		end = now // it ended with this read
	case end < previous:
		return 0 // the store was unavailable to this daemon only
	}
	return end.Add(reregisterGrace)
}
