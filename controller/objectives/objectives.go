// Package objectives publishes the service-level objectives on a gateway's board, with
// their event counters and the counts at the start of each burn-rate window.
package objectives

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// Controller samples the counters of the objectives, and is the only writer of the
// objectives on the board. Its fields belong to the goroutine of Run.
type Controller struct {
	board    *blackboard.Board
	since    time.Time // when counting began
	counters map[fleet.Objective]*counter
}

// counter counts the events of one objective. The events are added on the path of a
// request; the history belongs to the goroutine of Run.
type counter struct {
	events  blackboard.Events
	history *burn.History
}

// New returns a Controller whose counts begin now.
func New(board *blackboard.Board) *Controller {
	return &Controller{board: board, since: time.Now(), counters: make(map[fleet.Objective]*counter)}
}

// Run publishes the objectives, at regular intervals and on each change of the
// configuration, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(burn.SampleInterval)
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

// publish samples each counter and publishes the objectives. An objective whose entry in
// the inventory changed starts from zero; one that was removed is dropped.
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
		all = append(all, &blackboard.Objective{Spec: spec, Events: &k.events, WindowStarts: k.windowStarts(now)})
	}
	c.counters = kept
	c.board.Objectives.Publish(blackboard.NewObjectives(all, c.since))
}

// windowStarts returns the cumulative count at the start of each window that ends now.
func (k *counter) windowStarts(now time.Time) map[time.Duration]burn.Count {
	count := k.events.Count()
	windowStarts := make(map[time.Duration]burn.Count)
	for _, w := range burn.Windows() {
		windowStarts[w] = k.history.CountAtStart(now, w, count)
	}
	return windowStarts
}
