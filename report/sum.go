package report

import (
	"time"

	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// objectiveKey identifies an objective. It holds the whole definition, so that counters
// of gateways with different versions of an objective in force are not summed.
type objectiveKey struct {
	name, workspace, route, kind string
	threshold                    time.Duration
	target                       float64
}

// keyOf returns the key of an objective that a gateway reported.
func keyOf(o *gateway.ObjectiveCounts) objectiveKey {
	return objectiveKey{o.Name, o.Workspace, o.Route, o.Kind, o.Threshold, o.Target}
}

// aggregator sums the counters of gateways into a report.
type aggregator struct {
	report Report
	keys   []objectiveKey
	counts map[objectiveKey]map[time.Duration]burn.Count
}

// newAggregator returns an aggregator whose report is empty and generated now.
func newAggregator() *aggregator {
	return &aggregator{
		report: Report{GeneratedAt: time.Now().UTC(), Objectives: []Objective{}},
		counts: make(map[objectiveKey]map[time.Duration]burn.Count),
	}
}

// add adds the counters of one gateway.
func (a *aggregator) add(response *gateway.BurnResponse) {
	a.report.Gateways++
	if response.CountedSince.After(a.report.Since) {
		a.report.Since = response.CountedSince.UTC()
	}
	for i := range response.Objectives {
		o := &response.Objectives[i]
		key := keyOf(o)
		counts := a.counts[key]
		if counts == nil {
			counts = make(map[time.Duration]burn.Count)
			a.counts[key] = counts
			a.keys = append(a.keys, key)
		}
		for _, w := range o.Windows {
			counts[w.Window] = counts[w.Window].Add(w.Count)
		}
	}
}

// finish returns the report of all counters that were added.
func (a *aggregator) finish() *Report {
	for _, key := range a.keys {
		a.report.Objectives = append(a.report.Objectives, newObjective(key, a.counts[key]))
	}
	return &a.report
}

// newObjective computes the burn of an objective from its counts by window.
func newObjective(key objectiveKey, counts map[time.Duration]burn.Count) Objective {
	o := Objective{
		Name: key.name, Workspace: key.workspace, Route: key.route,
		Kind: key.kind, Threshold: key.threshold, Target: key.target,
	}
	for _, w := range burn.Windows() {
		o.Windows = append(o.Windows, Window{Window: w, Count: counts[w], Burn: burn.Rate(counts[w], key.target)})
	}
	for _, state := range burn.Evaluate(counts, key.target) {
		o.Alert = o.Alert || state.Alert
		o.Pairs = append(o.Pairs, Pair{
			Short: state.Short, Long: state.Long, Threshold: state.Threshold,
			ShortBurn: state.ShortRate, LongBurn: state.LongRate, Alert: state.Alert,
		})
	}
	return o
}
