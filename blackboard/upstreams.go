package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Upstreams is an immutable set of the upstreams that a process knows.
type Upstreams struct {
	// All lists the upstreams. Groups refer to them by their index.
	All []*Upstream

	byName   map[string]*Upstream
	topology *Topology
}

// NewUpstreams returns the set of the given upstreams without groups, as agents
// use it.
func NewUpstreams(all []*Upstream) *Upstreams {
	return NewGroupedUpstreams(all, new(Topology))
}

// NewGroupedUpstreams returns the set of the given upstreams with the groups of
// the topology. The upstreams must be in the order of the inventory from which
// the topology was made.
func NewGroupedUpstreams(all []*Upstream, topology *Topology) *Upstreams {
	u := &Upstreams{All: all, byName: make(map[string]*Upstream, len(all)), topology: topology}
	for _, up := range all {
		u.byName[up.Spec.Name] = up
	}
	return u
}

// ByName returns the named upstream, or nil.
func (u *Upstreams) ByName(name string) *Upstream { return u.byName[name] }

// GroupForModel returns the group of the engines that serve the model, or nil.
func (u *Upstreams) GroupForModel(model string) *Group { return u.topology.byModel[model] }

// GroupForRoute returns the group of the plain services of the named route, or nil.
func (u *Upstreams) GroupForRoute(route string) *Group { return u.topology.byRoute[route] }

// GroupForUpstream returns the group that consists of the named upstream alone, or nil.
func (u *Upstreams) GroupForUpstream(name string) *Group { return u.topology.byUpstream[name] }

// Upstream is what a process knows of one upstream. All fields but those behind
// Load are immutable once published.
type Upstream struct {
	// Spec is the upstream's entry in the inventory.
	Spec *fleet.Upstream
	// DataCentre is where the upstream runs.
	DataCentre string
	// AgentAddress is the IP address and port of the agent that forwards requests to
	// the upstream. It is set on gateways only.
	AgentAddress string
	// State is the state that the agent reported last.
	State fleet.UpstreamState
	// RampRestarts counts, since this process started, how often the upstream began
	// to take work, changed between cold and ready, or was found ready after a
	// sign of a cold start. It is kept on agents only.
	RampRestarts int64
	// ProbedColdSigns is the value that Load.ColdSigns had before the last probe. It
	// is kept on agents only.
	ProbedColdSigns int64
	// TakenOut reports whether the upstream's data centre is taken out.
	TakenOut bool
	// Connected reports whether this process is connected to the agent. It is
	// always true on agents.
	Connected bool
	// AgentVersion is the version of the configuration in force on the agent. It
	// is set on gateways only.
	AgentVersion uint64
	// Load holds counters that are shared by all snapshots of the upstream.
	Load *UpstreamLoad
}

// IsUsable reports whether the upstream may get new work.
func (u *Upstream) IsUsable() bool {
	return u.Connected && !u.TakenOut && (u.State == fleet.StateReady || u.State == fleet.StateCold)
}

// CurrentState returns the state of the upstream. A ready upstream counts as cold
// from a sign of a cold start until a later probe has checked it.
func (u *Upstream) CurrentState() fleet.UpstreamState {
	if u.State == fleet.StateReady && u.Load.ColdSigns.Load() != u.ProbedColdSigns {
		return fleet.StateCold
	}
	return u.State
}

// UpstreamLoad counts the work of one upstream. Its fields are atomics because they
// are written on the request path.
type UpstreamLoad struct {
	// InFlight is the number of requests that this process has at the upstream.
	InFlight atomic.Int64
	// Report is the last load that the agent reported, or nil.
	Report atomic.Pointer[LoadReport]
	// RejectedUntil is the Unix time, in ns since 1970, until which the upstream is
	// the last choice because its agent rejected a request. It is kept on gateways
	// only.
	RejectedUntil atomic.Int64
	// ColdSigns counts the signs of a cold start that the upstream's responses
	// showed. It is kept on agents only.
	ColdSigns atomic.Int64
}

// LoadReport is the load of an upstream as its agent reported it to a gateway.
type LoadReport struct {
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Time
	// InFlight is the number of requests at the upstream from all gateways.
	InFlight int
	// Queued is the number of online requests that wait at the agent.
	Queued int
	// Limit is the number of requests that the agent lets through at once.
	Limit int
	// OwnInFlight is the number of this gateway's requests at the upstream when
	// the report arrived.
	OwnInFlight int64
}
