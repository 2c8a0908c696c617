package quarantine

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// togetherTime is the time in which engines of one data centre end together if power or a
	// VM is lost. Their ends then count as one.
	togetherTime = 500 * time.Millisecond
	// minIncidents is the number of incidents that quarantine a segment of several requests;
	// minIncidentsOfOne holds if all crashes caught the same request.
	minIncidents, minIncidentsOfOne = 2, 3
	// minEngines is the number of engines, each with a request of its own, that quarantine a
	// segment even if all ended together.
	minEngines = 4
)

// engineStart identifies one start of an engine.
type engineStart struct {
	engine      string
	startedAtMs int64
}

// startOf returns which start of an engine ended.
func startOf(c *blackboard.CrashClaim) engineStart { return engineStart{c.Engine, c.StartedAtMs} }

// countedCrashes returns those of the crashes, in order of time, that count as evidence on
// this daemon: all that it saw itself, and one of each other daemon, so that a faulty daemon
// alone quarantines no segment. The sum of a data centre counts for at most maxVotesOfSum of its
// daemons. In a fleet of fewer than minVotingDaemons all crashes count.
func countedCrashes(crashes []*blackboard.CrashClaim, self string, daemons int) []*blackboard.CrashClaim {
	if daemons < minVotingDaemons {
		return crashes
	}
	counted := make(map[*blackboard.CrashClaim]bool)
	engines := make(map[engineStart]bool)
	requests := make(map[uint64]bool)
	count := func(c *blackboard.CrashClaim) {
		counted[c], engines[startOf(c)], requests[c.Request] = true, true, true
	}
	byPeer := make(map[string][]*blackboard.CrashClaim)
	var peers []string // in order of their first crash
	for _, c := range crashes {
		if c.Reporter == self {
			count(c)
			continue
		}
		if byPeer[c.Reporter] == nil {
			peers = append(peers, c.Reporter)
		}
		byPeer[c.Reporter] = append(byPeer[c.Reporter], c)
	}
	votes := make(map[string]int) // by data centre
	for _, p := range peers {
		c := mostTelling(byPeer[p], engines, requests)
		if c.SumOf != "" && votes[c.SumOf] >= maxVotesOfSum {
			continue
		}
		votes[c.SumOf]++
		count(c)
	}
	var inOrder []*blackboard.CrashClaim
	for _, c := range crashes {
		if counted[c] {
			inOrder = append(inOrder, c)
		}
	}
	return inOrder
}

// mostTelling returns the crash that adds most to the known engines and requests.
func mostTelling(crashes []*blackboard.CrashClaim, engines map[engineStart]bool, requests map[uint64]bool) *blackboard.CrashClaim {
	best, bestScore := crashes[0], -1
	for _, c := range crashes {
		score := 0
		if !engines[startOf(c)] {
			score += 2
		}
		if !requests[c.Request] {
			score++
		}
		if score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// isSufficient reports whether the crashes, in order of time, quarantine the segment that all of
// them have. Answered says whether it was answered before, and othersEnded whether other
// engines ended with them, see othersEnded.
func isSufficient(crashes []*blackboard.CrashClaim, answered, othersEnded bool) bool {
	engines := make(map[engineStart]bool)
	requests := make(map[uint64]bool)
	incidents := 0
	together := make(map[string]clock.Instant) // by data centre: when its last incident began
	for _, c := range crashes {
		requests[c.Request] = true
		if engines[startOf(c)] {
			continue
		}
		engines[startOf(c)] = true
		began, ok := together[c.EngineDataCentre]
		if ok && othersEnded && c.EngineDataCentre != "" && c.SeenAt.Sub(began) < togetherTime {
			continue
		}
		together[c.EngineDataCentre] = c.SeenAt
		incidents++
	}
	factor := 1
	if answered {
		factor = answeredFactor
	}
	return incidents >= factor*minIncidents && len(requests) >= 2 || incidents >= factor*minIncidentsOfOne ||
		len(engines) >= factor*minEngines && len(requests) >= factor*minEngines
}

// othersEnded reports whether engines without the segment, whose crashes are given, ended
// together with one of these: the segment may not be the cause.
func (l *Ledger) othersEnded(crashes []*blackboard.CrashClaim) bool {
	suspect := make(map[engineStart]bool)
	for _, c := range crashes {
		suspect[startOf(c)] = true
	}
	for i := range l.crashes {
		other := &l.crashes[i]
		if suspect[startOf(other)] {
			continue
		}
		for _, c := range crashes {
			if c.EngineDataCentre == other.EngineDataCentre && c.SeenAt.Sub(other.SeenAt).Abs() < togetherTime {
				return true
			}
		}
	}
	return false
}
