// Package limits keeps a rate limiter for each workspace on the board.
package limits

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/admit"
)

// Controller splits each workspace's rate evenly over the gateways of the
// inventory. It writes Board.Limits.
type Controller struct {
	board *blackboard.Board
}

// New returns a Controller.
func New(board *blackboard.Board) *Controller { return &Controller{board: board} }

// Run follows the configuration until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.board.Limits.Publish(split(view, time.Now()))
		}
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// split returns limiters for one gateway's even share of every rate.
func split(view *fleet.View, now time.Time) *blackboard.Limits {
	spaces := view.Inventory.Workspaces
	parts := float64(len(view.Inventory.Gateways))
	limits := &blackboard.Limits{ByWorkspace: make(map[string]blackboard.Limiter, len(spaces))}
	for _, w := range spaces {
		limits.ByWorkspace[w.Name] = admit.NewBucket(w.Rate/parts, float64(w.Burst)/parts, now, false)
	}
	return limits
}
