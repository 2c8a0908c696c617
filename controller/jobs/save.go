package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// checkpointInterval is the time between two transactions that save checkpoints of a
	// job.
	checkpointInterval = 1500 * time.Millisecond
	// minCheckpointEvents is the number of events since the last checkpoint of an item
	// from which on it gets a new one.
	minCheckpointEvents = 12
	// handOverRetryDelay is the time after a failed hand-over.
	handOverRetryDelay = 250 * time.Millisecond
)

// unsavedItems returns the items of the job that got at least the given number of events,
// failed or lost their output, since their last checkpoint.
func (o *ownedJob) unsavedItems(events int64) []*itemState {
	var found []*itemState
	add := func(s *itemState) {
		last := s.lastEvent()
		if last-s.savedEvent >= events || last < s.savedEvent || s.failedAttempts > s.savedFailures {
			found = append(found, s)
		}
	}
	for _, s := range o.running {
		add(s)
	}
	for _, s := range o.waiting {
		add(s)
	}
	return found
}

// checkpoints returns the checkpoints of the items.
func checkpoints(items []*itemState) []job.Checkpoint {
	all := make([]job.Checkpoint, 0, len(items))
	for _, s := range items {
		all = append(all, s.checkpoint())
	}
	return all
}

// saveCheckpoints stores checkpoints of the job's items, so that the next owner does not
// run them from the start. It does nothing if the last call was less than
// checkpointInterval ago, or while another transaction of the job runs.
func (c *Controller) saveCheckpoints(ctx context.Context, o *ownedJob) {
	if o.saving || o.committing || clock.Since(o.savedAt) < checkpointInterval {
		return
	}
	items := o.unsavedItems(minCheckpointEvents)
	if len(items) == 0 {
		return
	}
	items = items[:min(len(items), job.MaxCheckpoints)]
	o.saving, o.savedAt = true, clock.Now()
	saved, head := checkpoints(items), o.head
	go func() {
		err := c.ledger.SaveCheckpoints(ctx, o.key, head, saved)
		c.post(ctx, func() {
			o.saving = false
			if err == nil {
				for i, s := range items {
					s.savedEvent, s.savedFailures = saved[i].LastEvent, saved[i].FailedAttempts
				}
				return
			}
			if !errors.Is(err, store.ErrConflict) { // RunFollower or resultsCommitted publishes the newer head
				c.log.Warn().Str("job", o.key.ID).Int("items", len(items)).Err(err).Msg("failed to save checkpoints of a batch job")
			}
		})
	}()
}

// handOver hands over the jobs of a draining daemon to their successors. It cancels their
// items, which continue there after the last event. While the store is unavailable the
// items go on running here.
func (c *Controller) handOver(ctx context.Context) {
	if !c.board.ConfigRead.Value().SentWithin(maxReadAgeToStart, clock.Now()) {
		return
	}
	for _, o := range c.owned {
		successor := c.successor(o.key)
		if successor == "" {
			continue
		}
		for _, s := range o.running {
			if !s.cancelled {
				s.cancelled = true
				s.cancel()
			}
		}
		idle := len(o.running) == 0 && len(o.finished) == 0 && !o.loading && !o.committing && !o.saving
		if idle && !o.handingOver && o.head.IsOpen() && o.head.Owner == c.self.Incarnation {
			c.handOverTo(ctx, o, successor)
		}
	}
}

// handOverTo makes the successor the owner of the job, none of whose items runs.
func (c *Controller) handOverTo(ctx context.Context, o *ownedJob, successor string) {
	o.handingOver = true
	items, head := o.unsavedItems(1), o.head
	saved := checkpoints(items)
	go func() {
		next, err := c.ledger.HandOver(ctx, o.key, head, c.self.Incarnation, successor, saved)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Str("successor", successor).Err(err).Msg("failed to hand over a batch job")
			timer.Sleep(ctx, handOverRetryDelay)
		}
		c.post(ctx, func() {
			o.handingOver = false
			if err == nil {
				c.log.Info().Str("job", o.key.ID).Str("owner", next.Owner).Int("items", len(saved)).Msg("batch job was handed over")
				c.board.RecordHead(o.key, next)
			}
		})
	}()
}

// successor returns the incarnation of the daemon that owns the job when its owner does
// not run any more, or "". It is not this daemon while it is draining.
func (c *Controller) successor(key job.Key) string {
	excluded := ""
	if c.draining.Load() {
		excluded = c.self.Incarnation
	}
	return c.board.Roster.Value().Responsible(key.ID, excluded)
}
