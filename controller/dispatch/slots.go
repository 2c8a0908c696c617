package dispatch

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
)

// boardSlots goes by the in-flight counts on the board.
type boardSlots struct{ board *blackboard.Board }

// Idle implements Slots.
func (s boardSlots) Idle(upstream string) int {
	up := s.board.Upstreams.Value().ByName(upstream)
	if up == nil {
		return 0
	}
	return up.Spec.Slots - int(up.Load.InFlight.Load())
}

// Changed implements Slots.
func (boardSlots) Changed() <-chan struct{} { return nil }

// unlimited grants every start.
type unlimited struct{}

// Take implements Allowance.
func (unlimited) Take(_ context.Context, _ string, n int) (int, time.Duration) { return n, 0 }

// usable tells whether the upstream takes batch items.
func usable(up *blackboard.Upstream) bool {
	return up.Spec.Kind == fleet.Engine && up.Usable() && up.State == fleet.Ready
}

// free returns how many more items may be started at the upstream now.
func (c *Controller) free(up *blackboard.Upstream, now time.Time) int {
	name := up.Spec.Name
	if !usable(up) || now.Before(c.blocked[name]) {
		return 0
	}
	return min(c.Slots.Idle(name), up.Spec.Slots-c.running[name])
}

// grant is what the allowance of a workspace has granted for the current step.
type grant struct {
	starts    int
	asking    bool
	notBefore time.Time
}

// maxAsk is the largest number of starts that are drawn at once.
const maxAsk = 256

// ask draws starts for the workspace unless that runs already.
func (c *Controller) ask(workspace string, n int, now time.Time) {
	g := c.grantOf(workspace)
	if g.asking || n <= 0 || now.Before(g.notBefore) {
		return
	}
	g.asking = true
	c.async(func() func() {
		granted, retryAfter := c.Allowance.Take(c.ctx, workspace, min(n, maxAsk))
		return func() {
			g.asking = false
			g.starts = granted
			if granted == 0 {
				g.notBefore = time.Now().Add(max(retryAfter, retryDelay))
			}
		}
	})
}

func (c *Controller) grantOf(workspace string) *grant {
	g := c.allowance[workspace]
	if g == nil {
		g = new(grant)
		c.allowance[workspace] = g
	}
	return g
}

// expireGrants drops what was granted and not started: a start that is kept
// could later exceed the workspace's rate.
func (c *Controller) expireGrants() {
	for _, g := range c.allowance {
		g.starts = 0
	}
}
