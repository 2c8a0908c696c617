package jobs

import (
	"context"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/timer"
)

// reconcile takes up the jobs that this daemon owns, claims those whose owner is missing,
// and drops jobs that ended or have another owner. For the other owned jobs it loads
// items, commits results and saves checkpoints.
func (c *Controller) reconcile(ctx context.Context, jobs *blackboard.Jobs) {
	for key, head := range jobs.All() {
		o := c.owned[key]
		if o != nil {
			if head.Version > o.head.Version {
				o.head = head
			}
			continue
		}
		if !head.IsOpen() {
			continue
		}
		if head.Owner == c.self.Incarnation {
			c.takeUp(key, head)
		} else if c.shouldClaim(key, head) {
			c.claim(ctx, key, head)
		}
	}
	for key, o := range c.owned {
		switch {
		case jobs.Get(key) == nil || !o.head.IsOpen():
			c.drop(o)
		case o.head.Owner != c.self.Incarnation && !o.committing:
			c.drop(o)
		case o.items == nil && !o.loading:
			c.loadItems(ctx, o)
		default:
			c.commitResults(ctx, o)
			c.saveCheckpoints(ctx, o)
		}
	}
}

// takeUp adds a job that this daemon owns.
func (c *Controller) takeUp(key job.Key, head *job.VersionedHead) {
	now := clock.Now()
	c.owned[key] = &ownedJob{
		key: key, head: head, savedAt: now, running: make(map[int]*itemState),
		takenOver: c.board.StoreNow()-head.Submitted > claimDelay,
	}
	c.log.Info().Str("job", key.ID).Str("workspace", key.Workspace).Int64("head_version", head.Version).
		Int("items", head.Total).Int("done", len(head.Done)).Msg("batch job is run by this daemon")
}

// drop cancels the running items of a job that this daemon does not run any more.
func (c *Controller) drop(o *ownedJob) {
	for _, s := range o.running {
		s.cancel()
	}
	delete(c.owned, o.key)
	delete(c.missingSince, o.key)
	c.log.Info().Str("job", o.key.ID).Bool("ended", o.head.Ended).Int("done", len(o.head.Done)).
		Str("owner", o.head.Owner).Msg("batch job is no longer run by this daemon")
}

// shouldClaim reports whether this daemon should claim the job. An earlier incarnation on
// this VM does not run any more, so its jobs are claimed at once, or claimDelay after a
// failed claim. Otherwise the owner must have been missing from the roster for
// claimDelay, and this daemon must be the successor.
func (c *Controller) shouldClaim(key job.Key, head *job.VersionedHead) bool {
	if c.draining.Load() {
		return false
	}
	if blackboard.SameVM(head.Owner, c.self.Incarnation) {
		return clock.Since(c.missingSince[key]) >= claimDelay // the owner is an earlier incarnation of this daemon
	}
	roster := c.board.Roster.Value()
	if !roster.Loaded || roster.Has(head.Owner) || !roster.Has(c.self.Incarnation) {
		delete(c.missingSince, key)
		return false
	}
	if c.missingSince[key] == 0 {
		c.missingSince[key] = clock.Now()
	}
	return clock.Since(c.missingSince[key]) >= claimDelay && c.successor(key) == c.self.Incarnation
}

// claim makes this daemon the owner of the job, unless a claim is already under way.
func (c *Controller) claim(ctx context.Context, key job.Key, head *job.VersionedHead) {
	if c.claiming[key] {
		return
	}
	c.claiming[key] = true
	from := head.Owner
	go func() {
		claimed, err := c.ledger.Claim(ctx, key, head, from, c.self.Incarnation)
		c.post(ctx, func() {
			delete(c.claiming, key)
			if err != nil {
				c.missingSince[key] = clock.Now() // the next claim waits for claimDelay again
				c.log.Warn().Str("job", key.ID).Str("owner", from).Err(err).Msg("failed to claim a batch job")
				return
			}
			c.log.Info().Str("job", key.ID).Str("from", from).Str("owner", claimed.Owner).Msg("batch job was claimed")
			c.board.RecordHead(key, claimed)
		})
	}()
}

// loadItems reads the items of the job and their checkpoints. reconcile calls it again if
// that fails.
func (c *Controller) loadItems(ctx context.Context, o *ownedJob) {
	o.loading = true
	rows := o.head.PayloadRows
	go func() {
		items, saved, err := c.readItems(ctx, o.key, rows)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Err(err).Msg("failed to read the items of a batch job")
			timer.Sleep(ctx, pollInterval)
		}
		c.post(ctx, func() {
			o.loading = false
			if err == nil {
				c.itemsLoaded(o, items, saved)
			}
		})
	}()
}

// readItems returns the items of the job and their checkpoints.
func (c *Controller) readItems(ctx context.Context, key job.Key, rows int) ([]job.Item, []job.Checkpoint, error) {
	items, err := c.ledger.Items(ctx, key, rows)
	if err != nil {
		return nil, nil, err
	}
	saved, err := c.ledger.Checkpoints(ctx, key)
	return items, saved, err
}

// itemsLoaded queues the items without a result. Each will continue from its checkpoint.
func (c *Controller) itemsLoaded(o *ownedJob, items []job.Item, saved []job.Checkpoint) {
	o.items = items
	done := make(map[int]bool)
	for _, index := range o.head.Done {
		done[index] = true
	}
	checkpoints := make(map[int]job.Checkpoint, len(saved))
	for _, checkpoint := range saved {
		checkpoints[checkpoint.Index] = checkpoint
	}
	for i := range items {
		if done[i] {
			continue
		}
		state := newItemState(o, i)
		state.gate.Segments = c.engines.Segments(items[i].Header)
		if c.engines.Tokens != nil {
			state.tokens = c.engines.Tokens(items[i].Header)
		}
		if checkpoint, ok := checkpoints[i]; ok {
			state.restore(checkpoint)
		}
		if o.takenOver && c.isSuspected(state) {
			state.crashedAt = clock.Now()
		}
		o.waiting = append(o.waiting, state)
	}
}
