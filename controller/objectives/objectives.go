// Package objectives keeps the counters of the service-level objectives and
// the beginnings of their windows on a gateway's board.
package objectives

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// Controller writes Board.Objectives.
type Controller struct {
	board    *blackboard.Board
	since    time.Time
	counters map[fleet.Objective]*counter
}

// counter is what is counted for one objective.
type counter struct {
	events  blackboard.Events
	history *burn.History
}

// New returns a Controller.
func New(board *blackboard.Board) *Controller {
	return &Controller{board: board, since: time.Now(), counters: make(map[fleet.Objective]*counter)}
}

// Run keeps the board up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(burn.FineStep)
	defer ticker.Stop()
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.publish(view, time.Now())
		}
		select {
		case <-ticker.C:
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// publish takes a sample of each counter and publishes the objectives. An
// objective that was changed begins anew; one that was removed is dropped.
func (c *Controller) publish(view *fleet.View, now time.Time) {
	specs := view.Inventory.Objectives
	kept := make(map[fleet.Objective]*counter, len(specs))
	all := make([]*blackboard.Objective, 0, len(specs))
	for i := range specs {
		spec := &specs[i]
		k := c.counters[*spec]
		if k == nil {
			k = &counter{history: burn.NewHistory(now)}
		}
		kept[*spec] = k
		k.history.Add(now, k.events.Count())
		all = append(all, &blackboard.Objective{Spec: spec, Events: &k.events, Starts: k.starts(now)})
	}
	c.counters = kept
	c.board.Objectives.Publish(blackboard.NewObjectives(all, c.since))
}

func (k *counter) starts(now time.Time) map[time.Duration]burn.Count {
	count := k.events.Count()
	starts := make(map[time.Duration]burn.Count)
	for _, w := range burn.Windows() {
		starts[w] = k.history.Start(now, w, count)
	}
	return starts
}
