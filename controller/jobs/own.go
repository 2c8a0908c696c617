package jobs

import (
	"context"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/timer"
)

// reconcile takes in new jobs and drops those that ended or have another owner.
func (c *Controller) reconcile(ctx context.Context, jobs *blackboard.Jobs) {
	for key, head := range jobs.All() {
		o := c.owned[key]
		if o != nil {
			if head.Version > o.head.Version {
				o.head = head
			}
			continue
		}
		if !head.Open() {
			continue
		}
		if head.Owner == c.self.Incarnation {
			c.adopt(key, head)
		} else if c.succeeds(key, head) {
			c.claim(ctx, key, head)
		}
	}
	for key, o := range c.owned {
		switch {
		case jobs.Get(key) == nil || !o.head.Open():
			c.drop(o)
		case o.head.Owner != c.self.Incarnation && !o.committing:
			c.drop(o)
		case o.items == nil && !o.loading:
			c.load(ctx, o)
		default:
			c.commit(ctx, o)
			c.save(ctx, o)
		}
	}
}

func (c *Controller) adopt(key job.Key, head *job.Versioned) {
	now := clock.Now()
	c.owned[key] = &owned{key: key, head: head, seen: now, lastSave: now, running: make(map[int]*progress)}
	c.log.Info().Str("job", key.ID).Str("workspace", key.Workspace).Int64("head_version", head.Version).
		Int("items", head.Total).Int("done", len(head.Done)).Msg("batch job is run here")
}

// drop stops the items of a job that is not run here any more.
func (c *Controller) drop(o *owned) {
	for _, p := range o.running {
		p.cancel()
	}
	delete(c.owned, o.key)
	delete(c.orphaned, o.key)
	c.log.Info().Str("job", o.key.ID).Bool("ended", o.head.Ended).Int("done", len(o.head.Done)).
		Str("owner", o.head.Owner).Msg("batch job is no longer run here")
}

// succeeds tells whether this daemon takes the job over, since its owner does not
// run any more.
func (c *Controller) succeeds(key job.Key, head *job.Versioned) bool {
	if c.stopping.Load() {
		return false
	}
	if blackboard.SameVM(head.Owner, c.self.Incarnation) {
		return clock.Since(c.orphaned[key]) >= claimDelay // an earlier start of this daemon
	}
	roster := c.board.Roster.Value()
	if !roster.Known || roster.Has(head.Owner) || !roster.Has(c.self.Incarnation) {
		delete(c.orphaned, key)
		return false
	}
	if c.orphaned[key] == 0 {
		c.orphaned[key] = clock.Now()
	}
	return clock.Since(c.orphaned[key]) >= claimDelay && c.successor(key) == c.self.Incarnation
}

func (c *Controller) claim(ctx context.Context, key job.Key, head *job.Versioned) {
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
				c.orphaned[key] = clock.Now() // wait before the next attempt
				c.log.Warn().Str("job", key.ID).Str("owner", from).Err(err).Msg("batch job was not taken over")
				return
			}
			c.log.Info().Str("job", key.ID).Str("from", from).Str("owner", claimed.Owner).Msg("batch job was taken over")
			c.board.NoteJob(key, claimed)
		})
	}()
}

// load reads the items of a job and what is saved of their progress.
func (c *Controller) load(ctx context.Context, o *owned) {
	o.loading = true
	chunks := o.head.Chunks
	go func() {
		items, saved, err := c.read(ctx, o.key, chunks)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Err(err).Msg("items of a batch job were not read")
			timer.Sleep(ctx, pollInterval)
		}
		c.post(ctx, func() {
			o.loading = false
			if err == nil {
				c.loaded(o, items, saved)
			}
		})
	}()
}

func (c *Controller) read(ctx context.Context, key job.Key, chunks int) ([]job.Item, []job.Progress, error) {
	items, err := c.ledger.Items(ctx, key, chunks)
	if err != nil {
		return nil, nil, err
	}
	saved, err := c.ledger.Progress(ctx, key)
	return items, saved, err
}

func (c *Controller) loaded(o *owned, items []job.Item, saved []job.Progress) {
	o.items = items
	done := make(map[int]bool)
	for _, index := range o.head.Done {
		done[index] = true
	}
	reached := make(map[int]job.Progress, len(saved))
	for _, s := range saved {
		reached[s.Index] = s
	}
	for i := range items {
		if done[i] {
			continue
		}
		p := newProgress(o, i)
		if s, ok := reached[i]; ok {
			p.resume(s)
		}
		o.waiting = append(o.waiting, p)
	}
}
