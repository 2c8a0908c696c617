package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Upstreams is the set of upstreams that a process knows.
type Upstreams struct {
	// All lists the upstreams.
	All []*Upstream

	byName   map[string]*Upstream
	topology *Topology
}

// NewUpstreams returns the set of the given upstreams without groups.
func NewUpstreams(all []*Upstream) *Upstreams {
	return NewGroupedUpstreams(all, new(Topology))
}

// NewGroupedUpstreams returns the set of the given upstreams, which are in the
// order of the topology's inventory.
func NewGroupedUpstreams(all []*Upstream, topology *Topology) *Upstreams {
	u := &Upstreams{All: all, byName: make(map[string]*Upstream, len(all)), topology: topology}
	for _, up := range all {
		u.byName[up.Spec.Name] = up
	}
	return u
}

// ByName returns the named upstream, or nil.
func (u *Upstreams) ByName(name string) *Upstream { return u.byName[name] }

// ByModel returns the engines that serve the model, or nil.
func (u *Upstreams) ByModel(model string) *Group { return u.topology.byModel[model] }

// ByRoute returns the plain services of the named route, or nil.
func (u *Upstreams) ByRoute(route string) *Group { return u.topology.byRoute[route] }

// Only returns the group of just the named upstream, or nil.
func (u *Upstreams) Only(name string) *Group { return u.topology.single[name] }

// Upstream is what a process knows of one upstream.
type Upstream struct {
	// Spec is the upstream's entry in the inventory.
	Spec *fleet.Upstream
	// DataCentre is where the upstream runs.
	DataCentre string
	// Agent is the address of the agent that fronts the upstream.
	Agent string
	// State is the state that the agent reported last.
	State fleet.UpstreamState
	// ColdStarts counts how often the upstream began to take work, or was found
	// cold or warm again, since this process started.
	ColdStarts int64
	// CheckedSigns is the value that Load.ColdSigns had before the last probe.
	CheckedSigns int64
	// Out tells that the upstream's data centre is taken out.
	Out bool
	// Connected tells whether the agent is reached.
	Connected bool
	// AgentVersion is the version of the configuration that the agent has.
	AgentVersion uint64
	// Load holds counters that outlive this snapshot.
	Load *Load
}

// Usable tells whether the upstream may get new work.
func (u *Upstream) Usable() bool {
	return u.Connected && !u.Out && (u.State == fleet.Ready || u.State == fleet.Cold)
}

// CurrentState returns the state of the upstream. A sign that it turned cold
// counts until a later probe has checked it.
func (u *Upstream) CurrentState() fleet.UpstreamState {
	if u.State == fleet.Ready && u.Load.ColdSigns.Load() != u.CheckedSigns {
		return fleet.Cold
	}
	return u.State
}

// Load counts the work of one upstream. Its fields are written on the path of
// a request.
type Load struct {
	// InFlight is the number of requests that this process has at the
	// upstream.
	InFlight atomic.Int64
	// Report is the last load that the agent reported, or nil.
	Report atomic.Pointer[LoadReport]
	// RefusedUntil is the time, in ns since 1970, until which the agent's last
	// refusal holds. It is kept on gateways only.
	RefusedUntil atomic.Int64
	// ColdSigns counts the signs that the upstream turned cold. It is kept on
	// agents only.
	ColdSigns atomic.Int64
}

// LoadReport is a load as its agent reported it.
type LoadReport struct {
	// At is when the report arrived.
	At time.Time
	// InFlight is the number of requests at the upstream from all gateways.
	InFlight int
	// Queued is the number of online requests that wait at the agent.
	Queued int
	// Limit is the number of requests that the agent lets through at once.
	Limit int
	// OwnInFlight is the number of this process's requests when the report
	// arrived.
	OwnInFlight int64
}
