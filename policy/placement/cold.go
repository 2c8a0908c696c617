package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/blackboard"
)

const (
	// coldRateFraction is the fraction of a cold engine's rate that all daemons
	// together use.
	coldRateFraction = 0.8
	// turnValidity is how long a daemon may use a turn. It bounds the requests that
	// daemons with unused turns may send at the same time.
	turnValidity = 400 * time.Millisecond
)

// The daemons share the rate of a cold engine without messages. The store's clock, which
// all of them know, is divided into turns; one request may be sent in each. A turn at an
// engine belongs to the daemon with the highest hash of engine, turn and name. Daemons that
// know different rosters agree on the turns of those that both know, except the turns that
// one of them gives to a daemon unknown to the other.

// nextColdTurn returns the first turn at the engine that this daemon may still use, or
// false. Until it knows the roster and the store's clock it has none. Without a limit it returns turn 0, which is
// never used up.
func (q *Query) nextColdTurn(e *blackboard.Engine) (turn int64, ok bool) {
	if q.ColdRate <= 0 {
		return 0, true
	}
	if !q.Roster.Loaded || q.StoreNow == 0 {
		return 0, false
	}
	interval := time.Duration(float64(time.Second) / (q.ColdRate * coldRateFraction))
	engine := xxhash.Sum64String(e.ID)
	first := max(e.Load.LastColdTurn.Load()+1, int64((q.StoreNow-turnValidity)/interval)+1)
	for turn = first; turn <= int64(q.StoreNow/interval); turn++ {
		if ownsTurn(q.Roster, blackboard.HashPair(engine, uint64(turn))) {
			return turn, true
		}
	}
	return 0, false
}

// ownsTurn reports whether this daemon has the highest hash of all for the turn.
func ownsTurn(roster *blackboard.Roster, turnHash uint64) bool {
	own := blackboard.HashPair(turnHash, xxhash.Sum64String(roster.Self.Name))
	found := false
	for i := range roster.Members {
		name := roster.Members[i].Name
		if name == roster.Self.Name {
			found = true
		} else if blackboard.HashPair(turnHash, xxhash.Sum64String(name)) > own {
			return false
		}
	}
	return found
}
