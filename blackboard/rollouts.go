package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// RolloutStage is the stage of the roll-out of an engine version. The numbers are sent in
// load reports and grow from one stage to the next.
type RolloutStage int

const (
	// RolloutIdle means that the engines of one version are used.
	RolloutIdle RolloutStage = iota
	// RolloutCanary means that a small share of the requests goes to few new engines.
	RolloutCanary
	// RolloutSwitch means that only the new engines are used.
	RolloutSwitch
)

// RolloutOrder is an operator's order to replace the engines of a service by those of
// another version.
type RolloutOrder struct {
	Service string
	// To is the version of the new engines.
	To string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Version is the version of the order's row. An order that is written again with the same
	// content while it is carried out keeps the first one.
	Version int64
	// NotBefore is a time of the store's clock at which the order was not written yet, or 0 if
	// the daemon has read no table without it. Such a daemon may have started after the order.
	NotBefore time.Duration
	// SeenAt is the time of the store's clock in the first read that shows the order.
	SeenAt time.Duration
}

// RolloutOrders is what one read of the operators' table shows.
type RolloutOrders struct {
	ByService map[string]*RolloutOrder
	// ReadAt is the instant at which the read was sent, or 0 before the first one.
	ReadAt clock.Instant
}

// Rollouts says which versions of the engines of each service this daemon may use.
type Rollouts struct {
	ByService map[string]*ServiceVersions
}

// ServiceVersions says which versions of the engines of one service may be used.
type ServiceVersions struct {
	Stage RolloutStage
	// Order is the version of the order's row, or 0 without an order.
	Order int64
	// InUse is the version in use before the order, and To the new version. To is empty
	// without an order.
	InUse, To string
	// Stopped reports whether this daemon sends nothing to the new version: its answers are
	// bad, and the owner of the roll-out may be unable to write that down.
	Stopped bool
	// Canary is the set of new engines, by id, that get requests in the canary stage.
	Canary map[string]bool
	// Share and Slack bound the requests that this daemon may send to new engines in the
	// canary stage: the share of those that it admitted, and a number beyond that.
	Share, Slack float64
	// Counts is shared by all snapshots of one order. It is nil without an order.
	Counts *RolloutCounts
}

// Indexes of the two versions of an order in arrays.
const (
	OldVersion = iota
	NewVersion
)

// RolloutCounts is what this daemon counted of the requests to a service during one order.
// Its atomics are written on the path of requests.
type RolloutCounts struct {
	// Admitted is the number of requests that reached the service at this daemon.
	Admitted atomic.Int64
	// CanarySends is the number of requests sent to new engines in the canary stage.
	CanarySends atomic.Int64
	// Routes holds the counts of the versions by the name of the route. A writer replaces the
	// map, never changes it.
	Routes atomic.Pointer[map[string]*RouteCounts]
	// Engines holds the counts of the engines of both versions by id. A writer replaces the
	// map, never changes it.
	Engines atomic.Pointer[map[string]*AnswerCounts]
}

// RouteCounts holds the counts of the requests of a route by version, and the usual times of
// the old version to which answers of both versions are compared.
type RouteCounts struct {
	Versions [2]AnswerCounts
	// FirstEvent and Interval are the usual time to the first event and between two events at
	// engines of the old version, in ns, or 0 while they are unknown.
	FirstEvent, Interval atomic.Int64
}

// AnswerCounts counts the requests that engines got and how these ended.
type AnswerCounts struct {
	Sent, Answered, Bad atomic.Int64
	// FirstEvents counts the answers whose time to the first event is in FirstEventTime, in
	// ns. Intervals and IntervalTime are the same for the mean interval of an answer.
	FirstEvents, FirstEventTime atomic.Int64
	Intervals, IntervalTime     atomic.Int64
	// LostAt is the clock.Instant at which a connection was last lost, or 0.
	LostAt atomic.Int64
}

// Route returns the counts of the route, or nil if the snapshot has none.
func (c *RolloutCounts) Route(name string) *RouteCounts {
	if routes := c.Routes.Load(); routes != nil {
		return (*routes)[name]
	}
	return nil
}

// Engine returns the counts of the engine, or nil if there are none.
func (c *RolloutCounts) Engine(id string) *AnswerCounts {
	if engines := c.Engines.Load(); engines != nil {
		return (*engines)[id]
	}
	return nil
}

// RolloutTotals is what other daemons counted during one order, by their load reports.
type RolloutTotals struct {
	Order int64
	// Daemons is the number of daemons that report the order, and AtStage of those that use
	// the stage Stage, the lowest that any of them uses.
	Daemons, AtStage int
	Stage            RolloutStage
	// DaemonsWithBad is the number of daemons that saw a bad answer of a new engine, and
	// DaemonsWithAnswers of those that saw any answer of one.
	DaemonsWithBad, DaemonsWithAnswers int
	// Routes holds the figures by route and version, Engines those of new engines by id.
	Routes  map[string][2]AnswerFigures
	Engines map[string]AnswerFigures
}

// AnswerFigures is a copy of AnswerCounts: Sent, Answered, Bad, FirstEvents, FirstEventTime
// in ms, Intervals and IntervalTime in ms.
type AnswerFigures [7]int64

// Figures returns a copy of the counts.
func (c *AnswerCounts) Figures() AnswerFigures {
	const ms = int64(time.Millisecond)
	return AnswerFigures{
		c.Sent.Load(), c.Answered.Load(), c.Bad.Load(), c.FirstEvents.Load(), c.FirstEventTime.Load() / ms,
		c.Intervals.Load(), c.IntervalTime.Load() / ms,
	}
}

// Add returns the sum of both figures.
func (f AnswerFigures) Add(g AnswerFigures) AnswerFigures {
	for i := range f {
		f[i] += g[i]
	}
	return f
}
