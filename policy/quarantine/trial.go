package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/blackboard"
)

const (
	// trialWindow is a piece of the store's time in which one trial may begin. It begins in
	// the first half, so that its outcome is known before the next window.
	trialWindow = 5 * time.Second
	// ownersDoubleTime is the time after which the number of daemons that may run a trial
	// doubles, for segments that few requests have.
	ownersDoubleTime = time.Minute
	// maxOwnerDoublings bounds the doublings.
	maxOwnerDoublings = 16
)

// Trial says who may try a segment, as far as this daemon is concerned.
type Trial struct {
	// Window is the number of the window.
	Window int64
	// MayTry reports whether this daemon may run the trial now.
	MayTry bool
	// Next is the time until the next window begins.
	Next time.Duration
}

// TrialOf returns the trial of a segment that has been due for the given time, at storeNow on
// the store's clock. The daemons share trials without messages, as they share the turns at a
// cold engine, see package placement: that of a window belongs to the daemon with the highest
// hash of segment, window and name. No daemon has one before it knows the roster and the
// store's clock.
func TrialOf(segment blackboard.Segment, overdue, storeNow time.Duration, roster *blackboard.Roster) Trial {
	if storeNow <= 0 {
		return Trial{Next: trialWindow}
	}
	window, passed := int64(storeNow/trialWindow), storeNow%trialWindow
	t := Trial{Window: window, Next: trialWindow - passed}
	if overdue < 0 || passed >= trialWindow/2 || !roster.Loaded {
		return t
	}
	owners := 1 << min(int(overdue/ownersDoubleTime), maxOwnerDoublings)
	t.MayTry = ownsTrial(blackboard.HashPair(uint64(segment), uint64(window)), owners, roster)
	return t
}

// ownsTrial reports whether this daemon is among the given number with the highest hashes.
func ownsTrial(trial uint64, owners int, roster *blackboard.Roster) bool {
	own := blackboard.HashPair(trial, xxhash.Sum64String(roster.Self.Name))
	isMember, higher := false, 0
	for i := range roster.Members {
		name := roster.Members[i].Name
		if name == roster.Self.Name {
			isMember = true
		} else if blackboard.HashPair(trial, xxhash.Sum64String(name)) > own {
			higher++
		}
	}
	return isMember && higher < owners
}
