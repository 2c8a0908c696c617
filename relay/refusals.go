package relay

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
)

// Reasons of refusals in metrics, beside those of package admission.
const (
	reasonRate     = "rate"         // told a time at which a token is expected
	reasonRateLate = "rate_late"    // no token is expected while the caller comes back
	reasonFull     = "engines_full" // refused at once, as it does not wait
	reasonTimeout  = "wait_timeout" // no place became free as predicted
)

// maxListedWorkspaces bounds the workspaces that RefusalCollector lists.
const maxListedWorkspaces = 10

// RefusalCollector is a prometheus.Collector of the refusals of the workspaces that have the
// most on this daemon.
type RefusalCollector struct {
	board *blackboard.EntryBoard
	desc  *prometheus.Desc
}

// NewRefusalCollector returns a collector of what the board counts.
func NewRefusalCollector(board *blackboard.EntryBoard) *RefusalCollector {
	return &RefusalCollector{board: board, desc: prometheus.NewDesc("baobab_relay_workspace_refusals_total",
		"Requests refused by the rate or for want of a place, of the ten workspaces with the most.", []string{"workspace", "cause"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *RefusalCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// workspaceRefusals are the refusals of one workspace.
type workspaceRefusals struct {
	name        string
	rate, place int64
}

// Collect implements prometheus.Collector.
func (c *RefusalCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, w := range mostRefused(c.board.RateLimiters.Value()) {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(w.rate), w.name, "rate")
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(w.place), w.name, "place")
	}
}

// mostRefused returns the workspaces with the most refusals, at most maxListedWorkspaces.
func mostRefused(limiters *blackboard.RateLimiters) []workspaceRefusals {
	var all []workspaceRefusals
	for name, l := range limiters.ByWorkspace {
		if w := (workspaceRefusals{name, l.Refused.Load(), l.RefusedPlace.Load()}); w.rate+w.place > 0 {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b workspaceRefusals) int {
		return cmp.Or(cmp.Compare(b.rate+b.place, a.rate+a.place), cmp.Compare(a.name, b.name))
	})
	return all[:min(len(all), maxListedWorkspaces)]
}
