package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// saveInterval is the time between two savings of a job's progress.
	saveInterval = 1500 * time.Millisecond
	// minSavedEvents is how many events an item must have come further to be saved
	// again.
	minSavedEvents = 12
	// handOverRetry is the time after a handing over that failed.
	handOverRetry = 250 * time.Millisecond
)

// unsaved returns the items of the job that came further by at least the given
// number of events since they were saved.
func (o *owned) unsaved(events int64) []*progress {
	var found []*progress
	add := func(p *progress) {
		if p.last()-p.saved >= events {
			found = append(found, p)
		}
	}
	for _, p := range o.running {
		add(p)
	}
	for _, p := range o.waiting {
		add(p)
	}
	return found
}

func snapshots(items []*progress) []job.Progress {
	all := make([]job.Progress, 0, len(items))
	for _, p := range items {
		all = append(all, p.snapshot())
	}
	return all
}

// save keeps the progress of the job's items in the store, so that another owner
// need not run them from the start.
func (c *Controller) save(ctx context.Context, o *owned) {
	if o.saving || o.committing || clock.Since(o.lastSave) < saveInterval {
		return
	}
	items := o.unsaved(minSavedEvents)
	if len(items) == 0 {
		return
	}
	items = items[:min(len(items), job.MaxSaved)]
	o.saving, o.lastSave = true, clock.Now()
	progress, head := snapshots(items), o.head
	go func() {
		err := c.ledger.Save(ctx, o.key, head, progress)
		c.post(ctx, func() {
			o.saving = false
			if err == nil {
				for i, p := range items {
					p.saved = progress[i].Last
				}
				return
			}
			if !errors.Is(err, store.ErrConflict) { // a newer head is noted elsewhere
				c.log.Warn().Str("job", o.key.ID).Int("items", len(items)).Err(err).Msg("progress of a batch job was not saved")
			}
		})
	}()
}

// handOver gives the jobs of a daemon that stops to others. Their items stop and
// go on there after the last event. Without the store the items run on here.
func (c *Controller) handOver(ctx context.Context) {
	if !c.board.Reading.Value().Within(startValidity, clock.Now()) {
		return
	}
	for _, o := range c.owned {
		successor := c.successor(o.key)
		if successor == "" {
			continue
		}
		for _, p := range o.running {
			if !p.cut {
				p.cut = true
				p.cancel()
			}
		}
		idle := len(o.running) == 0 && len(o.finished) == 0 && !o.loading && !o.committing && !o.saving
		if idle && !o.handing && o.head.Open() && o.head.Owner == c.self.Incarnation {
			c.giveTo(ctx, o, successor)
		}
	}
}

func (c *Controller) giveTo(ctx context.Context, o *owned, successor string) {
	o.handing = true
	items, head := o.unsaved(1), o.head
	progress := snapshots(items)
	go func() {
		next, err := c.ledger.HandOver(ctx, o.key, head, c.self.Incarnation, successor, progress)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Str("successor", successor).Err(err).Msg("batch job was not handed over")
			timer.Sleep(ctx, handOverRetry)
		}
		c.post(ctx, func() {
			o.handing = false
			if err == nil {
				c.log.Info().Str("job", o.key.ID).Str("owner", next.Owner).Int("items", len(progress)).Msg("batch job was handed over")
				c.board.NoteJob(o.key, next)
			}
		})
	}()
}

// successor returns the daemon that takes the job over when its owner does not run
// any more, or "". It is the one with the highest hash of job and incarnation, but
// not this one if it stops.
func (c *Controller) successor(key job.Key) string {
	var best string
	var bestHash uint64
	id := xxhash.Sum64String(key.ID)
	for _, p := range c.board.Roster.Value().Peers {
		if c.stopping.Load() && p.Incarnation == c.self.Incarnation {
			continue
		}
		hash := blackboard.Mix(id, xxhash.Sum64String(p.Incarnation))
		if best == "" || hash > bestHash {
			best, bestHash = p.Incarnation, hash
		}
	}
	return best
}
