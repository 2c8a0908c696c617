// Package burn computes how fast service-level objectives use up their error
// budgets. An objective with target 0.95 has a budget of 5 bad events in 100; a
// burn rate of 1 uses up exactly the budget.
package burn

import (
	"slices"
	"time"
)

// Count counts the events of an objective.
type Count struct {
	// Good counts the events that met the objective.
	Good uint64 `json:"good"`
	// Total counts all events.
	Total uint64 `json:"total"`
}

// Add returns the sum of both counts.
func (c Count) Add(o Count) Count { return Count{c.Good + o.Good, c.Total + o.Total} }

// Sub returns what was counted since the earlier count.
func (c Count) Sub(earlier Count) Count {
	return Count{c.Good - earlier.Good, c.Total - earlier.Total}
}

// Rate returns the burn rate of the counted events: the fraction of bad events
// divided by the fraction that the target allows. It is 0 without events.
func Rate(c Count, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	return bad / (1 - target)
}

// Pair is a short and a long window that are watched together. The long window
// shows that the burn is significant, the short one that it is still going on.
type Pair struct {
	// Short and Long are the lengths of the windows.
	Short, Long time.Duration
	// Threshold is the burn rate from which the pair alerts.
	Threshold float64
}

const day = 24 * time.Hour

// WindowPairs returns the watched pairs, the fastest burn first. The thresholds are
// the burn rates at which the long window uses up 2, 5, 10 and 10 per cent of the
// error budget of 30 days.
func WindowPairs() []Pair {
	return []Pair{
		{5 * time.Minute, time.Hour, 14.4},
		{30 * time.Minute, 6 * time.Hour, 6},
		{2 * time.Hour, day, 3},
		{6 * time.Hour, 3 * day, 1},
	}
}

// Windows returns the windows of all pairs, the shortest first.
func Windows() []time.Duration {
	var list []time.Duration
	for _, p := range WindowPairs() {
		list = append(list, p.Short, p.Long)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// State is the burn of an objective over one pair of windows.
type State struct {
	Pair
	// ShortRate and LongRate are the burn rates over the windows.
	ShortRate, LongRate float64
	// Alert reports whether both rates reach the threshold.
	Alert bool
}

// Evaluate returns the state of each pair from the counts over the windows.
func Evaluate(counts map[time.Duration]Count, target float64) []State {
	states := make([]State, 0, len(WindowPairs()))
	for _, p := range WindowPairs() {
		s := State{Pair: p, ShortRate: Rate(counts[p.Short], target), LongRate: Rate(counts[p.Long], target)}
		s.Alert = s.ShortRate >= p.Threshold && s.LongRate >= p.Threshold
		states = append(states, s)
	}
	return states
}
