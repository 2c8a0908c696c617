package gateway

import (
	"net/http"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// BurnPath is the path at which a gateway shows the event counters of its service-level
// objectives.
const BurnPath = "/admin/burn"

// BurnResponse holds the event counters of one gateway's objectives.
type BurnResponse struct {
	// Gateway is the gateway's name.
	Gateway string `json:"gateway"`
	// CountedSince is when the gateway's process began to count events.
	CountedSince time.Time `json:"since"`
	// ReadAt is when the counters were read.
	ReadAt time.Time `json:"at"`
	// Objectives lists the objectives in the order of the inventory.
	Objectives []ObjectiveCounts `json:"objectives"`
}

// ObjectiveCounts holds the event counts of one objective.
type ObjectiveCounts struct {
	// Name, Workspace, Route, Kind, Threshold and Target repeat the objective's entry in
	// the inventory. The threshold is written in nanoseconds.
	Name      string        `json:"name"`
	Workspace string        `json:"workspace,omitempty"`
	Route     string        `json:"route,omitempty"`
	Kind      string        `json:"kind"`
	Threshold time.Duration `json:"threshold,omitempty"`
	Target    float64       `json:"target"`
	// Windows holds the counts over each window that burn rates are measured over.
	Windows []WindowCount `json:"windows"`
}

// WindowCount is the count of events in the window that ends when the counters are read.
type WindowCount struct {
	// Window is the length of the window, written in nanoseconds.
	Window time.Duration `json:"window"`
	burn.Count
}

func (g *Gateway) showBurn(w http.ResponseWriter, _ *http.Request, _ string) error {
	objectives := g.board.Objectives.Value()
	response := BurnResponse{
		Gateway:      g.settings.Name,
		CountedSince: objectives.CountedSince,
		ReadAt:       time.Now(),
		Objectives:   []ObjectiveCounts{},
	}
	for _, o := range objectives.All {
		response.Objectives = append(response.Objectives, objectiveCounts(o))
	}
	writeJSON(w, http.StatusOK, response)
	return nil
}

// objectiveCounts returns the counts of the objective over each window, by the difference
// between the cumulative count now and at the window's start.
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
