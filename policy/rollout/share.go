package rollout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/blackboard"
)

// Daemons keep to the bound on what a bad version gets without telling each other: each sends
// a fixed part of the requests that it admitted itself, and a fixed number beyond that if it
// ran before the order. A daemon that restarts begins again with no request admitted and none
// sent, and without that number, so that restarts and losses do not exceed the sum.
const (
	// shareFraction and slackFraction are the parts of the bounds that daemons use. The rest
	// covers requests that an engine got twice, and daemons that know different members.
	shareFraction = 0.7
	slackFraction = 0.6
	// maxSlackFraction bounds the part of the slack that one daemon uses: a fleet that is
	// starting may have two more daemons than the one that divides it knows of.
	maxSlackFraction = 0.3
)

// DaemonShare returns the share of its admitted requests that a daemon may send to the new
// version in the canary stage.
func DaemonShare(bound float64) float64 { return shareFraction * bound }

// DaemonSlack returns the number of requests beyond that of a daemon that ran before the
// order, one of the given number.
func DaemonSlack(bound float64, daemons int) float64 {
	return min(slackFraction*bound/float64(max(daemons, 1)), maxSlackFraction*bound)
}

// DaemonPhase returns a number in [0, 1), by which daemons with few requests round what they
// may send: some send one early, others late, and their sum is as large as without rounding.
// Without it, no daemon of a large fleet would send one in the first seconds.
func DaemonPhase(incarnation string, order int64) float64 {
	return float64(blackboard.HashPair(xxhash.Sum64String(incarnation), uint64(order))>>11) / (1 << 53)
}

// takeCanary reports whether this daemon may send one more request to a canary engine, and
// counts it then.
func (v *View) takeCanary() bool {
	s := v.versions
	if s.Stage != blackboard.RolloutCanary || s.Stopped || v.now >= v.validUntil {
		return false
	}
	for {
		sent := s.Counts.CanarySends.Load()
		if float64(sent+1) > s.Slack+s.Share*float64(s.Counts.Admitted.Load()) {
			return false
		}
		if s.Counts.CanarySends.CompareAndSwap(sent, sent+1) {
			return true
		}
	}
}
