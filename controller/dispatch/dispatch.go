// Package dispatch claims chunks of batch jobs and runs their items on the idle slots of
// the upstreams on an agent's VM.
package dispatch

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/peer"
)

const (
	defaultLease = 30 * time.Second
	// renewalsPerLease sets when a lease is renewed: after 1/renewalsPerLease of it.
	renewalsPerLease = 3

	// maxHeldChunks is the number of held chunks from which no other is claimed.
	maxHeldChunks = 6
	// maxHeldBytes is the size of held inputs and results from which no other chunk is
	// claimed.
	maxHeldBytes = 64 << 20
)

// Runner runs requests at local upstreams. It is called from several goroutines.
type Runner interface {
	// Run sends the request and returns the upstream's response, or an error whose result
	// code and verdict say whether the request ran. The controller passes a nil sink.
	Run(ctx context.Context, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error)
}

// Slots returns how many more batch items a local upstream can take.
type Slots interface {
	// Idle returns the number of batch items that the upstream can take now. It may be
	// negative.
	Idle(upstream string) int
	// Changed returns a channel that is closed when slots may have become free after the
	// call, or nil if Slots does not report changes; then Idle is polled.
	Changed() <-chan struct{}
}

// BatchRate limits the starts of batch items to a workspace's rate. It is called from
// several goroutines.
type BatchRate interface {
	// Take takes at most n starts of the workspace and returns how many it granted. If it
	// grants none, it returns the time after which to call it again.
	Take(ctx context.Context, workspace string, n int) (granted int, retryAfter time.Duration)
}

// Options configures a Controller. Store, Runner, Holder, Metrics and Log are required.
type Options struct {
	// Store stores the jobs.
	Store *batch.Store
	// Runner runs items.
	Runner Runner
	// Slots returns the idle slots. The default subtracts the requests in flight on the
	// board from each upstream's slots.
	Slots Slots
	// BatchRate limits the starts of items. The default is no limit.
	BatchRate BatchRate
	// Holder identifies this process in claims.
	Holder string
	// Lease is how long a claim lasts without renewal. The default is 30s.
	Lease time.Duration
	// Metrics counts items, attempts and chunks.
	Metrics *Metrics
	// Log receives the ends of claims that were lost or cancelled.
	Log *log.Logger
}

// Controller claims chunks of batch jobs and runs their items. Its state belongs to the
// goroutine of Run. Store calls and items run on other goroutines, which pass what is to be
// done at their end to Run through a channel.
type Controller struct {
	Options

	board       *blackboard.Board
	completions chan func() // run by Run
	ctx         context.Context
	drained     chan struct{}

	held         []*chunkRun
	running      map[string]int          // number of items, by upstream
	reserved     map[string]*chunkRun    // chunk with an item that is to run alone, by upstream
	blockedUntil map[string]time.Time    // end of the pause after a rejection, by upstream
	budgets      map[string]*startBudget // by workspace
	searches     map[string]*modelSearch // by model
	claiming     bool
	cancelPoll   poll
	outage       storeOutage
	drainDone    bool
}

// New returns a Controller that runs items on the upstreams of the board. Run starts it.
func New(board *blackboard.Board, opts Options) *Controller {
	if opts.Lease == 0 {
		opts.Lease = defaultLease
	}
	if opts.Slots == nil {
		opts.Slots = boardSlots{board}
	}
	if opts.BatchRate == nil {
		opts.BatchRate = unlimited{}
	}
	return &Controller{
		Options:      opts,
		board:        board,
		completions:  make(chan func()),
		drained:      make(chan struct{}),
		running:      make(map[string]int),
		reserved:     make(map[string]*chunkRun),
		blockedUntil: make(map[string]time.Time),
		budgets:      make(map[string]*startBudget),
		searches:     make(map[string]*modelSearch),
	}
}

// Run claims chunks and runs their items until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		ups, phase, free := c.board.Upstreams.Load(), c.board.Phase.Load(), c.Slots.Changed()
		next := c.reconcile(time.Now())
		timer.Reset(time.Until(next))
		select {
		case complete := <-c.completions:
			complete()
		case <-timer.C:
		case <-free:
		case <-ups.Changed():
		case <-phase.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Drained returns a channel that is closed once a draining controller holds no claim. It
// may be called from several goroutines.
func (c *Controller) Drained() <-chan struct{} { return c.drained }

// async runs work on another goroutine, and then the function that work returned on the
// controller's goroutine.
func (c *Controller) async(work func() (complete func())) {
	go func() {
		complete := work()
		select {
		case c.completions <- complete:
		case <-c.ctx.Done():
		}
	}()
}

// reconcile starts all store calls and items that can start now and returns when to call it
// again. While the process is not serving, it only maintains the held chunks and, when the
// process is draining, releases them.
func (c *Controller) reconcile(now time.Time) time.Time {
	next := now.Add(c.Lease)
	earliest := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for _, r := range c.held {
		earliest(r.maintain(now))
	}
	if c.board.Phase.Value() != blackboard.PhaseServing {
		c.drain()
		return next
	}
	earliest(c.pollCancelled(now))
	earliest(c.fill(now))
	earliest(c.search(now))
	c.Metrics.held.Set(float64(len(c.held)))
	return next
}

// drain releases every chunk that runs no item, and closes the channel of Drained once none
// is held. It does nothing unless the process is draining.
func (c *Controller) drain() {
	if c.board.Phase.Value() != blackboard.PhaseDraining || c.drainDone {
		return
	}
	for _, r := range c.held {
		r.release()
	}
	if len(c.held) == 0 && !c.claiming {
		c.drainDone = true
		close(c.drained)
	}
}

// drop cancels the items of a chunk that is no longer held, and removes the chunk with its
// reservations of upstreams.
func (c *Controller) drop(r *chunkRun) {
	r.cancel()
	for i, other := range c.held {
		if other == r {
			c.held = append(c.held[:i], c.held[i+1:]...)
			break
		}
	}
	for up, owner := range c.reserved {
		if owner == r {
			delete(c.reserved, up)
		}
	}
}

// storeRetryTime returns when to repeat a store call that failed.
func (c *Controller) storeRetryTime() time.Time {
	return time.Now().Add(jitter(min(storeBackoff, c.Lease/renewalsPerLease/2)))
}

// recovering reports whether the store is unavailable, or became available again less than
// a lease ago. Other holders, which repeat their renewals several times in a lease, may not
// have renewed theirs yet.
func (c *Controller) recovering() bool { return c.outage.endedWithin(c.Lease, time.Now()) }

// heldBytes returns the size of the inputs and lines of all held chunks.
func (c *Controller) heldBytes() int {
	n := 0
	for _, r := range c.held {
		n += r.bytes
	}
	return n
}
