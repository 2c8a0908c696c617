package directory

import (
	"context"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// RunOperators follows the operators' rows until ctx is done.
func (c *Controller) RunOperators(ctx context.Context) {
	table, _ := c.decoder.Tables()
	f := store.NewFollower(c.store, table)
	contact := new(store.Contact)
	for ctx.Err() == nil {
		sent := clock.Now()
		batch, err := f.Next(ctx)
		c.noteContact(contact, "operators", err)
		if err == nil {
			c.applyOperators(batch, sent)
		}
		timer.Sleep(ctx, pollInterval)
	}
}

func (c *Controller) applyOperators(batch store.Batch, sent clock.Instant) {
	var newest *catalog.Catalog
	outChanged := batch.Whole
	if batch.Whole {
		c.out = make(map[string]bool)
	}
	for _, row := range batch.Rows {
		if dataCentre, ok := c.decoder.TakenOut(row.Key); ok {
			c.out[dataCentre] = !row.Deleted
			outChanged = true
			continue
		}
		if row.Deleted {
			continue
		}
		switch config, err := c.decoder.Config(row); {
		case err != nil:
			c.log.Error().Str("row", row.Name).Int64("row_version", row.Version).Err(err).Msg("configuration cannot be read")
		case config != nil:
			newest = config
		}
	}
	c.putInForce(newest)
	if outChanged {
		c.markOut()
	}
	c.board.Reading.Update(func(old blackboard.Reading) blackboard.Reading {
		if batch.Version < old.Version || sent < old.Sent {
			return old
		}
		return blackboard.Reading{Sent: sent, Version: batch.Version}
	})
}

func (c *Controller) putInForce(config *catalog.Catalog) {
	if config == nil {
		return
	}
	old := c.board.Catalog.Value()
	if old != nil && old.Version >= config.Version {
		return
	}
	c.board.Catalog.Publish(config)
	c.log.Info().Int64("version", config.Version).Msg("configuration is in force")
}

// markOut publishes which data centres are taken out. The engines are changed
// after that, so that a concurrent publication of the engines cannot undo it.
func (c *Controller) markOut() {
	out := cloneOut(c.out)
	c.board.TakenOut.Publish(out)
	c.board.Engines.Update(func(old *blackboard.Engines) *blackboard.Engines {
		all := make([]*blackboard.Engine, len(old.All))
		for i, e := range old.All {
			changed := *e
			changed.Out = out[e.DataCentre]
			all[i] = &changed
		}
		return blackboard.NewEngines(all)
	})
	c.log.Info().Strs("data_centres", outNames(out)).Msg("data centres that are taken out")
}

func cloneOut(out map[string]bool) map[string]bool {
	clone := make(map[string]bool, len(out))
	for dc, is := range out {
		if is {
			clone[dc] = true
		}
	}
	return clone
}

func outNames(out map[string]bool) []string {
	var names []string
	for dc := range out {
		names = append(names, dc)
	}
	slices.Sort(names)
	return names
}
