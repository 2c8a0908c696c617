package gateway

import (
	"net/http"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// BurnPath is where a gateway shows the counters of its objectives.
const BurnPath = "/admin/burn"

// BurnResponse holds the counters of one gateway.
type BurnResponse struct {
	// Gateway is the gateway's name.
	Gateway string `json:"gateway"`
	// Since is when the gateway's process began to count.
	Since time.Time `json:"since"`
	// At is when the counters were read.
	At time.Time `json:"at"`
	// Objectives lists the objectives in the order of the inventory.
	Objectives []ObjectiveCounts `json:"objectives"`
}

// ObjectiveCounts holds the counters of one objective.
type ObjectiveCounts struct {
	// Name, Workspace, Route, Kind, Threshold and Target are the objective's
	// entry in the inventory.
	Name      string        `json:"name"`
	Workspace string        `json:"workspace,omitempty"`
	Route     string        `json:"route,omitempty"`
	Kind      string        `json:"kind"`
	Threshold time.Duration `json:"threshold,omitempty"`
	Target    float64       `json:"target"`
	// Windows holds the counts over each window.
	Windows []WindowCount `json:"windows"`
}

// WindowCount is the count over a window that ends now.
type WindowCount struct {
	// Window is the length of the window.
	Window time.Duration `json:"window"`
	burn.Count
}

func (g *Gateway) showBurn(w http.ResponseWriter, _ *http.Request, _ string) error {
	objectives := g.board.Objectives.Value()
	response := BurnResponse{
		Gateway:    g.settings.Name,
		Since:      objectives.CountedSince,
		At:         time.Now(),
		Objectives: []ObjectiveCounts{},
	}
	for _, o := range objectives.All {
		response.Objectives = append(response.Objectives, objectiveCounts(o))
	}
	writeJSON(w, http.StatusOK, response)
	return nil
}

func objectiveCounts(o *blackboard.Objective) ObjectiveCounts {
	counts := ObjectiveCounts{
		Name: o.Spec.Name, Workspace: o.Spec.Workspace, Route: o.Spec.Route,
		Kind: o.Spec.Kind, Threshold: o.Spec.Threshold, Target: o.Spec.Target,
	}
	now := o.Events.Count()
	for _, window := range burn.Windows() {
		counts.Windows = append(counts.Windows, WindowCount{Window: window, Count: now.Sub(o.WindowStarts[window])})
	}
	return counts
}
