// Package placement chooses the engine for a request.
package placement

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// coldPart is the part of the load that a cold engine bears which the
	// daemons use together.
	coldPart = 0.8
	// awayPenalty and remotePenalty are how many requests fewer than a preferred
	// engine another one of the data centre, or of another one, must have to be
	// chosen.
	awayPenalty   = 1.5
	remotePenalty = 2.0
	// sampled is how many of the engines that the daemon does not prefer are
	// looked at. Daemons whose knowledge is a little old would otherwise all
	// choose the engine that was the least loaded one.
	sampled = 5
)

// Query is what a request asks of an engine.
type Query struct {
	// DataCentre is where the daemon runs.
	DataCentre string
	// Now is the current instant.
	Now clock.Instant
	// ColdRate is the number of requests a second that a cold engine of the
	// service bears.
	ColdRate float64
	// Daemons is the number of daemons that share ColdRate.
	Daemons int
	// Tried tells whether the request was already at the engine. It may be nil.
	Tried func(*blackboard.Engine) bool
	// Random returns a number in [0, 1) that breaks ties.
	Random func() float64
	// Homes is the set of engines, by id, that the daemon prefers.
	Homes map[string]bool
	// MaxQueue is the number of online requests above an engine's slots from
	// which it gets no more.
	MaxQueue int
}

// Choose returns the engine with the lowest load that may take the request, or
// nil. It looks at the preferred engines and at some others, and at all if none
// of these may take it. Engines that failed lately come last.
func Choose(engines []*blackboard.Engine, q *Query) *blackboard.Engine {
	others := len(engines) - len(q.Homes)
	if others > sampled {
		if e := choose(engines, q, float64(sampled)/float64(others)); e != nil && !e.Load.Health.Avoided(q.Now) {
			return e
		}
	}
	return choose(engines, q, 1)
}

// choose looks at the preferred engines and, with the given chance, at each of
// the others.
func choose(engines []*blackboard.Engine, q *Query, chance float64) *blackboard.Engine {
	var best *blackboard.Engine
	bestCost := 0.0
	for _, e := range engines {
		if !q.admits(e) || !q.Homes[e.ID] && chance < 1 && q.Random() >= chance {
			continue
		}
		cost := q.cost(e)
		if best != nil && cost >= bestCost {
			continue
		}
		if e.Cold(q.Now) && !e.Load.TakeCold(q.Now, q.coldInterval()) {
			continue
		}
		best, bestCost = e, cost
	}
	return best
}

// admits tells whether the engine may get the request, but for cold start.
func (q *Query) admits(e *blackboard.Engine) bool {
	return e.Usable() && (q.Tried == nil || !q.Tried(e)) && e.OnlineBusy() < e.Slots+q.MaxQueue
}

// avoidedCost exceeds every load.
const avoidedCost = 1e6

func (q *Query) cost(e *blackboard.Engine) float64 {
	cost := float64(e.Busy()) / float64(e.Slots)
	if !q.Homes[e.ID] {
		cost += q.away(e) / float64(e.Slots)
	}
	if e.MissingSince != 0 {
		cost += avoidedCost / 2
	}
	if e.Load.Health.Avoided(q.Now) {
		cost += avoidedCost
	}
	return cost + q.Random()/(4*float64(e.Slots))
}

func (q *Query) away(e *blackboard.Engine) float64 {
	if e.DataCentre == q.DataCentre {
		return awayPenalty
	}
	return remotePenalty
}

// coldInterval returns the time between two requests of one daemon to a cold
// engine.
func (q *Query) coldInterval() time.Duration {
	if q.ColdRate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * float64(max(q.Daemons, 1)) / (q.ColdRate * coldPart))
}
