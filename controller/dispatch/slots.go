package dispatch

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
)

// boardSlots counts an upstream's slots as idle if this process has no request for them in
// flight.
type boardSlots struct{ board *blackboard.Board }

// Idle implements Slots. It returns 0 for an unknown upstream.
func (s boardSlots) Idle(upstream string) int {
	up := s.board.Upstreams.Value().ByName(upstream)
	if up == nil {
		return 0
	}
	return up.Spec.Slots - int(up.Load.InFlight.Load())
}

// Changed implements Slots. Changes are not reported.
func (boardSlots) Changed() <-chan struct{} { return nil }

// unlimited is a BatchRate without a limit.
type unlimited struct{}

// Take implements BatchRate.
func (unlimited) Take(_ context.Context, _ string, n int) (int, time.Duration) { return n, 0 }

// acceptsBatch reports whether the upstream is an engine that may get batch items now. A
// cold engine may not.
func acceptsBatch(up *blackboard.Upstream) bool {
	return up.Spec.Kind == fleet.KindEngine && up.IsUsable() && up.State == fleet.StateReady
}

// freeSlots returns how many more items may be started at the upstream now. It may be
// negative.
func (c *Controller) freeSlots(up *blackboard.Upstream, now time.Time) int {
	name := up.Spec.Name
	if !acceptsBatch(up) || now.Before(c.blockedUntil[name]) {
		return 0
	}
	return min(c.Slots.Idle(name), up.Spec.Slots-c.running[name])
}

// startBudget is the number of starts that the BatchRate granted a workspace for the
// current call of fill.
type startBudget struct {
	starts     int
	requesting bool      // a call of the BatchRate is in flight
	notBefore  time.Time // when the BatchRate may be called again
}

// maxStartsPerTake is the largest number of starts that one call of the BatchRate requests.
const maxStartsPerTake = 256

// requestStarts requests n starts for the workspace, unless a request is in flight or the
// BatchRate granted nothing a short time ago.
func (c *Controller) requestStarts(workspace string, n int, now time.Time) {
	b := c.budgetOf(workspace)
	if b.requesting || n <= 0 || now.Before(b.notBefore) {
		return
	}
	b.requesting = true
	c.async(func() func() {
		granted, retryAfter := c.BatchRate.Take(c.ctx, workspace, min(n, maxStartsPerTake))
		return func() {
			b.requesting = false
			b.starts = granted
			if granted == 0 {
				b.notBefore = time.Now().Add(max(retryAfter, retryDelay))
			}
		}
	})
}

// budgetOf returns the budget of the workspace, which is added if it is new.
func (c *Controller) budgetOf(workspace string) *startBudget {
	b := c.budgets[workspace]
	if b == nil {
		b = new(startBudget)
		c.budgets[workspace] = b
	}
	return b
}

// resetBudgets drops the granted starts that were not used: used later, they could exceed
// the workspace's rate.
func (c *Controller) resetBudgets() {
	for _, b := range c.budgets {
		b.starts = 0
	}
}
