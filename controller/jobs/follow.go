package jobs

import (
	"context"
	"maps"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/store"
)

// pollInterval is the time between two reads of the jobs' heads.
const pollInterval = 450 * time.Millisecond

// RunFollower reads the heads of all jobs until ctx is done and publishes them. It may
// run beside Run.
func (c *Controller) RunFollower(ctx context.Context) {
	follow.PollTable(ctx, c.store, job.HeadTable, pollInterval, follow.NewAvailabilityLog(c.log, "batch jobs"), c.applyHeads)
}

// applyHeads publishes the heads of a read that was sent at the given instant, together
// with the store's clock.
func (c *Controller) applyHeads(update store.TableUpdate, sent clock.Instant) {
	c.board.JobsReadAt.Store(int64(sent))
	c.board.SyncStoreClock(update.StoreTime, readInstant(update, sent))
	if len(update.Rows) == 0 && !update.WholeTable {
		return
	}
	c.board.Jobs.Update(func(old *blackboard.Jobs) *blackboard.Jobs {
		next := make(map[job.Key]*job.VersionedHead)
		if !update.WholeTable {
			maps.Copy(next, old.All())
		}
		for _, row := range update.Rows {
			c.applyHead(next, old, row)
		}
		return blackboard.NewJobs(next)
	})
}

// readInstant returns the instant at which the store probably read its clock for an update
// that has just arrived: half-way between call and answer, or now for a whole table, which
// takes several calls.
func readInstant(update store.TableUpdate, sent clock.Instant) clock.Instant {
	now := clock.Now()
	if update.WholeTable {
		return now
	}
	return sent.Add(now.Sub(sent) / 2)
}

// applyHead applies the row of a head to next. It keeps a known head that is not older, and
// leaves out a head that cannot be decoded.
func (c *Controller) applyHead(next map[job.Key]*job.VersionedHead, old *blackboard.Jobs, row store.Row) {
	key, ok := job.HeadKey(row.Key)
	if !ok {
		return
	}
	if row.Deleted {
		delete(next, key)
		return
	}
	if known := old.Get(key); known != nil && known.Version >= row.Version {
		next[key] = known
		return
	}
	head, err := job.DecodeHead(row.Value)
	if err != nil {
		c.log.Error().Str("job", key.ID).Int64("row_version", row.Version).Err(err).Msg("head of a batch job cannot be decoded")
		return
	}
	next[key] = &job.VersionedHead{Head: head, Version: row.Version}
}
