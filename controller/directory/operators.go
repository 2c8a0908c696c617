package directory

import (
	"context"
	"maps"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/store"
)

// RunOperators reads the operators' table at regular intervals and publishes what it holds
// until ctx is done.
func (c *Controller) RunOperators(ctx context.Context) {
	table, _ := c.decoder.Tables()
	follow.PollTable(ctx, c.store, table, pollInterval, follow.NewAvailabilityLog(c.log, "operators"), c.applyOperators)
}

// applyOperators publishes what one read of the operators' table shows. The time of the
// read is published last, so that whoever sees it also sees the configuration and the data
// centres of that read.
func (c *Controller) applyOperators(update store.TableUpdate, sent clock.Instant) {
	var newest *catalog.Catalog
	takenOutChanged := update.WholeTable
	if update.WholeTable {
		c.takenOut = make(map[string]bool)
	}
	if c.orders != nil {
		c.orders.apply(update, sent)
	}
	for _, row := range update.Rows {
		if dataCentre, ok := c.decoder.TakenOut(row.Key); ok {
			takenOutChanged = true
			if row.Deleted {
				delete(c.takenOut, dataCentre)
			} else {
				c.takenOut[dataCentre] = true
			}
			continue
		}
		if row.Deleted {
			continue
		}
		switch config, err := c.decoder.Config(row); {
		case err != nil:
			c.log.Error().Str("row", row.Name).Int64("row_version", row.Version).Err(err).Msg("cannot decode configuration row")
		case config != nil:
			newest = config
		}
	}
	c.setCatalog(newest)
	if takenOutChanged {
		c.publishTakenOut()
	}
	c.board.ConfigRead.Update(func(old blackboard.ConfigRead) blackboard.ConfigRead {
		if update.Version < old.Version || sent < old.SentAt {
			return old
		}
		return blackboard.ConfigRead{SentAt: sent, Version: update.Version}
	})
}

// setCatalog publishes the configuration unless it is nil or no newer than the one in
// force.
func (c *Controller) setCatalog(config *catalog.Catalog) {
	if config == nil {
		return
	}
	old := c.board.Catalog.Value()
	if old != nil && old.Version >= config.Version {
		return
	}
	c.board.Catalog.Publish(config)
	c.log.Info().Int64("version", config.Version).Msg("configuration applied")
}

// publishTakenOut publishes which data centres are taken out. The engines are updated after
// that, so that a concurrent publication of the engines cannot undo it.
func (c *Controller) publishTakenOut() {
	takenOut := maps.Clone(c.takenOut)
	c.board.TakenOut.Publish(takenOut)
	c.board.Engines.Update(func(old *blackboard.Engines) *blackboard.Engines { return markTakenOut(old.All, takenOut) })
	c.log.Info().Strs("data_centres", slices.Sorted(maps.Keys(takenOut))).Msg("updated data centres taken out")
}

// markTakenOut returns the set of copies of the engines, each marked with whether its data
// centre is taken out.
func markTakenOut(engines []*blackboard.Engine, takenOut map[string]bool) *blackboard.Engines {
	all := make([]*blackboard.Engine, len(engines))
	for i, e := range engines {
		changed := *e
		changed.TakenOut = takenOut[e.DataCentre]
		all[i] = &changed
	}
	return blackboard.NewEngines(all)
}
