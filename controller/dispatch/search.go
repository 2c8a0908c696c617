package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	policy "github.com/baobablanding/baobablanding/policy/batch"
)

const (
	storeTimeout = 10 * time.Second
	storeBackoff = time.Second // after the store did not answer
	minContended = 10 * time.Millisecond
	maxContended = time.Second
	inputTries   = 3

	// minIdleCheck is the time between looks at the slots when no channel tells
	// of changes.
	minIdleCheck = 100 * time.Millisecond
)

// poll schedules reads of one record.
type poll struct {
	signal  batch.Signal
	next    time.Time
	running bool
}

// look is the search for chunks of one model.
type look struct {
	work  poll
	empty bool      // nothing was found since the last change
	next  time.Time // when to search again
	lost  int       // races lost in a row
}

func (c *Controller) lookFor(model string) *look {
	l := c.looks[model]
	if l == nil {
		l = new(look)
		c.looks[model] = l
	}
	return l
}

// jitter returns a random duration around d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// pollInterval returns the time to the next poll of a record.
func (c *Controller) pollInterval() time.Duration {
	agents := 1
	if view := c.board.Config.Value().View; view != nil {
		agents = len(view.Inventory.VMs)
	}
	return jitter(policy.PollInterval(agents))
}

// search claims a chunk if upstreams here are idle and have too few items
// waiting. It returns when to search again.
func (c *Controller) search(now time.Time) time.Time {
	next := now.Add(c.Lease)
	if c.Slots.Changed() == nil {
		next = now.Add(minIdleCheck)
	}
	if c.claiming || len(c.held) >= maxHeld || c.heldBytes() >= maxHeldBytes || c.careful() != nil {
		return next
	}
	for _, model := range c.idleModels(now) {
		l := c.lookFor(model)
		if l.empty {
			at := c.pollWork(model, l, now)
			next = earlier(next, at)
		}
		if now.Before(l.next) {
			next = earlier(next, l.next)
			continue
		}
		c.claim(model, l)
		return next
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// idleModels returns the models with fewer items waiting than slots that are
// idle or run batch items here, in random order.
func (c *Controller) idleModels(now time.Time) []string {
	slots := make(map[string]int)
	for _, up := range c.board.Upstreams.Value().All {
		n := max(c.free(up, now), 0) + c.running[up.Spec.Name]
		for _, model := range up.Spec.Models {
			slots[model] += n
		}
	}
	var models []string
	for model, n := range slots {
		if n > c.waiting(model) {
			models = append(models, model)
		}
	}
	rand.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	return models
}

// waiting returns the number of items of the model that are held and not
// started.
func (c *Controller) waiting(model string) int {
	n := 0
	for _, r := range c.held {
		if r.claim.Model == model {
			n += len(r.pending)
		}
	}
	return n
}

// read starts a poll if it is due, and returns when to look again. The function
// ask runs on another goroutine; what it returns runs on the controller's.
func (c *Controller) read(p *poll, now time.Time, ask func(context.Context, *batch.Signal) (found func(), err error)) time.Time {
	if p.running {
		return now.Add(c.Lease)
	}
	if now.Before(p.next) {
		return p.next
	}
	p.running = true
	p.next = now.Add(c.pollInterval())
	signal := p.signal
	c.async(func() func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		found, err := ask(ctx, &signal)
		return func() {
			p.running = false
			c.noteStore(err)
			if err == nil {
				p.signal = signal
				found()
			}
		}
	})
	return p.next
}

// pollWork looks for new chunks of the model and returns when to look again.
func (c *Controller) pollWork(model string, l *look, now time.Time) time.Time {
	return c.read(&l.work, now, func(ctx context.Context, signal *batch.Signal) (func(), error) {
		changed, err := c.Store.WorkChanged(ctx, model, signal)
		return func() {
			if changed {
				l.empty = false
				l.next = time.Time{}
			}
		}, err
	})
}

// claimed is the outcome of a claim.
type claimed struct {
	claim *batch.Claim
	items []batch.Item
	err   error
}

// claim claims the next chunk of the model and reads its items.
func (c *Controller) claim(model string, l *look) {
	c.claiming = true
	w := batch.Worker{Holder: c.Holder, Lease: c.Lease, SkipLapsed: c.recovering()}
	c.async(func() func() {
		out := c.claimNext(model, w)
		return func() {
			c.claiming = false
			c.claimed(l, out)
		}
	})
}

func (c *Controller) claimNext(model string, w batch.Worker) claimed {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	claim, err := c.Store.ClaimNext(ctx, model, w)
	if err != nil || claim == nil {
		return claimed{err: err}
	}
	var items []batch.Item
	for range inputTries {
		if items, err = c.Store.Input(ctx, &claim.Chunk); err == nil {
			return claimed{claim: claim, items: items}
		}
	}
	_ = c.Store.Release(ctx, claim)
	return claimed{err: err}
}

// claimed takes in a claim and decides when to search again.
func (c *Controller) claimed(l *look, out claimed) {
	now := time.Now()
	c.noteStore(out.err)
	switch {
	case out.claim != nil:
		l.lost = 0
		l.next = time.Time{}
		c.held = append(c.held, newChunkRun(c, out.claim, out.items))
	case batch.Contended(out.err):
		l.next = now.Add(jitter(min(maxContended, minContended<<min(l.lost, 10))))
		l.lost++
	case out.err != nil:
		l.next = c.retryStore()
	default:
		l.empty = true
		l.next = now.Add(jitter(c.Lease / 2)) // leases may lapse
	}
}

// pollCancelled looks for cancelled jobs while chunks are held, and returns
// when to look again.
func (c *Controller) pollCancelled(now time.Time) time.Time {
	if len(c.held) == 0 {
		return now.Add(c.Lease)
	}
	return c.read(&c.cancels, now, func(ctx context.Context, signal *batch.Signal) (func(), error) {
		jobs, err := c.Store.Cancelled(ctx, signal)
		return func() { c.cancelJobs(jobs) }, err
	})
}

func (c *Controller) cancelJobs(jobs []string) {
	for _, r := range slices.Clone(c.held) {
		if slices.Contains(jobs, r.claim.Job) {
			r.lost(batch.ErrCancelled)
		}
	}
}

// serves tells whether the upstream is an engine that serves the model.
func serves(up *blackboard.Upstream, model string) bool {
	return slices.Contains(up.Spec.Models, model)
}
