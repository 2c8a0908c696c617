// Package placement chooses the engine for a request.
package placement

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// nonPreferredPenalty is how many requests fewer than a preferred engine another
	// engine of the daemon's data centre must have to be chosen. remotePenalty is the
	// same for an engine of another data centre.
	nonPreferredPenalty = 1.0
	remotePenalty       = 2.0
	// nearSampleSize is how many engines of the daemon's data centre that are not
	// preferred are considered, on average. Daemons whose knowledge is slightly out of
	// date would otherwise all choose the engine that used to be the least loaded.
	nearSampleSize = 4
	// farSampleSize is the same for the engines of other data centres. If these report
	// by sums, daemons learn of requests there so late that staleFarSampleSize holds.
	farSampleSize      = 4
	staleFarSampleSize = 1
)

// Query describes a request that needs an engine.
type Query struct {
	// Roster is the set of daemons, with the one that has the request.
	Roster *blackboard.Roster
	// Now is the current instant, and StoreNow the time of the store's clock, or 0 while
	// that is unknown.
	Now      clock.Instant
	StoreNow time.Duration
	// ColdRate is the number of requests per second that a cold engine of the
	// service can take. With 0 there is no limit.
	ColdRate float64
	// Tried reports whether an earlier attempt of the request used the engine. It
	// may be nil.
	Tried func(*blackboard.Engine) bool
	// Allowed reports whether the request may use the engine. Nil allows all.
	Allowed func(*blackboard.Engine) bool
	// Random returns a number in [0, 1). It breaks ties and selects samples.
	Random func() float64
	// PreferredEngines is the set of the daemon's preferred engines, by id.
	PreferredEngines map[string]bool
	// MaxQueue is how many online requests beyond its slots an engine may have.
	MaxQueue int
	// Tokens is the number of tokens that the request takes in an engine's memory, and
	// MemoryTokens that which an engine can hold. Either is 0 if it is not known.
	Tokens, MemoryTokens int64
	// PeerReportAge is the mean age of what this daemon knows of the others' requests.
	PeerReportAge time.Duration
}

// NewQuery returns the query for a request to the service, as the board is now.
func NewQuery(board *blackboard.EntryBoard, service *catalog.Service, random func() float64) Query {
	return Query{
		Roster: board.Roster.Value(), Now: clock.Now(), StoreNow: board.StoreNow(), ColdRate: service.ColdRate,
		Random: random, PreferredEngines: board.PreferredEngines.Value(),
		MemoryTokens: board.MemoryTokens(service), PeerReportAge: time.Duration(board.PeerReportAge.Load()),
	}
}

// isNear reports whether the engine is in the daemon's data centre.
func (q *Query) isNear(e *blackboard.Engine) bool { return e.DataCentre == q.Roster.Self.DataCentre }

// Choose returns the engine with the lowest score that may take the request, or nil.
// It considers the preferred engines and a sample of the others, and all engines if
// the sample yields none or only one that is a last choice.
func Choose(engines []*blackboard.Engine, q *Query) *blackboard.Engine {
	sample := q.newSample(engines)
	if e := chooseSampled(engines, q, sample); e != nil && !q.isLastChoice(e) {
		return e
	}
	return chooseSampled(engines, q, wholeSet)
}

// sample says which part of the engines that are not preferred is considered, by whether
// they are in the daemon's data centre.
type sample struct {
	nearFraction, farFraction float64
}

// wholeSet is a sample of all engines.
var wholeSet = sample{1, 1}

// newSample returns the sample in which as many engines of each kind are expected as the
// sample sizes say.
func (q *Query) newSample(engines []*blackboard.Engine) sample {
	var near, far int
	for _, e := range engines {
		switch {
		case q.PreferredEngines[e.ID] || !q.allows(e):
		case q.isNear(e):
			near++
		default:
			far++
		}
	}
	farSize := farSampleSize
	if q.Roster.ReportsBySums() {
		farSize = staleFarSampleSize
	}
	return sample{
		nearFraction: float64(nearSampleSize) / float64(max(near, nearSampleSize)),
		farFraction:  float64(farSize) / float64(max(far, farSize)),
	}
}

// includes reports, at random, whether the engine is in the sample.
func (s sample) includes(e *blackboard.Engine, q *Query) bool {
	fraction := s.farFraction
	if q.isNear(e) {
		fraction = s.nearFraction
	}
	return fraction >= 1 || q.PreferredEngines[e.ID] || q.Random() < fraction
}

// chooseSampled considers the preferred engines and those in the sample.
func chooseSampled(engines []*blackboard.Engine, q *Query, sample sample) *blackboard.Engine {
	return chooseBest(engines, q, func(e *blackboard.Engine) (float64, bool) {
		if !q.mayTake(e) || !sample.includes(e, q) {
			return 0, false
		}
		return q.score(e), true
	})
}

// chooseBest returns the engine with the lowest score, or nil. The function score returns
// false for an engine that must not be chosen. A cold engine is considered only if this
// daemon has a turn at it, which is used up only if the engine is returned.
func chooseBest(engines []*blackboard.Engine, q *Query, score func(*blackboard.Engine) (float64, bool)) *blackboard.Engine {
	for {
		var best *blackboard.Engine
		var bestScore float64
		var bestTurn int64
		for _, e := range engines {
			s, ok := score(e)
			if !ok || best != nil && s >= bestScore {
				continue
			}
			var turn int64
			if e.IsCold(q.Now) {
				if turn, ok = q.nextColdTurn(e); !ok {
					continue
				}
			}
			best, bestScore, bestTurn = e, s, turn
		}
		if best == nil || bestTurn == 0 || best.Load.UseColdTurn(bestTurn) {
			return best
		}
	}
}

// mayTake reports whether the engine may take the request, apart from the rate limit
// of a cold engine.
func (q *Query) mayTake(e *blackboard.Engine) bool {
	return q.allows(e) && e.IsUsable() && e.IsKept(q.Now) && (q.Tried == nil || !q.Tried(e)) && e.OnlineRequestCount() < e.Slots+q.MaxQueue && q.hasMemory(e)
}

// allows reports whether the request may use the engine by Allowed.
func (q *Query) allows(e *blackboard.Engine) bool { return q.Allowed == nil || q.Allowed(e) }

// isLastChoice reports whether the engine is ejected, or leaves or fails according to other
// daemons.
func (q *Query) isLastChoice(e *blackboard.Engine) bool {
	return e.Load.Health.IsEjected(q.Now) || isLastChoiceOfPeers(e)
}

// isLastChoiceOfPeers reports whether the engine leaves or fails according to other daemons.
func isLastChoiceOfPeers(e *blackboard.Engine) bool {
	return e.Load.LeavingByPeers.Load() || e.Load.Health.FailsByPeers.Load()
}

// ejectedScore is added to the score of an engine that is a last choice. It exceeds every
// load.
const ejectedScore = 1e6

// load returns the load of the engine as a fraction of its slots. If the speed of the service's
// engines is known, it is the load with one more request, times the square of the engine's
// slowness: so much longer the request takes, and so much longer those that follow find the
// engine taken. An engine that is nearly full counts as more loaded, since it may be full
// before this daemon learns of the others' requests.
func load(e *blackboard.Engine) float64 {
	n := e.RequestCount()
	curve, known := e.Load.Slowness()
	if !known {
		return float64(n) / float64(e.Slots)
	}
	slowness := curve.Slowness(n+1, e.Slots)
	taken := float64(n+1) / float64(e.Slots)
	load := taken*slowness*slowness + taken*taken*taken*taken
	if n >= e.Slots {
		load += fullLoad
	}
	return load
}

// fullLoad is added to the load of an engine of known speed at which the request would wait for
// a slot. It exceeds the load of each engine with a free slot, whose slowness is at most 4.
const fullLoad = 20

// score returns the load of the engine as a fraction of its slots, or of its memory if that is
// more, plus penalties.
// The lowest score is best. Engines that are missing from the store score worse than
// all others but the last choices.
func (q *Query) score(e *blackboard.Engine) float64 {
	score := max(load(e), q.memoryLoad(e))
	if !q.PreferredEngines[e.ID] {
		score += q.distancePenalty(e) / float64(e.Slots)
	}
	if e.MissingUntil != 0 {
		score += ejectedScore / 2
	}
	if q.isLastChoice(e) {
		score += ejectedScore
	}
	return score + q.Random()/(4*float64(e.Slots))
}

// distancePenalty returns the penalty, in requests, of an engine that is not
// preferred.
func (q *Query) distancePenalty(e *blackboard.Engine) float64 {
	if q.isNear(e) {
		return nonPreferredPenalty
	}
	return remotePenalty
}
