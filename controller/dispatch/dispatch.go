// Package dispatch runs batch items on the upstreams beside an agent while they
// are idle.
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
	renewalParts = 3 // parts of a lease after the first of which it is renewed

	maxHeld      = 6        // chunks held at once
	maxHeldBytes = 64 << 20 // bytes of inputs and results held at once
)

// Runner runs one request at a local upstream.
type Runner interface {
	// Run returns the upstream's answer.
	Run(ctx context.Context, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error)
}

// Slots tells how many more batch items a local upstream bears.
type Slots interface {
	// Idle returns the number of batch items that the upstream can take now.
	Idle(upstream string) int
	// Changed returns a channel that is closed when slots may have become
	// free after the call, or nil if that is not known.
	Changed() <-chan struct{}
}

// Allowance grants the starts of batch items within a workspace's rate.
type Allowance interface {
	// Take draws at most n starts. If it grants none, it returns after what
	// time some may be granted.
	Take(ctx context.Context, workspace string, n int) (granted int, retryAfter time.Duration)
}

// Options holds the parts of a Controller.
type Options struct {
	// Store keeps the jobs.
	Store *batch.Store
	// Runner runs items.
	Runner Runner
	// Slots tells what is idle. The default goes by the board.
	Slots Slots
	// Allowance grants starts. The default grants all.
	Allowance Allowance
	// Holder identifies this process in claims.
	Holder string
	// Lease is how long a claim lasts without renewal. The default is 30s.
	Lease time.Duration
	// Metrics counts what is done.
	Metrics *Metrics
	// Log receives changes of state.
	Log *log.Logger
}

// Controller claims chunks of batch jobs and runs their items. Its state
// belongs to the goroutine of Run; other goroutines hand their outcomes to it
// through a channel.
type Controller struct {
	Options

	board    *blackboard.Board
	outcomes chan func()
	ctx      context.Context
	drained  chan struct{}

	held      []*chunkRun
	running   map[string]int       // items by upstream
	alone     map[string]*chunkRun // upstreams kept free for one item
	blocked   map[string]time.Time // upstreams that refused an item
	allowance map[string]*grant    // by workspace
	looks     map[string]*look     // searches for chunks, by model
	claiming  bool
	cancels   poll
	failure   time.Time // of the last store call that got no answer
	stopped   bool
}

// New returns a Controller.
func New(board *blackboard.Board, opts Options) *Controller {
	if opts.Lease == 0 {
		opts.Lease = defaultLease
	}
	if opts.Slots == nil {
		opts.Slots = boardSlots{board}
	}
	if opts.Allowance == nil {
		opts.Allowance = unlimited{}
	}
	return &Controller{
		Options:   opts,
		board:     board,
		outcomes:  make(chan func()),
		drained:   make(chan struct{}),
		running:   make(map[string]int),
		alone:     make(map[string]*chunkRun),
		blocked:   make(map[string]time.Time),
		allowance: make(map[string]*grant),
		looks:     make(map[string]*look),
	}
}

// Run works on batch jobs until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		ups, phase, free := c.board.Upstreams.Load(), c.board.Phase.Load(), c.Slots.Changed()
		next := c.step(time.Now())
		timer.Reset(time.Until(next))
		select {
		case outcome := <-c.outcomes:
			outcome()
		case <-timer.C:
		case <-free:
		case <-ups.Changed():
		case <-phase.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Drained returns a channel that is closed once a draining controller has given
// back its claims.
func (c *Controller) Drained() <-chan struct{} { return c.drained }

// async runs work on another goroutine and then its outcome on the controller's
// own.
func (c *Controller) async(work func() (outcome func())) {
	go func() {
		outcome := work()
		select {
		case c.outcomes <- outcome:
		case <-c.ctx.Done():
		}
	}()
}

// step starts whatever can be started and returns when to look again.
func (c *Controller) step(now time.Time) time.Time {
	next := now.Add(c.Lease)
	earliest := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for _, r := range c.held {
		earliest(r.renew(now))
	}
	if c.board.Phase.Value() != blackboard.Serving {
		c.drain()
		return next
	}
	earliest(c.pollCancelled(now))
	earliest(c.fill(now))
	earliest(c.search(now))
	c.Metrics.held.Set(float64(len(c.held)))
	return next
}

// drain gives back every chunk that runs no item.
func (c *Controller) drain() {
	if c.board.Phase.Value() != blackboard.Draining || c.stopped {
		return
	}
	for _, r := range c.held {
		r.release()
	}
	if len(c.held) == 0 && !c.claiming {
		c.stopped = true
		close(c.drained)
	}
}

// drop removes a chunk that is no longer held.
func (c *Controller) drop(r *chunkRun) {
	r.cancel()
	for i, other := range c.held {
		if other == r {
			c.held = append(c.held[:i], c.held[i+1:]...)
			break
		}
	}
	for up, owner := range c.alone {
		if owner == r {
			delete(c.alone, up)
		}
	}
}

// noteStore notes whether the store answered a call.
func (c *Controller) noteStore(err error) {
	if batch.IsUnavailable(err) {
		c.failure = time.Now()
	}
}

// retryStore returns when to repeat a store call that got no answer.
func (c *Controller) retryStore() time.Time {
	return time.Now().Add(jitter(min(storeBackoff, c.Lease/renewalParts/2)))
}

// recovering tells whether the store was out a short time ago, so that holders
// of chunks may not have renewed their leases yet.
func (c *Controller) recovering() bool {
	return time.Since(c.failure) < c.Lease/renewalParts
}

// heldBytes returns the size of the inputs and results held.
func (c *Controller) heldBytes() int {
	n := 0
	for _, r := range c.held {
		n += r.bytes
	}
	return n
}
