// Package directory follows the operators' rows and the engines' entries in the
// store and keeps the catalog and the set of engines on the board.
package directory

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// pollInterval is the time between two readings.
	pollInterval = 600 * time.Millisecond
	// outageAfter is how old the last reading is when the store counts as
	// having been away.
	outageAfter = 1800 * time.Millisecond
	// returnTime is how long an entry that lapsed during an outage of the store
	// may take to come back.
	returnTime = 2 * time.Second
)

// Decoder reads the rows that the operators and the engines write.
type Decoder interface {
	// Tables returns the tables of the operators and of the engines.
	Tables() (operators, engines string)
	// Config returns the configuration that the row holds, or nil if the row
	// holds something else.
	Config(store.Row) (*catalog.Catalog, error)
	// TakenOut returns the data centre that the row takes out, if any.
	TakenOut(store.Key) (dataCentre string, ok bool)
	// Engine returns the engine that the row registers.
	Engine(store.Row) (*catalog.Engine, error)
}

// Controller keeps Catalog, Reading and Engines.
type Controller struct {
	board   *blackboard.Entry
	store   store.Store
	decoder Decoder
	log     *log.Logger

	out map[string]bool // data centres that are taken out
}

// New returns the controller.
func New(board *blackboard.Entry, s store.Store, decoder Decoder, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, decoder: decoder, log: logger, out: make(map[string]bool)}
}

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

// noteContact logs when the store is lost or reached again.
func (c *Controller) noteContact(contact *store.Contact, rows string, err error) {
	lost, again := contact.Note(err)
	age := clock.Since(c.board.Reading.Value().Sent)
	if lost {
		c.log.Warn().Str("rows", rows).Dur("reading_age", age).Err(err).Msg("store is lost")
	}
	if again {
		c.log.Info().Str("rows", rows).Dur("reading_age", age).Msg("store is reached again")
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

// RunEngines follows the engines' entries until ctx is done.
func (c *Controller) RunEngines(ctx context.Context) {
	_, table := c.decoder.Tables()
	e := &entries{controller: c, byID: make(map[string]*blackboard.Engine)}
	f := store.NewFollower(c.store, table)
	last := clock.Now()
	contact := new(store.Contact)
	for ctx.Err() == nil {
		sent := clock.Now()
		batch, err := f.Next(ctx)
		c.noteContact(contact, "engines", err)
		if err == nil {
			e.outage = sent.Sub(last) > outageAfter || sent < e.returned.Add(returnTime)
			if sent.Sub(last) > outageAfter {
				e.returned = clock.Now()
			}
			last = sent
			e.apply(batch)
		}
		timer.Sleep(ctx, pollInterval)
	}
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
		out := e.controller.board.TakenOut.Value()
		all := make([]*blackboard.Engine, 0, len(e.byID))
		for _, engine := range e.byID {
			shown := *engine
			shown.Out = out[engine.DataCentre]
			all = append(all, &shown)
		}
		slices.SortFunc(all, func(a, b *blackboard.Engine) int { return strings.Compare(a.ID, b.ID) })
		return blackboard.NewEngines(all)
	})
}
