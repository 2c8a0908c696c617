package dispatch

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// retryDelay is how long an upstream that rejected or preempted an item gets no further
// item. It is also the least time between calls of a BatchRate that granted nothing, and
// the time between polls for free slots.
const retryDelay = 50 * time.Millisecond

// fill starts items on the free slots of every upstream and returns when to call it again.
func (c *Controller) fill(now time.Time) time.Time {
	next := now.Add(c.Lease)
	for _, up := range c.board.Upstreams.Value().All {
		if blockedUntil := c.blockedUntil[up.Spec.Name]; now.Before(blockedUntil) && len(c.held) > 0 {
			next = earlier(next, blockedUntil)
			continue
		}
		if len(c.held) > 0 && c.Slots.Changed() == nil {
			next = earlier(next, now.Add(retryDelay))
		}
		for n := c.freeSlots(up, now); n > 0; n-- {
			if !c.startNext(up, n, now) {
				break
			}
		}
	}
	c.resetBudgets()
	for _, r := range c.held {
		next = earlier(next, r.nextStart(now))
	}
	return next
}

// startNext starts one item at the upstream, which has the given number of free slots, and
// reports whether it did. An upstream is reserved for a chunk whose items must run alone
// until such an item has run there or the chunk is dropped.
func (c *Controller) startNext(up *blackboard.Upstream, free int, now time.Time) bool {
	if owner := c.reserved[up.Spec.Name]; owner != nil {
		return c.startIsolated(owner, up, now)
	}
	for _, r := range c.held {
		if !serves(up, r.claim.Model) || !r.canStart(now) {
			continue
		}
		if r.needsIsolation(now) {
			c.reserved[up.Spec.Name] = r
			return c.startIsolated(r, up, now)
		}
		index, ok := r.nextPending(now)
		if !ok || !c.takeStart(r, free, now) {
			continue
		}
		r.start(index, up)
		return true
	}
	return false
}

// startIsolated starts the chunk's next item that must run alone, and reports whether it
// did. It waits until no other item of this agent runs at the upstream.
func (c *Controller) startIsolated(r *chunkRun, up *blackboard.Upstream, now time.Time) bool {
	if c.running[up.Spec.Name] > 0 || !r.canStart(now) || !r.needsIsolation(now) || !c.takeStart(r, 1, now) {
		return false
	}
	r.startIsolated(up)
	return true
}

// takeStart takes one start from the budget of the chunk's workspace and reports whether
// it could. If the budget is empty, it requests at most as many starts as there are free
// slots.
func (c *Controller) takeStart(r *chunkRun, free int, now time.Time) bool {
	workspace := r.claim.JobRecord.Workspace
	b := c.budgetOf(workspace)
	if b.starts == 0 {
		c.requestStarts(workspace, min(free, len(r.pending)+len(r.isolated)), now)
		return false
	}
	b.starts--
	return true
}

// serial returns a held chunk whose items run one at a time, or nil.
func (c *Controller) serial() *chunkRun {
	for _, r := range c.held {
		if r.serial {
			return r
		}
	}
	return nil
}
