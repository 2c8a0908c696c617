package dispatch

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// retryDelay is how long an upstream that refused an item is left alone.
const retryDelay = 50 * time.Millisecond

// fill starts items at every idle upstream and returns when to try again.
func (c *Controller) fill(now time.Time) time.Time {
	next := now.Add(c.Lease)
	for _, up := range c.board.Upstreams.Value().All {
		if blocked := c.blocked[up.Spec.Name]; now.Before(blocked) && len(c.held) > 0 {
			next = earlier(next, blocked)
			continue
		}
		if len(c.held) > 0 && c.Slots.Changed() == nil {
			next = earlier(next, now.Add(retryDelay))
		}
		for n := c.free(up, now); n > 0; n-- {
			if !c.startAt(up, n, now) {
				break
			}
		}
	}
	c.expireGrants()
	for _, r := range c.held {
		next = earlier(next, r.nextStart(now))
	}
	return next
}

// startAt starts one item at the upstream, which has the given number of free
// slots, and returns whether it did.
func (c *Controller) startAt(up *blackboard.Upstream, free int, now time.Time) bool {
	if owner := c.alone[up.Spec.Name]; owner != nil {
		return c.startAlone(owner, up, now)
	}
	for _, r := range c.held {
		if !serves(up, r.claim.Model) || !r.mayStart(now) {
			continue
		}
		if r.wantsAlone(now) {
			c.alone[up.Spec.Name] = r
			return c.startAlone(r, up, now)
		}
		index, ok := r.nextPending(now)
		if !ok || !c.allowed(r, free, now) {
			continue
		}
		r.start(index, up)
		return true
	}
	return false
}

// startAlone starts an item that runs alone once the upstream is free of other
// items from here.
func (c *Controller) startAlone(r *chunkRun, up *blackboard.Upstream, now time.Time) bool {
	if c.running[up.Spec.Name] > 0 || !r.mayStart(now) || !r.wantsAlone(now) || !c.allowed(r, 1, now) {
		return false
	}
	r.startAlone(up)
	return true
}

// allowed takes one start of the chunk's workspace, or asks for more.
func (c *Controller) allowed(r *chunkRun, free int, now time.Time) bool {
	workspace := r.claim.JobRecord.Workspace
	g := c.grantOf(workspace)
	if g.starts == 0 {
		c.ask(workspace, min(free, len(r.pending)+len(r.suspects)), now)
		return false
	}
	g.starts--
	return true
}

// careful returns a held chunk whose items run one by one, or nil.
func (c *Controller) careful() *chunkRun {
	for _, r := range c.held {
		if r.careful {
			return r
		}
	}
	return nil
}
