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

// RunOperators follows the operators' rows until ctx is done.
func (c *Controller) RunOperators(ctx context.Context) {
	table, _ := c.decoder.Tables()
	follow.Table(ctx, c.store, table, pollInterval, follow.NewContact(c.log, "operators"), c.applyOperators)
}

func (c *Controller) applyOperators(batch store.Batch, sent clock.Instant) {
	var newest *catalog.Catalog
	outChanged := batch.Whole
	if batch.Whole {
		c.out = make(map[string]bool)
	}
	for _, row := range batch.Rows {
		if dataCentre, ok := c.decoder.TakenOut(row.Key); ok {
			outChanged = true
			if row.Deleted {
				delete(c.out, dataCentre)
			} else {
				c.out[dataCentre] = true
			}
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
	out := maps.Clone(c.out)
	c.board.TakenOut.Publish(out)
	c.board.Engines.Update(func(old *blackboard.Engines) *blackboard.Engines { return withOut(old.All, out) })
	c.log.Info().Strs("data_centres", slices.Sorted(maps.Keys(out))).Msg("data centres that are taken out")
}

// withOut returns the set of the engines, marked by whether their data centre is
// taken out.
func withOut(engines []*blackboard.Engine, out map[string]bool) *blackboard.Engines {
	all := make([]*blackboard.Engine, len(engines))
	for i, e := range engines {
		changed := *e
		changed.Out = out[e.DataCentre]
		all[i] = &changed
	}
	return blackboard.NewEngines(all)
}
