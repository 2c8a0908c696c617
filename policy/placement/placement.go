// Package placement chooses the engine for a request.
package placement

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// coldRateFraction is the fraction of a cold engine's ColdRate that all daemons
	// together use.
	coldRateFraction = 0.8
	// nonPreferredPenalty is how many requests fewer than a preferred engine another
	// engine of the daemon's data centre must have to be chosen. remotePenalty is the
	// same for an engine of another data centre.
	nonPreferredPenalty = 1.5
	remotePenalty       = 2.0
	// sampleSize is how many of the engines that are not preferred are considered,
	// on average. Daemons whose knowledge is slightly out of date would otherwise
	// all choose the engine that used to be the least loaded.
	sampleSize = 5
)

// Query describes a request that needs an engine.
type Query struct {
	// DataCentre is where the daemon runs.
	DataCentre string
	// Now is the current instant.
	Now clock.Instant
	// ColdRate is the number of requests per second that a cold engine of the
	// service can take. With 0 there is no limit.
	ColdRate float64
	// Daemons is the number of daemons that share ColdRate.
	Daemons int
	// Tried reports whether an earlier attempt of the request used the engine. It
	// may be nil.
	Tried func(*blackboard.Engine) bool
	// Random returns a number in [0, 1). It breaks ties and selects samples.
	Random func() float64
	// PreferredEngines is the set of the daemon's preferred engines, by id.
	PreferredEngines map[string]bool
	// MaxQueue is how many online requests beyond its slots an engine may have.
	MaxQueue int
}

// Choose returns the engine with the lowest score that may take the request, or nil.
// It considers the preferred engines and a sample of the others, and all engines if
// the sample yields none or only one that is ejected. Ejected engines come last.
func Choose(engines []*blackboard.Engine, q *Query) *blackboard.Engine {
	others := len(engines) - len(q.PreferredEngines)
	if others > sampleSize {
		if e := chooseSampled(engines, q, float64(sampleSize)/float64(others)); e != nil && !e.Load.Health.IsEjected(q.Now) {
			return e
		}
	}
	return chooseSampled(engines, q, 1)
}

// chooseSampled considers the preferred engines and each of the others with the
// given probability. It reserves the right to send a request to a cold engine as soon as
// the engine is the best one so far, even if a later engine is better.
func chooseSampled(engines []*blackboard.Engine, q *Query, probability float64) *blackboard.Engine {
	var best *blackboard.Engine
	bestScore := 0.0
	for _, e := range engines {
		if !q.mayTake(e) || !q.PreferredEngines[e.ID] && probability < 1 && q.Random() >= probability {
			continue
		}
		score := q.score(e)
		if best != nil && score >= bestScore {
			continue
		}
		if e.IsCold(q.Now) && !e.Load.AllowColdRequest(q.Now, q.coldInterval()) {
			continue
		}
		best, bestScore = e, score
	}
	return best
}

// mayTake reports whether the engine may take the request, apart from the rate limit
// of a cold engine.
func (q *Query) mayTake(e *blackboard.Engine) bool {
	return e.IsUsable() && (q.Tried == nil || !q.Tried(e)) && e.OnlineRequestCount() < e.Slots+q.MaxQueue
}

// ejectedScore is added to the score of an ejected engine. It exceeds every load.
const ejectedScore = 1e6

// score returns the load of the engine as a fraction of its slots, plus penalties.
// The lowest score is best. Engines that are missing from the store score worse than
// all others but ejected ones.
func (q *Query) score(e *blackboard.Engine) float64 {
	score := float64(e.RequestCount()) / float64(e.Slots)
	if !q.PreferredEngines[e.ID] {
		score += q.distancePenalty(e) / float64(e.Slots)
	}
	if e.MissingSince != 0 {
		score += ejectedScore / 2
	}
	if e.Load.Health.IsEjected(q.Now) {
		score += ejectedScore
	}
	return score + q.Random()/(4*float64(e.Slots))
}

// distancePenalty returns the penalty, in requests, of an engine that is not
// preferred.
func (q *Query) distancePenalty(e *blackboard.Engine) float64 {
	if e.DataCentre == q.DataCentre {
		return nonPreferredPenalty
	}
	return remotePenalty
}

// coldInterval returns the shortest time between two requests of one daemon to a
// cold engine.
func (q *Query) coldInterval() time.Duration {
	if q.ColdRate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * float64(max(q.Daemons, 1)) / (q.ColdRate * coldRateFraction))
}
