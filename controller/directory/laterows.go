package directory

import (
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// lateRowTimeout is how long a late row must stay in the store until it is believed. An
	// engine that runs replaces a late row by its next heartbeat, and that of an engine that
	// is silent expires sooner. A row that stays is of an engine whose clock was set back.
	lateRowTimeout = 15 * time.Second
	// maxCountedGap bounds how much of the time between two reads counts towards
	// lateRowTimeout: engines can replace no row while the store is unavailable.
	maxCountedGap = time.Second
)

// lateRow is the current row of an engine that wrote another one after it: the store performed
// the write late.
type lateRow struct {
	row store.Row
	age time.Duration // how long the row was there, in time in which the store was read
}

// isLate reports whether the engine wrote a later row than that of spec, as far as this daemon
// knows. Such a row does not show the state of the engine and is kept as a late row.
func (e *engineSet) isLate(row store.Row, spec *catalog.Engine) bool {
	known := e.lastSpec(spec.ID)
	if known == nil || !spec.IsOlderThan(known) {
		return false
	}
	if held := e.late[spec.ID]; held == nil || held.row.Version != row.Version {
		e.late[spec.ID] = &lateRow{row: row}
		e.controller.log.Warn().Str("engine", spec.ID).Int64("row_version", row.Version).Bool("draining", spec.Draining).
			Int64("started_at_ms", spec.StartedAtMs).Int64("sequence", spec.Sequence).
			Int64("known_started_at_ms", known.StartedAtMs).Int64("known_sequence", known.Sequence).Msg("late row of an engine is ignored")
	}
	return true
}

// lastSpec returns the latest registration of the engine that this daemon knows, or nil.
func (e *engineSet) lastSpec(id string) *catalog.Engine {
	if engine := e.byID[id]; engine != nil {
		return engine.Engine
	}
	if removed, ok := e.removed[id]; ok {
		return removed.Engine.Engine
	}
	return nil
}

// believeLate takes up the late rows that stayed for lateRowTimeout. It reports whether an engine
// changed.
func (e *engineSet) believeLate(now clock.Instant) bool {
	gap := min(now.Sub(e.appliedAt), maxCountedGap)
	changed := false
	for id, late := range e.late {
		if late.age += gap; late.age < lateRowTimeout {
			continue
		}
		delete(e.late, id)
		if spec, err := e.controller.decoder.Engine(late.row); err == nil { // it was decoded before
			e.controller.log.Warn().Str("engine", id).Int64("row_version", late.row.Version).Msg("late row of an engine stayed and is believed")
			changed = e.register(spec) || changed
		}
	}
	return changed
}
