package jobs

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/timer"
)

// commit writes the results that wait, one transaction a job at a time.
func (c *Controller) commit(ctx context.Context, o *owned) {
	if o.committing || len(o.finished) == 0 {
		return
	}
	batch := o.finished
	if len(batch) > maxCommit {
		batch = batch[:maxCommit]
	}
	o.finished = o.finished[len(batch):]
	o.committing = true
	head := o.head
	go func() {
		next, err := c.ledger.Append(ctx, o.key, head, c.self.Incarnation, batch)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Int("results", len(batch)).Err(err).Msg("results were not written")
			next = c.reread(ctx, o.key)
		}
		c.post(ctx, func() { c.committed(o, next, batch, err) })
	}()
}

const (
	// maxCommit bounds the results of one transaction, which holds at most 1 MB.
	maxCommit = 6
	// commitRetry is the time after a transaction that failed.
	commitRetry = 150 * time.Millisecond
)

// reread returns the head after a transaction that failed, or nil.
func (c *Controller) reread(ctx context.Context, key job.Key) *job.Versioned {
	if !timer.Sleep(ctx, commitRetry) {
		return nil
	}
	head, err := c.ledger.Head(ctx, key)
	if err != nil {
		c.log.Warn().Str("job", key.ID).Err(err).Msg("head of a batch job was not read")
		return nil
	}
	return head
}

func (c *Controller) committed(o *owned, next *job.Versioned, batch []job.Finished, err error) {
	o.committing = false
	if next != nil {
		if next.Version > o.head.Version {
			o.head = next
		}
		c.board.NoteJob(o.key, next)
	}
	if err != nil && o.head.Open() {
		o.finished = append(batch, o.finished...)
	}
}
