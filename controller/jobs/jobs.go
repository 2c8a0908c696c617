// Package jobs follows the batch jobs in the store and runs the items of those
// that this daemon owns, where engines have room beside online requests.
package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/policy/due"
	"github.com/baobablanding/baobablanding/relay"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// tick is the time between two looks at the engines.
	tick = 40 * time.Millisecond
	// startValidity is how old the last reading of the store may be when an item
	// is started: an engine that leaves, a data centre that is taken out or the
	// end of a job would be noticed too late.
	startValidity = 1800 * time.Millisecond
	// heardForAll is the part of the daemons that must be heard to tell that the
	// store is away for all.
	heardForAll = 0.65
	// claimDelay is how long an owner must be missing before its job is taken over:
	// a daemon that has just started may own jobs before others know of it.
	claimDelay = time.Second
	// trimPause is the time between two takings from one engine, after which the
	// other daemons know of the first.
	trimPause = 120 * time.Millisecond
	// maxRunning bounds the items that one daemon runs at once.
	maxRunning = 160
)

// Controller keeps Jobs and Demand.
type Controller struct {
	board   *blackboard.Entry
	store   store.Store
	ledger  *job.Ledger
	engines relay.Engines
	self    blackboard.Peer
	log     *log.Logger

	owned    map[job.Key]*owned
	claiming map[job.Key]bool
	events   chan func()
	trimmed  map[string]clock.Instant  // by engine: when items were last taken away
	orphaned map[job.Key]clock.Instant // when the owner was first found missing
	running  int
	runTime  due.RunTime
	stopping atomic.Bool
	outage   bool // the store is away for all daemons
}

// New returns the controller of the daemon.
func New(board *blackboard.Entry, s store.Store, engines relay.Engines, self blackboard.Peer, logger *log.Logger) *Controller {
	return &Controller{
		board: board, store: s, ledger: job.NewLedger(s), engines: engines, self: self, log: logger,
		owned: make(map[job.Key]*owned), claiming: make(map[job.Key]bool), orphaned: make(map[job.Key]clock.Instant),
		events: make(chan func(), 256), trimmed: make(map[string]clock.Instant),
	}
}

// owned is a job whose items this daemon runs.
type owned struct {
	key        job.Key
	head       *job.Versioned
	seen       clock.Instant // when the daemon came to know the job
	items      []job.Item    // nil until they are loaded
	loading    bool
	waiting    []*progress
	running    map[int]*progress
	finished   []job.Finished
	committing bool
	saving     bool
	lastSave   clock.Instant
	handing    bool // to another daemon
}

// Run runs items until ctx is done. Then it stops the items that run.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		snap := c.board.Jobs.Load()
		c.reconcile(ctx, snap.Value)
		c.trim()
		if c.stopping.Load() {
			c.handOver(ctx)
		} else {
			c.start(ctx)
		}
		c.publishDemand()
		select {
		case <-ticker.C:
		case <-snap.Changed():
		case event := <-c.events:
			event()
			c.drainEvents()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) drainEvents() {
	for {
		select {
		case event := <-c.events:
			event()
		default:
			return
		}
	}
}

// post hands an event to the controller's goroutine.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// publishDemand shows how many items wait here that can end in time.
func (c *Controller) publishDemand() {
	waiting := 0
	now := c.board.StoreNow()
	for _, o := range c.owned {
		if len(o.waiting) > 0 && c.due(o.waiting[0]).OnTime(now) {
			waiting += len(o.waiting)
		}
	}
	if c.board.Demand.Value().Waiting != waiting {
		c.board.Demand.Publish(blackboard.Demand{Waiting: waiting})
	}
}

// Stop hands the jobs over to other daemons. No item starts any more.
func (c *Controller) Stop() { c.stopping.Store(true) }
