package directory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/store"
)

// RunEngines reads the engines' table at regular intervals and publishes the engines until
// ctx is done.
func (c *Controller) RunEngines(ctx context.Context) {
	_, table := c.decoder.Tables()
	e := newSet(c)
	previous := clock.Now()
	follow.PollTable(ctx, c.store, table, pollInterval, follow.NewAvailabilityLog(c.log, "engines"), func(update store.TableUpdate, sent clock.Instant) {
		now := clock.Now()
		e.graceUntil = graceAfterGap(previous, sent, now, c.board.StoreReads.Value())
		if e.graceUntil > now {
			c.log.Info().Dur("gap", sent.Sub(previous)).Dur("grace", e.graceUntil.Sub(now)).Msg("engines whose rows are gone in this read may register again")
		}
		previous = sent
		e.apply(update)
	})
}

// engineSet holds the known engines, including those whose rows may be missing only because
// the store was unavailable. It belongs to the goroutine of RunEngines.
type engineSet struct {
	controller *Controller
	byID       map[string]*blackboard.Engine
	removed    map[string]removedEngine // by id
	late       map[string]*lateRow      // by id of the engine
	appliedAt  clock.Instant            // when the last read was applied
	// graceUntil is until when an engine is kept whose row is gone in the read that is
	// applied now, or 0 if its removal is final.
	graceUntil clock.Instant
}

// removedEngine is an engine that has no row any more. The same start of it may register
// again, and keeps its EngineLoad then.
type removedEngine struct {
	*blackboard.Engine
	at clock.Instant
}

// removedRetention is how long a removed engine is remembered.
const removedRetention = 10 * time.Minute

func newSet(c *Controller) *engineSet {
	return &engineSet{
		controller: c, byID: make(map[string]*blackboard.Engine), removed: make(map[string]removedEngine),
		late: make(map[string]*lateRow), appliedAt: clock.Now(),
	}
}

// apply updates the engines from one read and publishes them if they changed.
func (e *engineSet) apply(update store.TableUpdate) { e.applyAt(clock.Now(), update) }

// applyAt applies a read that arrived at the instant now.
func (e *engineSet) applyAt(now clock.Instant, update store.TableUpdate) {
	changed := false
	if update.WholeTable {
		changed = e.removeMissing(update.Rows)
	}
	for _, row := range update.Rows {
		if row.Part != "" {
			continue
		}
		if row.Deleted {
			changed = e.remove(row.Name) || changed
			continue
		}
		changed = e.put(row) || changed
	}
	changed = e.believeLate(now) || changed
	e.appliedAt = now
	e.forgetRemoved()
	if e.expireMissing() || changed {
		e.publish()
	}
}

// removeMissing removes the engines that have no row in a read of the whole table. It
// reports whether an engine changed.
func (e *engineSet) removeMissing(rows []store.Row) bool {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = present[row.Name] || row.Part == ""
	}
	changed := false
	for id := range e.byID {
		if !present[id] {
			changed = e.remove(id) || changed
		}
	}
	maps.DeleteFunc(e.late, func(id string, _ *lateRow) bool { return !present[id] })
	return changed
}

// remove drops the engine, or marks it as missing if its row may have expired only because
// the store was unavailable. An engine that was draining is dropped in any case. It reports
// whether the engine changed.
func (e *engineSet) remove(id string) bool {
	delete(e.late, id)
	engine, ok := e.byID[id]
	if !ok || engine.MissingUntil != 0 { // expireMissing drops it in time
		return false
	}
	if e.graceUntil > clock.Now() && !engine.Draining {
		missing := *engine
		missing.MissingUntil = e.graceUntil
		e.byID[id] = &missing
		return true
	}
	e.drop(engine)
	e.controller.log.Info().Str("engine", id).Msg("engine was removed")
	return true
}

// removeOdd drops the engine whose row cannot be decoded. It reports whether the engine was
// known.
func (e *engineSet) removeOdd(id string) bool {
	delete(e.late, id)
	engine, ok := e.byID[id]
	if ok {
		e.drop(engine)
	}
	return ok
}

// drop drops the engine and remembers it for removedRetention.
func (e *engineSet) drop(engine *blackboard.Engine) {
	delete(e.byID, engine.ID)
	e.removed[engine.ID] = removedEngine{Engine: engine, at: clock.Now()}
}

// forgetRemoved forgets the engines that were removed long ago.
func (e *engineSet) forgetRemoved() {
	for id, engine := range e.removed {
		if clock.Since(engine.at) > removedRetention {
			delete(e.removed, id)
		}
	}
}

// lastLoad returns the EngineLoad of the start of the engine that the row registers, or nil
// if this start is not known.
func (e *engineSet) lastLoad(spec *catalog.Engine) *blackboard.EngineLoad {
	if old := e.byID[spec.ID]; old != nil && old.StartedAtMs == spec.StartedAtMs {
		return old.Load
	}
	if old, ok := e.removed[spec.ID]; ok && old.StartedAtMs == spec.StartedAtMs {
		return old.Load
	}
	return nil
}

// expireMissing drops missing engines that did not register again in time. It reports whether
// it dropped one.
func (e *engineSet) expireMissing() bool {
	changed := false
	for id, engine := range e.byID {
		if !engine.IsKept(clock.Now()) {
			e.drop(engine)
			e.controller.log.Info().Str("engine", id).Msg("engine did not register again after the store became available; removed")
			changed = true
		}
	}
	return changed
}

// put adds or updates the engine of the row and reports whether the engines must be
// published again. A row that cannot be decoded removes its engine. A late row changes nothing.
func (e *engineSet) put(row store.Row) bool {
	spec, err := e.controller.decoder.Engine(row)
	if err != nil {
		e.controller.log.Warn().Int64("row_version", row.Version).Err(err).Msg("cannot decode engine row")
		return e.removeOdd(row.Name)
	}
	if e.isLate(row, spec) {
		return false
	}
	delete(e.late, spec.ID)
	return e.register(spec)
}

// register adds or updates the engine and reports whether the engines must be published again.
func (e *engineSet) register(spec *catalog.Engine) bool {
	now := clock.Now()
	engine := &blackboard.Engine{Engine: spec, Load: e.lastLoad(spec)}
	if engine.Load == nil {
		engine.Load = new(blackboard.EngineLoad)
	}
	if spec.ColdRemaining > 0 {
		engine.ColdUntil = now.Add(spec.ColdRemaining)
	}
	old := e.byID[spec.ID]
	e.byID[spec.ID] = engine
	if old == nil || old.StartedAtMs != spec.StartedAtMs {
		e.controller.log.Info().Str("engine", spec.ID).Str("service", spec.Service).Str("data_centre", spec.DataCentre).
			Int64("started_at_ms", spec.StartedAtMs).Int64("sequence", spec.Sequence).
			Bool("draining", spec.Draining).Dur("cold_for", spec.ColdRemaining).Msg("engine registered")
		return true
	}
	if spec.Draining != old.Draining {
		e.controller.log.Info().Str("engine", spec.ID).Bool("draining", spec.Draining).Int64("sequence", spec.Sequence).Msg("engine draining state changed")
	}
	return spec.Draining != old.Draining || spec.Address != old.Address || spec.Version != old.Version || spec.Slots != old.Slots ||
		old.MissingUntil != 0 || engine.IsCold(now) != old.IsCold(now) || spec.ColdRemaining > 0
}

// publish publishes the engines in the order of their ids. The data centres that are taken
// out are read inside the update, so that a concurrent publication of these is not undone.
func (e *engineSet) publish() {
	e.controller.board.Engines.Update(func(*blackboard.Engines) *blackboard.Engines {
		all := slices.SortedFunc(maps.Values(e.byID), func(a, b *blackboard.Engine) int { return strings.Compare(a.ID, b.ID) })
		return markTakenOut(all, e.controller.board.TakenOut.Value())
	})
}
