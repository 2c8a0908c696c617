package report

import (
	"time"

	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// objectiveKey tells objectives apart. Gateways that have different versions
// of an objective in force are not summed.
type objectiveKey struct {
	name, workspace, route, kind string
	threshold                    time.Duration
	target                       float64
}

func keyOf(o *gateway.ObjectiveCounts) objectiveKey {
	return objectiveKey{o.Name, o.Workspace, o.Route, o.Kind, o.Threshold, o.Target}
}

// sum adds up the counters of gateways.
type sum struct {
	report Report
	order  []objectiveKey
	counts map[objectiveKey]map[time.Duration]burn.Count
}

func newSum() *sum {
	return &sum{
		report: Report{At: time.Now().UTC(), Objectives: []Objective{}},
		counts: make(map[objectiveKey]map[time.Duration]burn.Count),
	}
}

func (s *sum) add(answer *gateway.BurnResponse) {
	s.report.Gateways++
	if answer.Since.After(s.report.Since) {
		s.report.Since = answer.Since.UTC()
	}
	for i := range answer.Objectives {
		o := &answer.Objectives[i]
		key := keyOf(o)
		counts := s.counts[key]
		if counts == nil {
			counts = make(map[time.Duration]burn.Count)
			s.counts[key] = counts
			s.order = append(s.order, key)
		}
		for _, w := range o.Windows {
			counts[w.Window] = counts[w.Window].Add(w.Count)
		}
	}
}

func (s *sum) finish() *Report {
	for _, key := range s.order {
		s.report.Objectives = append(s.report.Objectives, newObjective(key, s.counts[key]))
	}
	return &s.report
}

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
