// Package jobs follows the batch jobs in the store and runs the items of those that this
// daemon owns, on engines that have free slots beside online requests.
//
// One goroutine, that of Run, owns the state of the owned jobs. Calls of the store and
// runs of items have goroutines of their own, which post their results as events.
package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/policy/confirm"
	"github.com/baobablanding/baobablanding/policy/due"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// schedulingInterval is the time between two passes that preempt and start items.
	schedulingInterval = 40 * time.Millisecond
	// maxReadAgeToStart is the largest age of the last read of the configuration at which
	// items are started. With an older read, the daemon would learn too late that an
	// engine is draining, a data centre was taken out or a job has ended.
	maxReadAgeToStart = 1800 * time.Millisecond
	// outageReportingFraction is the fraction of the daemons whose load reports must
	// arrive to conclude that the store is unavailable for all daemons.
	outageReportingFraction = 0.65
	// claimDelay is how long an owner must be missing from the roster before its job is
	// claimed: a daemon that has just started may own jobs before it is in the rosters of
	// other daemons.
	claimDelay = time.Second
	// maxRunningItems bounds the items that one daemon runs at once.
	maxRunningItems = 160
)

// Controller writes the blackboard's Jobs, BatchDemand and HeldSegments sections. Unless noted
// otherwise, its fields belong to the goroutine of Run.
type Controller struct {
	board   *blackboard.EntryBoard
	store   store.Store
	ledger  *job.Ledger
	engines Engines
	self    blackboard.Peer
	log     *log.Logger

	owned        map[job.Key]*ownedJob
	claiming     map[job.Key]bool          // a claim is under way
	events       chan func()               // run by the goroutine of Run
	preemptedAt  map[string]clock.Instant  // by engine: when items were last preempted
	missingSince map[job.Key]clock.Instant // when the owner was first found missing, or the last claim failed
	running      int                       // items
	runTime      due.RunTime               // of completed items
	draining     atomic.Bool               // set by Drain
	outage       bool                      // the store was last found to be unavailable for all daemons
	stopped      bool                      // no item was allowed to start in the last pass
}

// New returns a controller that runs items on engines and owns jobs as self.
func New(board *blackboard.EntryBoard, s store.Store, engines Engines, self blackboard.Peer, logger *log.Logger) *Controller {
	return &Controller{
		board: board, store: s, ledger: job.NewLedger(s), engines: engines, self: self, log: logger,
		owned: make(map[job.Key]*ownedJob), claiming: make(map[job.Key]bool), missingSince: make(map[job.Key]clock.Instant),
		events: make(chan func(), 256), preemptedAt: make(map[string]clock.Instant),
	}
}

// ownedJob is a job whose items this daemon runs.
type ownedJob struct {
	key         job.Key
	head        *job.VersionedHead
	items       []job.Item // nil until they are loaded
	loading     bool
	waiting     []*itemState       // in the order in which they start
	running     map[int]*itemState // by index
	finished    []job.ItemResult   // results that are not in the store yet
	committing  bool
	saving      bool
	savedAt     clock.Instant
	handingOver bool             // a hand-over is under way
	takenOver   bool             // another daemon probably ran the items before
	heldLogged  bool             // that items wait although the job is due was logged
	giveUp      confirm.Decision // to give up all items that wait
}

// Run claims jobs and runs the items of owned jobs until ctx is done. The end of ctx also
// cancels the items that run.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(schedulingInterval)
	defer ticker.Stop()
	for {
		snap := c.board.Jobs.Load()
		c.reconcile(ctx, snap.Value)
		c.preempt()
		if c.draining.Load() {
			c.handOver(ctx)
		} else {
			c.startItems(ctx)
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

// drainEvents runs the events that are queued.
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

// post queues an event for the goroutine of Run. It blocks while the queue is full, until
// ctx is done.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// publishDemand publishes how many items wait on this daemon, why, and for the trial of which
// segments. Of those that may start it counts the ones of jobs whose next item can probably
// finish on time.
func (c *Controller) publishDemand() {
	var demand blackboard.BatchDemand
	var held heldSets
	now := c.board.StoreNow()
	for _, o := range c.owned {
		holds := c.countHolds(o, &held)
		if len(o.waiting) > 0 && c.dueJob(o.waiting[0]).CanFinishOnTime(now) {
			demand.WaitingItems += holds[blackboard.HeldForEngine]
		}
		for reason, n := range holds {
			demand.Held[reason] += n
		}
		c.logHeldJob(o, &holds, now)
	}
	if c.board.BatchDemand.Value() != demand {
		c.board.BatchDemand.Publish(demand)
	}
	held.publish(c.board)
}

// Drain makes Run hand over the jobs to other daemons and start no more items. It may be
// called from any goroutine.
func (c *Controller) Drain() { c.draining.Store(true) }
