package placement

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// slowFactor is how many times the median inter-event interval an engine must
	// exceed to count as slow. Healthy engines differ by less.
	slowFactor = 2.5
	// minMeasuredEngines is the number of measured engines below which no engine
	// counts as slow.
	minMeasuredEngines = 4
)

// SlowEngines returns the engines whose streams arrive at this daemon with a much
// longer inter-event interval than those of most engines. A daemon that is slow itself
// sees long intervals from all engines, and finds none slow.
func SlowEngines(engines []*blackboard.Engine, now clock.Instant) []*blackboard.Engine {
	intervals := make([]time.Duration, 0, len(engines))
	for _, e := range engines {
		if interval := e.Load.Health.MeanInterval(now); interval > 0 {
			intervals = append(intervals, interval)
		}
	}
	if len(intervals) < minMeasuredEngines {
		return nil
	}
	slices.Sort(intervals)
	bound := time.Duration(slowFactor * float64(intervals[len(intervals)/2]))
	var slow []*blackboard.Engine
	for _, e := range engines {
		if e.Load.Health.MeanInterval(now) > bound {
			slow = append(slow, e)
		}
	}
	return slow
}

// ShouldEject reports whether this daemon ejects an engine. Own is the data centre of
// this daemon, and suspects lists the data centre of each other daemon that suspects
// the engine. Two daemons of its own data centre, or daemons of two other data
// centres, must agree: one daemon, or one data centre, may have a bad network path
// to a healthy engine.
func ShouldEject(own string, suspects []string) bool {
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
