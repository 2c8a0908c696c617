package jobs

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/timer"
)

// commitResults writes results of the job that are not in the store yet, by one
// transaction at a time.
func (c *Controller) commitResults(ctx context.Context, o *ownedJob) {
	if o.committing || len(o.finished) == 0 {
		return
	}
	results := nextResults(o.finished)
	o.finished = o.finished[len(results):]
	o.committing = true
	head := o.head
	go func() {
		next, err := c.ledger.AppendResults(ctx, o.key, head, c.self.Incarnation, results)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Int("results", len(results)).Err(err).Msg("failed to write results of a batch job")
			next = c.rereadHead(ctx, o.key)
		}
		c.post(ctx, func() { c.resultsCommitted(o, next, results, err) })
	}()
}

// nextResults returns the first results that go into one transaction, at least one.
func nextResults(finished []job.ItemResult) []job.ItemResult {
	size := 0
	for i := range finished {
		size += job.EncodedSize([]byte(finished[i].Result.Output))
		if i == maxCommitResults || i > 0 && size > maxCommitBytes {
			return finished[:i]
		}
	}
	return finished
}

const (
	// maxCommitResults and maxCommitBytes bound the results in one transaction, which holds
	// at most 1 MB in base64.
	maxCommitResults = 6
	maxCommitBytes   = 2 * job.MaxOutputBytes
	// commitRetryDelay is the time after a failed transaction.
	commitRetryDelay = 150 * time.Millisecond
)

// rereadHead waits for commitRetryDelay and returns the job's head, or nil if it cannot
// be read.
func (c *Controller) rereadHead(ctx context.Context, key job.Key) *job.VersionedHead {
	if !timer.Sleep(ctx, commitRetryDelay) {
		return nil
	}
	head, err := c.ledger.Head(ctx, key)
	if err != nil {
		c.log.Warn().Str("job", key.ID).Err(err).Msg("failed to read the head of a batch job")
		return nil
	}
	return head
}

// resultsCommitted records the outcome of commitResults. Results that were not written are
// queued again if the job is still open.
func (c *Controller) resultsCommitted(o *ownedJob, next *job.VersionedHead, results []job.ItemResult, err error) {
	o.committing = false
	if next != nil {
		if next.Version > o.head.Version {
			o.head = next
		}
		c.board.RecordHead(o.key, next)
	}
	if err != nil && o.head.IsOpen() {
		o.finished = append(results, o.finished...)
	}
}
