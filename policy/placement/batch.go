package placement

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// BatchQuery describes a batch item that needs an engine.
type BatchQuery struct {
	Query
	// PeersWithBatchDemand is the number of other daemons on which batch items wait.
	PeersWithBatchDemand int
	// NearPeersWithBatchDemand is the number of these in the daemon's data centre.
	NearPeersWithBatchDemand int
	// Interval is the time between two passes in which the daemon starts items.
	Interval time.Duration
}

// minPreemptionInterval is the shortest time between two preemptions of a daemon at one
// engine. By then the other daemons' preemptions are known in a small fleet.
const minPreemptionInterval = 120 * time.Millisecond

// PreemptionInterval returns the time between two preemptions of a daemon at an engine of
// its data centre or of another one. By then other daemons' preemptions there are known.
func PreemptionInterval(delays blackboard.LoadDelays, near bool) time.Duration {
	if near {
		return max(minPreemptionInterval, 2*delays.Near)
	}
	return max(minPreemptionInterval, 2*delays.Far)
}

// leavingScore is the score of an engine without free slots that leaves or fails according to
// other daemons. It exceeds that of every other engine.
const leavingScore = 1e6

// ChooseForBatch returns the engine with the largest fraction of free slots that may
// take an item, or nil. An engine is considered only with a probability, see mayFill, so
// that the daemons on which items wait do not fill it together before they learn of each
// other's items. Engines that leave or fail according to other daemons come last.
func ChooseForBatch(engines []*blackboard.Engine, q *BatchQuery) *blackboard.Engine {
	delays := q.Roster.LoadDelays()
	return chooseBest(engines, &q.Query, func(e *blackboard.Engine) (float64, bool) {
		if !q.allows(e) || !e.IsUsable() || e.MissingUntil != 0 || e.Load.Health.IsEjected(q.Now) || q.Tried != nil && q.Tried(e) {
			return 0, false
		}
		spare := q.spareSlots(e)
		if spare <= 0 || !q.hasMemoryForItem(e) || !q.mayFill(e, spare, delays) {
			return 0, false
		}
		free := float64(spare)/(float64(e.Slots)*slowness(e)) + q.Random()/(2*float64(e.Slots))
		if isLastChoiceOfPeers(e) {
			return leavingScore - free, true
		}
		return -free, true
	})
}

// slowness returns how many times slower than others the engine is, or 1 if that is not known.
func slowness(e *blackboard.Engine) float64 {
	if curve, known := e.Load.Slowness(); known {
		return curve.Slowness(e.RequestCount()+1, e.Slots)
	}
	return 1
}

const (
	// lateReserve is how many slots of an engine items leave to online requests if the
	// daemons report by sums: these learn late that an item must give way.
	lateReserve = 1
	// farReserve is how many more they leave at an engine of another data centre.
	farReserve = 2
)

// spareSlots returns the number of free slots of the engine that items may take. An engine
// that is not preferred counts one less.
func (q *BatchQuery) spareSlots(e *blackboard.Engine) int {
	spare := e.Slots - e.RequestCount()
	if !q.PreferredEngines[e.ID] {
		spare--
	}
	if q.Roster.ReportsBySums() {
		spare -= lateReserve
		if !q.isNear(e) {
			spare -= farReserve
		}
	}
	return spare
}

// mayFill reports, at random, whether this daemon may start an item at an engine with the
// given number of spare slots: so often that all daemons with waiting items, which know as
// much, start as many as there are slots in the time until they learn of these starts.
func (q *BatchQuery) mayFill(e *blackboard.Engine, spare int, delays blackboard.LoadDelays) bool {
	contenders, delay := q.PeersWithBatchDemand, delays.Far
	if q.isNear(e) {
		delay = delays.Near
	}
	if q.Roster.ReportsBySums() && q.isNear(e) {
		contenders = q.NearPeersWithBatchDemand
	}
	probability := float64(spare) / float64(contenders+1)
	if contenders > 0 {
		probability *= min(1, float64(q.Interval)/float64(delay))
	}
	return q.Random() < probability
}

// ItemsToPreempt returns how many of its items at the engine this daemon preempts so
// that online requests need not wait. Daemons with items at the engine together preempt
// as many as it has requests beyond its slots, each in proportion to its items. The
// number is rounded up if random, a number in [0, 1), is below its fractional part.
func ItemsToPreempt(e *blackboard.Engine, random float64) int {
	own := e.Load.Batch.Load()
	all := own + e.Load.PeerBatch.Load()
	over := int64(e.RequestCount() - e.Slots)
	if own == 0 || over <= 0 {
		return 0
	}
	exact := float64(min(over, all)) * float64(own) / float64(all)
	whole := int(exact)
	if random < exact-float64(whole) {
		whole++
	}
	return min(whole, int(own))
}
