// Package rollouts carries out the operators' orders to replace the engines of a service by
// those of another version. It publishes which versions this daemon may use. One daemon owns
// each roll-out: it decides on the stages by what all daemons counted.
package rollouts

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// tickInterval is the time between two looks at the board.
	tickInterval = 100 * time.Millisecond
	// readInterval is the time between two reads of the table while there is an order,
	// and largeReadInterval the same in a fleet of more than largeFleet daemons, whose reads
	// would be a burden for the store.
	readInterval      = 300 * time.Millisecond
	largeReadInterval = 600 * time.Millisecond
	largeFleet        = 100
	// leaseRenewal is the time after which the owner of a roll-out writes its row again, and
	// leaseTime the time without a change after which another daemon takes over.
	leaseRenewal = 600 * time.Millisecond
	leaseTime    = 1800 * time.Millisecond
	// claimDelay is how long a daemon leaves the claim of a new order to the one responsible.
	claimDelay = 900 * time.Millisecond
)

// Bounds limits what a bad version may get.
type Bounds struct {
	// Share is the share of the requests of a service, and Slack the number beyond it.
	Share, Slack float64
	// RollbackTime is the time after the 50th bad answer from which on it gets none.
	RollbackTime time.Duration
}

// StatusEncoder returns the row that tells the operators the state of a roll-out of a
// service to a version: active, completed or reverted.
type StatusEncoder interface {
	RolloutStatus(service, state, to string) store.Row
}

// Controller writes the board's section Rollouts and RolloutsValidUntil. Unless noted
// otherwise, its fields belong to the goroutine of Run.
type Controller struct {
	board  *blackboard.EntryBoard
	store  store.Store
	status StatusEncoder
	bounds Bounds
	log    *log.Logger

	services map[string]*serviceState
	// enginesSeen is the version of the section Engines whose services were added.
	enginesSeen uint64
	isValid     bool          // the versions might be used at the last tick
	outageAt    clock.Instant // when the store was last unavailable to all daemons, or 0
	events      chan func()   // run by the goroutine of Run

	mu      sync.Mutex // guards the fields below
	records map[string]versionedRecord
	readAt  clock.Instant // when the last read of the table was sent, or 0
	orders  ordersRead
}

// ordersRead is what the reads of the operators' orders were so far.
type ordersRead struct {
	lastAt clock.Instant // when the last one was sent, or 0
	// unbrokenFrom is when the first of those was sent between which no roll-out can have
	// begun and been completed unseen.
	unbrokenFrom clock.Instant
	// idleUntil is until when this daemon may use the versions that it knew when no read
	// showed an order that has not ended.
	idleUntil clock.Instant
}

// idleValidity is how long a daemon that knows of no order uses the versions that it knows.
// The canary stage of an order that it does not know takes rollout.MinCanary at least.
const idleValidity = rollout.Validity + rollout.MinCanary

// observeOrders notes a new read of the orders. The caller holds c.mu.
func (c *Controller) observeOrders(orders blackboard.RolloutOrders) {
	o := &c.orders
	if orders.ReadAt == o.lastAt {
		return
	}
	if o.lastAt == 0 || orders.ReadAt.Sub(o.lastAt) > idleValidity {
		o.unbrokenFrom = orders.ReadAt
	}
	o.lastAt = orders.ReadAt
}

// New returns a controller. The caller must have published an empty section Rollouts.
func New(board *blackboard.EntryBoard, s store.Store, status StatusEncoder, bounds Bounds, logger *log.Logger) *Controller {
	return &Controller{
		board: board, store: s, status: status, bounds: bounds, log: logger,
		services: make(map[string]*serviceState), events: make(chan func(), 64), records: make(map[string]versionedRecord),
	}
}

// RunFollower reads the table while there are orders, and once at the start, until ctx is
// done. It may run beside Run.
func (c *Controller) RunFollower(ctx context.Context) {
	f := store.NewFollower(c.store, Table)
	availability := follow.NewAvailabilityLog(c.log, "roll-outs")
	for ctx.Err() == nil {
		if !c.mustRead() {
			timer.Sleep(ctx, tickInterval)
			continue
		}
		sent := clock.Now()
		update, err := f.Next(ctx)
		availability.Observe(err, sent)
		if err == nil {
			c.applyRead(update, sent)
		}
		interval := readInterval
		if c.board.Roster.Value().Size() > largeFleet {
			interval = largeReadInterval
		}
		timer.Sleep(ctx, interval)
	}
}

// mustRead reports whether a read of the table may show something of use.
func (c *Controller) mustRead() bool {
	orders := c.board.RolloutOrders.Value()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeOrders(orders)
	return c.readAt == 0 || c.readAt < c.orders.unbrokenFrom || c.hasLiveOrder(orders)
}

// hasLiveOrder reports whether an order has not ended. The caller holds c.mu.
func (c *Controller) hasLiveOrder(orders blackboard.RolloutOrders) bool {
	for service, order := range orders.ByService {
		if r, ok := c.records[service]; !ok || !r.isFinal() || !r.isOf(order) {
			return true
		}
	}
	for _, r := range c.records {
		if !r.isFinal() {
			return true
		}
	}
	return false
}

// applyRead records what a read that was sent at the given instant shows.
func (c *Controller) applyRead(update store.TableUpdate, sent clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool)
	for _, row := range update.Rows {
		if row.Part == "" {
			present[row.Name] = true
			c.putRow(row)
		}
	}
	if update.WholeTable { // rows that were removed; this daemon may have written others since
		maps.DeleteFunc(c.records, func(service string, r versionedRecord) bool {
			return !present[service] && r.version <= update.Version
		})
	}
	c.readAt = sent
}

// putRow keeps the row unless a newer one is known. The caller holds c.mu.
func (c *Controller) putRow(row store.Row) {
	if row.Deleted {
		delete(c.records, row.Name)
		return
	}
	if known, ok := c.records[row.Name]; ok && known.version >= row.Version {
		return
	}
	r, err := decodeRecord(row)
	if err != nil {
		c.log.Error().Str("service", row.Name).Int64("row_version", row.Version).Err(err).Msg("row of a roll-out cannot be decoded; skipped")
		return
	}
	c.records[row.Name] = r
}

// record returns the known record of the service.
func (c *Controller) record(service string) (versionedRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[service]
	return r, ok
}

// Run publishes the versions that may be used and decides on the roll-outs that this daemon
// owns, until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.tick(ctx, clock.Now())
		select {
		case <-ticker.C:
		case event := <-c.events:
			event()
		case <-ctx.Done():
			return
		}
	}
}

// tick looks at the board once.
func (c *Controller) tick(ctx context.Context, now clock.Instant) {
	until := c.validUntil(now) // before the state, which may be newer but not older
	c.updateServices(now)
	c.publish()
	c.logValidity(until, now)
	c.board.RolloutsValidUntil.Store(int64(until))
	if !c.board.Roster.Value().Loaded || !c.hasRead() {
		return
	}
	for service, s := range c.services {
		c.decide(ctx, service, s, now)
	}
}

// logValidity logs when this daemon may use no engine any more, and when it may again.
func (c *Controller) logValidity(until, now clock.Instant) {
	valid := until > now
	if valid == c.isValid {
		return
	}
	c.isValid = valid
	readAt := c.board.RolloutOrders.Value().ReadAt
	if valid {
		c.log.Info().Dur("reading_age", now.Sub(readAt)).Msg("versions of engines are known and may be used")
		return
	}
	c.log.Warn().Dur("reading_age", now.Sub(readAt)).Int64("reporting_daemons", c.board.ReportingDaemons.Load()).
		Msg("versions of engines may have changed unnoticed; no engine is used")
}

// hasRead reports whether both tables were read.
func (c *Controller) hasRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt != 0 && c.board.RolloutOrders.Value().ReadAt != 0
}

// validUntil returns until when this daemon may use what it published. While nobody can read
// the store no stage can change.
func (c *Controller) validUntil(now clock.Instant) clock.Instant {
	orders := c.board.RolloutOrders.Value()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeOrders(orders)
	if c.readAt == 0 || orders.ReadAt == 0 {
		return 0
	}
	if c.readAt >= c.orders.unbrokenFrom && !c.hasLiveOrder(orders) {
		c.orders.idleUntil = orders.ReadAt.Add(idleValidity)
	}
	outageUntil := outageValidUntil(c.board, now)
	if outageUntil != 0 {
		c.outageAt = now
	}
	return max(c.readAt.Add(rollout.Validity), c.orders.idleUntil, outageUntil)
}
