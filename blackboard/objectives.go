package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// Objectives holds the service-level objectives with their counters.
type Objectives struct {
	// All lists the objectives in the order of the inventory.
	All []*Objective
	// Since is when this process began to count.
	Since time.Time

	anyWorkspace []*Objective
	byWorkspace  map[string][]*Objective
}

// NewObjectives returns the set of the given objectives.
func NewObjectives(all []*Objective, since time.Time) *Objectives {
	o := &Objectives{All: all, Since: since, byWorkspace: make(map[string][]*Objective)}
	for _, one := range all {
		if w := one.Spec.Workspace; w != "" {
			o.byWorkspace[w] = append(o.byWorkspace[w], one)
			continue
		}
		o.anyWorkspace = append(o.anyWorkspace, one)
	}
	return o
}

// Each calls do for each objective that covers a request of the workspace on
// the model or route. The workspace is empty on open routes.
func (o *Objectives) Each(workspace, route string, do func(*Objective)) {
	for _, one := range o.anyWorkspace {
		if one.covers(route) {
			do(one)
		}
	}
	if workspace == "" {
		return
	}
	for _, one := range o.byWorkspace[workspace] {
		if one.covers(route) {
			do(one)
		}
	}
}

// Objective is one objective with its counter.
type Objective struct {
	// Spec is the objective's entry in the inventory.
	Spec *fleet.Objective
	// Events counts its events. It outlives this snapshot.
	Events *Events
	// Starts holds the cumulative count at the beginning of each window. It is
	// immutable.
	Starts map[time.Duration]burn.Count
}

func (o *Objective) covers(route string) bool {
	return o.Spec.Route == "" || o.Spec.Route == route
}

// Events counts events from several threads.
type Events struct {
	good, total atomic.Uint64
}

// Add counts events.
func (e *Events) Add(good, total uint64) {
	e.total.Add(total)
	e.good.Add(good)
}

// Count returns what was counted so far. Good never exceeds Total.
func (e *Events) Count() burn.Count {
	good := e.good.Load()
	return burn.Count{Good: good, Total: e.total.Load()}
}
