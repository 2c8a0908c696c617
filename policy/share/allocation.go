package share

import "github.com/baobablanding/baobablanding/fleet"

// Allocation divides the rates of all workspaces evenly among the gateways of one
// version of the configuration.
type Allocation struct {
	// Version is the version of the configuration.
	Version uint64
	// Gateways holds the peer addresses of the inventory's gateways.
	Gateways []string

	workspaces map[string]Amount // whole rate and burst by name
}

// NewAllocation returns the allocation of the configuration.
func NewAllocation(view *fleet.View) Allocation {
	a := Allocation{Version: view.Version, workspaces: make(map[string]Amount, len(view.Inventory.Workspaces))}
	for _, g := range view.Inventory.Gateways {
		a.Gateways = append(a.Gateways, g.PeerAddress)
	}
	for _, w := range view.Inventory.Workspaces {
		a.workspaces[w.Name] = Amount{Rate: w.Rate, Burst: float64(w.Burst)}
	}
	return a
}

// Has reports whether the gateway belongs to the allocation's inventory.
func (a Allocation) Has(gateway string) bool {
	for _, g := range a.Gateways {
		if g == gateway {
			return true
		}
	}
	return false
}

// Base returns the gateway's share of the workspace, or zero if the inventory
// lacks the gateway or the workspace.
func (a Allocation) Base(workspace, gateway string) Amount {
	if !a.Has(gateway) {
		return Amount{}
	}
	return a.workspaces[workspace].Scale(1 / float64(len(a.Gateways)))
}

// Allocations lists the allocations that some gateway may still apply, oldest first.
type Allocations []Allocation

// Base returns the gateway's share of the workspace: the smallest one of all
// allocations, so that gateways that apply different versions together do not
// exceed the rate. It is zero if the list is empty.
func (as Allocations) Base(workspace, gateway string) Amount {
	if len(as) == 0 {
		return Amount{}
	}
	base := as[0].Base(workspace, gateway)
	for _, a := range as[1:] {
		base = base.Min(a.Base(workspace, gateway))
	}
	return base
}

// DropUnused returns the list without the allocations that no gateway applies any
// more. The function reported returns the version that a gateway has reported and
// whether the gateway has stopped.
func (as Allocations) DropUnused(reported func(gateway string) (version uint64, stopped bool)) Allocations {
	for i := len(as) - 1; i > 0; i-- {
		if as[:i+1].allUse(as[i].Version, reported) {
			return as[i:]
		}
	}
	return as
}

// allUse reports whether each gateway of the allocations applies the version or a
// newer one, or has stopped.
func (as Allocations) allUse(version uint64, reported func(string) (uint64, bool)) bool {
	for _, a := range as {
		for _, g := range a.Gateways {
			if v, stopped := reported(g); v < version && !stopped {
				return false
			}
		}
	}
	return true
}

// OldestVersion returns the oldest version that some gateway may still apply, or 0 if
// the list is empty.
func (as Allocations) OldestVersion() uint64 {
	if len(as) == 0 {
		return 0
	}
	return as[0].Version
}
