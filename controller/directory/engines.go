package directory

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/store"
)

// RunEngines follows the engines' entries until ctx is done.
func (c *Controller) RunEngines(ctx context.Context) {
	_, table := c.decoder.Tables()
	e := &entries{controller: c, byID: make(map[string]*blackboard.Engine)}
	last := clock.Now()
	follow.Table(ctx, c.store, table, pollInterval, follow.NewContact(c.log, "engines"), func(batch store.Batch, sent clock.Instant) {
		e.outage = sent.Sub(last) > outageAfter || sent < e.returned.Add(returnTime)
		if sent.Sub(last) > outageAfter {
			e.returned = clock.Now()
		}
		last = sent
		e.apply(batch)
	})
}

// entries holds the engines between two readings. It belongs to one goroutine.
type entries struct {
	controller *Controller
	byID       map[string]*blackboard.Engine
	outage     bool // entries may be missing since the store was away
	returned   clock.Instant
}

// apply takes in what a reading shows and publishes the engines if they changed.
func (e *entries) apply(batch store.Batch) {
	changed := false
	if batch.Whole {
		changed = e.dropMissing(batch.Rows)
	}
	for _, row := range batch.Rows {
		if row.Part != "" {
			continue
		}
		if row.Deleted {
			changed = e.remove(row.Name) || changed
			continue
		}
		changed = e.put(row) || changed
	}
	if e.expire() || changed {
		e.publish()
	}
}

// dropMissing removes the engines that a whole reading does not show.
func (e *entries) dropMissing(rows []store.Row) bool {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = true
	}
	changed := false
	for id := range e.byID {
		if !present[id] {
			changed = e.remove(id) || changed
		}
	}
	return changed
}

// remove drops the engine, or marks it as missing if its entry may have lapsed
// only because the store was away.
func (e *entries) remove(id string) bool {
	engine, ok := e.byID[id]
	if !ok {
		return false
	}
	if e.outage && !engine.Draining {
		if engine.MissingSince == 0 {
			missing := *engine
			missing.MissingSince = clock.Now()
			e.byID[id] = &missing
		}
		return true
	}
	delete(e.byID, id)
	e.controller.log.Info().Str("engine", id).Msg("engine is gone")
	return true
}

// expire drops engines whose entries did not come back.
func (e *entries) expire() bool {
	changed := false
	for id, engine := range e.byID {
		if engine.MissingSince != 0 && clock.Since(engine.MissingSince) > returnTime {
			delete(e.byID, id)
			e.controller.log.Info().Str("engine", id).Msg("engine did not come back after the outage of the store")
			changed = true
		}
	}
	return changed
}

// put takes in an entry and tells whether it changed anything.
func (e *entries) put(row store.Row) bool {
	spec, err := e.controller.decoder.Engine(row)
	if err != nil {
		e.controller.log.Warn().Int64("row_version", row.Version).Err(err).Msg("engine's entry cannot be read")
		return e.remove(row.Name)
	}
	now := clock.Now()
	engine := &blackboard.Engine{Engine: spec, Load: new(blackboard.EngineLoad)}
	if spec.ColdFor > 0 {
		engine.ColdUntil = now.Add(spec.ColdFor)
	}
	old := e.byID[spec.ID]
	e.byID[spec.ID] = engine
	if old == nil || old.Born != spec.Born {
		e.controller.log.Info().Str("engine", spec.ID).Str("service", spec.Service).Str("data_centre", spec.DataCentre).
			Bool("draining", spec.Draining).Dur("cold_for", spec.ColdFor).Msg("engine is registered")
		return true
	}
	engine.Load = old.Load
	if spec.Draining != old.Draining {
		e.controller.log.Info().Str("engine", spec.ID).Bool("draining", spec.Draining).Msg("engine changed its state")
	}
	return spec.Draining != old.Draining || spec.Address != old.Address || spec.Slots != old.Slots ||
		old.MissingSince != 0 || engine.Cold(now) != old.Cold(now) || spec.ColdFor > 0
}

func (e *entries) publish() {
	e.controller.board.Engines.Update(func(*blackboard.Engines) *blackboard.Engines {
		all := slices.SortedFunc(maps.Values(e.byID), func(a, b *blackboard.Engine) int { return strings.Compare(a.ID, b.ID) })
		return withOut(all, e.controller.board.TakenOut.Value())
	})
}
