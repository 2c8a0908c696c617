package jobs

import (
	"context"

	"github.com/cespare/xxhash/v2"

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
		}
	}
}

func (c *Controller) adopt(key job.Key, head *job.Versioned) {
	c.owned[key] = &owned{key: key, head: head, seen: clock.Now(), running: make(map[int]*progress)}
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
	roster := c.board.Roster.Value()
	if !roster.Known || roster.Has(head.Owner) || !roster.Has(c.self.Incarnation) {
		delete(c.orphaned, key)
		return false
	}
	if c.orphaned[key] == 0 {
		c.orphaned[key] = clock.Now()
	}
	if clock.Since(c.orphaned[key]) < claimDelay {
		return false
	}
	var best string
	var bestHash uint64
	id := xxhash.Sum64String(key.ID)
	for i := range roster.Peers {
		hash := blackboard.Mix(id, xxhash.Sum64String(roster.Peers[i].Incarnation))
		if best == "" || hash > bestHash {
			best, bestHash = roster.Peers[i].Incarnation, hash
		}
	}
	return best == c.self.Incarnation
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

// load reads the items of a job.
func (c *Controller) load(ctx context.Context, o *owned) {
	o.loading = true
	go func() {
		items, err := c.ledger.Items(ctx, o.key, o.head.Chunks)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Err(err).Msg("items of a batch job were not read")
			timer.Sleep(ctx, pollInterval)
		}
		c.post(ctx, func() {
			o.loading = false
			if err == nil {
				c.loaded(o, items)
			}
		})
	}()
}

func (c *Controller) loaded(o *owned, items []job.Item) {
	o.items = items
	done := make(map[int]bool)
	for _, index := range o.head.Done {
		done[index] = true
	}
	for i := range items {
		if !done[i] {
			o.waiting = append(o.waiting, newProgress(o, i))
		}
	}
}
