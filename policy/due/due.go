// Package due orders batch jobs by when their results are due.
package due

import (
	"cmp"
	"time"
)

// Job is what the order depends on.
type Job struct {
	// Due is the store's clock at which the results are due.
	Due time.Duration
	// Remaining is how long its next item probably still runs.
	Remaining time.Duration
}

// OnTime tells whether the next item, started now, probably ends in time.
func (j Job) OnTime(now time.Duration) bool {
	return now+time.Duration(stallFactor*float64(j.Remaining)) <= j.Due
}

// Compare orders jobs whose items can still end in time before others, then those
// whose next item has less left to run, then those that are due first. Under
// overload this completes some items in time where the plain order by due time
// would complete all of them too late.
func Compare(a, b Job, now time.Duration) int {
	if x, y := a.OnTime(now), b.OnTime(now); x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Remaining.Round(remainingStep), b.Remaining.Round(remainingStep)),
		cmp.Compare(a.Due, b.Due),
	)
}

const (
	// firstRunTime is the time that an item is expected to run before one has.
	firstRunTime = 4 * time.Second
	// stallFactor is how much longer than it runs an item takes, since it gives
	// way to online requests.
	stallFactor = 1.4
	// remainingStep is the difference in what is left to run that counts.
	remainingStep = time.Second
	// weight is the weight of a new run in the average.
	weight = 0.1
)

// RunTime averages how long items run. The zero value is ready to use.
type RunTime struct{ average time.Duration }

// Note takes in the time that one item ran.
func (r *RunTime) Note(d time.Duration) {
	r.average = r.Average() + time.Duration(weight*float64(d-r.Average()))
}

// Average returns the expected time of a whole run.
func (r *RunTime) Average() time.Duration {
	if r.average == 0 {
		return firstRunTime
	}
	return r.average
}

// Remaining returns how long an item that ran for the given time probably still
// runs.
func (r *RunTime) Remaining(ran time.Duration) time.Duration {
	return max(r.Average()-ran, r.Average()/10)
}
