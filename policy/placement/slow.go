package placement

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// slowFactor is how many times the usual time between events an engine must
	// take to count as slow. Sound engines differ by less.
	slowFactor = 2.5
	// minCompared is the number of engines below which there is no usual time.
	minCompared = 4
)

// Slow returns the engines whose streams this daemon sees come much slower than
// those of most others. A daemon that is slow itself sees all of them so, and finds
// none.
func Slow(engines []*blackboard.Engine, now clock.Instant) []*blackboard.Engine {
	paces := make([]time.Duration, 0, len(engines))
	for _, e := range engines {
		if pace := e.Load.Health.Pace(now); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < minCompared {
		return nil
	}
	slices.Sort(paces)
	bound := time.Duration(slowFactor * float64(paces[len(paces)/2]))
	var slow []*blackboard.Engine
	for _, e := range engines {
		if e.Load.Health.Pace(now) > bound {
			slow = append(slow, e)
		}
	}
	return slow
}

// Verdict tells whether an engine is bad by what daemons report of it. Those of the
// own data centre, or of two others, must agree: one daemon, or one data centre,
// may have a bad path to a sound engine.
func Verdict(own string, suspects []string) bool {
	var same int
	var other string
	for _, dataCentre := range suspects {
		switch {
		case dataCentre == own:
			same++
		case other == "":
			other = dataCentre
		case other != dataCentre:
			return true
		}
	}
	return same >= 2
}
