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
	// storeBackoff is the longest mean time to the next try after a failed store call.
	storeBackoff = time.Second
	// The mean delay after a claim that failed because other workers were faster doubles
	// from minContentionDelay to maxContentionDelay.
	minContentionDelay = 10 * time.Millisecond
	maxContentionDelay = time.Second
	// inputAttempts is the number of tries to read a claimed chunk's items before the
	// chunk is released.
	inputAttempts = 3

	// slotPollInterval is the time between polls for idle slots while no chunk can be
	// claimed and Slots does not report changes.
	slotPollInterval = 100 * time.Millisecond
)

// poll schedules the reads of one signal record in the store. At most one is in flight.
type poll struct {
	state    batch.PollState
	next     time.Time
	inFlight bool
}

// modelSearch is the state of the search for chunks of one model.
type modelSearch struct {
	workPoll  poll
	exhausted bool      // the last claim found no chunk and the signal record has not changed since
	next      time.Time // when to claim again
	conflicts int       // consecutive claims that failed because other workers were faster
}

// searchFor returns the search for chunks of the model, which is added if it is new.
func (c *Controller) searchFor(model string) *modelSearch {
	s := c.searches[model]
	if s == nil {
		s = new(modelSearch)
		c.searches[model] = s
	}
	return s
}

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// pollInterval returns the time to the next poll of a signal record. It grows with the
// number of agents, which bounds the load on the store.
func (c *Controller) pollInterval() time.Duration {
	agents := 1
	if view := c.board.Config.Value().View; view != nil {
		agents = len(view.Inventory.VMs)
	}
	return jitter(policy.PollInterval(agents))
}

// search claims one chunk of a model whose upstreams here have more usable slots than there
// are items waiting. It claims none while a claim is in flight, the bounds on held chunks
// are reached or a serial chunk is held. It returns when to call it again.
func (c *Controller) search(now time.Time) time.Time {
	next := now.Add(c.Lease)
	if c.Slots.Changed() == nil {
		next = now.Add(slotPollInterval)
	}
	if c.claiming || len(c.held) >= maxHeldChunks || c.heldBytes() >= maxHeldBytes || c.serial() != nil {
		return next
	}
	for _, model := range c.idleModels(now) {
		s := c.searchFor(model)
		if s.exhausted {
			at := c.pollWork(model, s, now)
			next = earlier(next, at)
		}
		if now.Before(s.next) {
			next = earlier(next, s.next)
			continue
		}
		c.claim(model, s)
		return next
	}
	return next
}

// earlier returns the earlier of both times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// idleModels returns, in random order, the models that have fewer items waiting here than
// slots that are idle or run batch items.
func (c *Controller) idleModels(now time.Time) []string {
	slots := make(map[string]int)
	for _, up := range c.board.Upstreams.Value().All {
		n := max(c.freeSlots(up, now), 0) + c.running[up.Spec.Name]
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

// waiting returns the number of pending items of the model in all held chunks.
func (c *Controller) waiting(model string) int {
	n := 0
	for _, r := range c.held {
		if r.claim.Model == model {
			n += len(r.pending)
		}
	}
	return n
}

// pollIfDue starts a poll if it is due, and returns when to call it again. The function
// fetch runs on another goroutine; if it returns no error, the function that it returned
// runs on the controller's.
func (c *Controller) pollIfDue(p *poll, now time.Time, fetch func(context.Context, *batch.PollState) (apply func(), err error)) time.Time {
	if p.inFlight {
		return now.Add(c.Lease)
	}
	if now.Before(p.next) {
		return p.next
	}
	p.inFlight = true
	p.next = now.Add(c.pollInterval())
	state := p.state
	c.async(func() func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		apply, err := fetch(ctx, &state)
		return func() {
			p.inFlight = false
			c.outage.observe(err, time.Now())
			if err == nil {
				p.state = state
				apply()
			}
		}
	})
	return p.next
}

// pollWork polls the signal record that changes when chunks of the model may have become
// claimable, and returns when to call it again.
func (c *Controller) pollWork(model string, s *modelSearch, now time.Time) time.Time {
	return c.pollIfDue(&s.workPoll, now, func(ctx context.Context, state *batch.PollState) (func(), error) {
		changed, err := c.Store.HasNewWork(ctx, model, state)
		return func() {
			if changed {
				s.exhausted = false
				s.next = time.Time{}
			}
		}, err
	})
}

// claimResult is the outcome of a claim. Without a claim and an error, no chunk was found.
type claimResult struct {
	claim *batch.Claim
	items []batch.Item
	err   error
}

// claim claims the next chunk of the model and reads its items, on another goroutine.
func (c *Controller) claim(model string, s *modelSearch) {
	c.claiming = true
	w := batch.Worker{Holder: c.Holder, Lease: c.Lease, NewChunksOnly: c.recovering()}
	c.async(func() func() {
		out := c.claimNext(model, w)
		return func() {
			c.claiming = false
			c.onClaimed(s, out)
		}
	})
}

// claimNext claims the next chunk of the model and reads its items. If they cannot be read,
// it releases the chunk.
func (c *Controller) claimNext(model string, w batch.Worker) claimResult {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	claim, err := c.Store.ClaimNext(ctx, model, w)
	if err != nil || claim == nil {
		return claimResult{err: err}
	}
	var items []batch.Item
	for range inputAttempts {
		if items, err = c.Store.Items(ctx, &claim.Chunk); err == nil {
			return claimResult{claim: claim, items: items}
		}
	}
	_ = c.Store.Release(ctx, claim)
	return claimResult{err: err}
}

// onClaimed handles the end of a claim and sets when to claim again.
func (c *Controller) onClaimed(s *modelSearch, out claimResult) {
	now := time.Now()
	c.outage.observe(out.err, now)
	switch {
	case out.claim != nil:
		s.conflicts = 0
		s.next = time.Time{}
		c.held = append(c.held, newChunkRun(c, out.claim, out.items))
	case batch.IsContended(out.err):
		s.next = now.Add(jitter(min(maxContentionDelay, minContentionDelay<<min(s.conflicts, 10))))
		s.conflicts++
	case out.err != nil:
		s.next = c.storeRetryTime()
	default:
		s.exhausted = true
		s.next = now.Add(jitter(c.Lease / 2)) // leases of other workers may expire
	}
}

// pollCancelled polls the cancelled jobs while chunks are held, and returns when to call it
// again.
func (c *Controller) pollCancelled(now time.Time) time.Time {
	if len(c.held) == 0 {
		return now.Add(c.Lease)
	}
	return c.pollIfDue(&c.cancelPoll, now, func(ctx context.Context, state *batch.PollState) (func(), error) {
		jobs, err := c.Store.RecentlyCancelled(ctx, state)
		return func() { c.cancelJobs(jobs) }, err
	})
}

// cancelJobs stops the work on the held chunks of the cancelled jobs.
func (c *Controller) cancelJobs(jobs []string) {
	for _, r := range slices.Clone(c.held) {
		if slices.Contains(jobs, r.claim.Job) {
			r.onClaimLost(batch.ErrCancelled)
		}
	}
}

// serves reports whether the upstream serves the model.
func serves(up *blackboard.Upstream, model string) bool {
	return slices.Contains(up.Spec.Models, model)
}
