package placement

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

const (
	// memoryTurnover is the time in which the requests that an engine holds are replaced by
	// others: streams with an objective run for about a second. Within the age of what this
	// daemon knows of the others, they may have filled that part of an engine.
	memoryTurnover = time.Second
	// maxMemoryMargin bounds the part of an engine's memory that is left free for requests
	// that are not known yet, so that a daemon that hears nobody can still use engines.
	maxMemoryMargin = 0.25
)

// hasMemory reports whether the engine's memory holds the request beside the requests that
// this and the other daemons placed there. An engine without any holds each request that it
// can ever hold. It is always true if the sizes are not known.
func (q *Query) hasMemory(e *blackboard.Engine) bool {
	if q.MemoryTokens <= 0 || q.Tokens <= 0 {
		return true
	}
	placed := e.PlacedTokens()
	if placed <= 0 {
		return q.Tokens <= q.MemoryTokens
	}
	return placed+q.Tokens+q.memoryMargin(e) <= q.MemoryTokens
}

// memoryLoad returns the fraction of the engine's memory that is taken with the request, or 0
// if the sizes are not known.
func (q *Query) memoryLoad(e *blackboard.Engine) float64 {
	if q.MemoryTokens <= 0 || q.Tokens <= 0 {
		return 0
	}
	return float64(e.PlacedTokens()+q.Tokens) / float64(q.MemoryTokens)
}

// memoryMargin returns the tokens that are left free at the engine for requests of other
// daemons that this one does not know yet.
func (q *Query) memoryMargin(e *blackboard.Engine) int64 {
	if q.Roster.Size() < 2 {
		return 0
	}
	delays := q.Roster.LoadDelays()
	age := max(delays.Far, q.PeerReportAge)
	if q.isNear(e) {
		age = max(delays.Near, q.PeerReportAge)
	}
	return int64(min(float64(age)/float64(memoryTurnover), maxMemoryMargin) * float64(q.MemoryTokens))
}

// WouldTakeWithMemory reports whether one of the engines would take the request if it had memory
// for it.
func WouldTakeWithMemory(engines []*blackboard.Engine, q *Query) bool {
	if q.MemoryTokens <= 0 || q.Tokens <= 0 {
		return false
	}
	without := *q
	without.Tokens = 0
	return slices.ContainsFunc(engines, without.mayTake)
}

// hasMemoryForItem reports whether the engine's memory holds the item and, beside it, one
// more online request of the size that the engine is made for.
func (q *Query) hasMemoryForItem(e *blackboard.Engine) bool {
	if e.PlacedTokens() <= 0 || q.Tokens <= 0 {
		return q.hasMemory(e)
	}
	beside := *q
	beside.Tokens += q.MemoryTokens / int64(max(e.Slots, 1))
	return beside.hasMemory(e)
}

// PreemptForMemory reports whether this daemon preempts one of its items at the engine so
// that its memory of the given size has room for half an online request of the size that it
// is made for: an item starts only where a whole one has room. Daemons with items there do
// so in proportion to these, by a random number in [0, 1).
func PreemptForMemory(e *blackboard.Engine, memoryTokens int64, random float64) bool {
	own := e.Load.Batch.Load()
	if memoryTokens <= 0 || own == 0 || e.RequestCount() < 2 {
		return false
	}
	free := memoryTokens - e.PlacedTokens()
	return free < memoryTokens/int64(2*max(e.Slots, 1)) && random*float64(own+e.Load.PeerBatch.Load()) < float64(own)
}
