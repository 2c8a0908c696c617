package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// Objectives is an immutable set of the service-level objectives with their event
// counters.
type Objectives struct {
	// All lists the objectives in the order of the inventory.
	All []*Objective
	// CountedSince is when this process began to count events.
	CountedSince time.Time

	allWorkspaces []*Objective // objectives that are not limited to a workspace
	byWorkspace   map[string][]*Objective
}

// NewObjectives returns the set of the given objectives, whose events are counted
// since the given time.
func NewObjectives(all []*Objective, since time.Time) *Objectives {
	o := &Objectives{All: all, CountedSince: since, byWorkspace: make(map[string][]*Objective)}
	for _, objective := range all {
		if w := objective.Spec.Workspace; w != "" {
			o.byWorkspace[w] = append(o.byWorkspace[w], objective)
			continue
		}
		o.allWorkspaces = append(o.allWorkspaces, objective)
	}
	return o
}

// Each calls fn for each objective that covers a request of the workspace to the
// model or route. The workspace is empty for requests to open routes.
func (o *Objectives) Each(workspace, route string, fn func(*Objective)) {
	for _, objective := range o.allWorkspaces {
		if objective.covers(route) {
			fn(objective)
		}
	}
	if workspace == "" {
		return
	}
	for _, objective := range o.byWorkspace[workspace] {
		if objective.covers(route) {
			fn(objective)
		}
	}
}

// Objective is one service-level objective with its event counter.
type Objective struct {
	// Spec is the objective's entry in the inventory.
	Spec *fleet.Objective
	// Events counts the objective's events. It is shared by all snapshots.
	Events *Events
	// WindowStarts maps the length of each window to the cumulative count at the
	// window's start. It is immutable.
	WindowStarts map[time.Duration]burn.Count
}

// covers reports whether the objective applies to the model or route.
func (o *Objective) covers(route string) bool {
	return o.Spec.Route == "" || o.Spec.Route == route
}

// Events counts good events and all events. Its methods may be called from
// several goroutines. Add increments total before good and Count reads good
// before total, so that good never exceeds total.
type Events struct {
	good, total atomic.Uint64
}

// Add adds total events, of which good were good.
func (e *Events) Add(good, total uint64) {
	e.total.Add(total)
	e.good.Add(good)
}

// Count returns the cumulative count. Good never exceeds Total.
func (e *Events) Count() burn.Count {
	good := e.good.Load()
	return burn.Count{Good: good, Total: e.total.Load()}
}
