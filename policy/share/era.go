package share

import "github.com/baobablanding/baobablanding/fleet"

// Era is the division of the workspaces' rates under one version of the
// configuration.
type Era struct {
	// Version is the version of the configuration.
	Version uint64
	// Gateways holds the peer addresses of the inventory's gateways.
	Gateways []string

	workspaces map[string]Amount
}

// NewEra returns the era of the configuration.
func NewEra(view *fleet.View) Era {
	e := Era{Version: view.Version, workspaces: make(map[string]Amount, len(view.Inventory.Workspaces))}
	for _, g := range view.Inventory.Gateways {
		e.Gateways = append(e.Gateways, g.Peer)
	}
	for _, w := range view.Inventory.Workspaces {
		e.workspaces[w.Name] = Amount{Rate: w.Rate, Burst: float64(w.Burst)}
	}
	return e
}

// Has tells whether the gateway belongs to the era's inventory.
func (e Era) Has(gateway string) bool {
	for _, g := range e.Gateways {
		if g == gateway {
			return true
		}
	}
	return false
}

// Base returns the gateway's share of the workspace in this era.
func (e Era) Base(workspace, gateway string) Amount {
	if !e.Has(gateway) {
		return Amount{}
	}
	return e.workspaces[workspace].Scale(1 / float64(len(e.Gateways)))
}

// Eras lists the eras that some gateway may still work by, oldest first.
type Eras []Era

// Base returns the gateway's share of the workspace: the smallest of all eras
// that may still be in use.
func (es Eras) Base(workspace, gateway string) Amount {
	if len(es) == 0 {
		return Amount{}
	}
	base := es[0].Base(workspace, gateway)
	for _, e := range es[1:] {
		base = base.Min(e.Base(workspace, gateway))
	}
	return base
}

// Settle drops the eras that no gateway uses any more. The function tells the
// version that a gateway has reported, or that it has certainly stopped.
func (es Eras) Settle(reported func(gateway string) (version uint64, stopped bool)) Eras {
	for i := len(es) - 1; i > 0; i-- {
		if es[:i+1].reached(es[i].Version, reported) {
			return es[i:]
		}
	}
	return es
}

// reached tells whether each gateway of the eras works by the version.
func (es Eras) reached(version uint64, reported func(string) (uint64, bool)) bool {
	for _, e := range es {
		for _, g := range e.Gateways {
			if v, stopped := reported(g); v < version && !stopped {
				return false
			}
		}
	}
	return true
}

// Settled returns the oldest version that some gateway may still work by.
func (es Eras) Settled() uint64 {
	if len(es) == 0 {
		return 0
	}
	return es[0].Version
}
