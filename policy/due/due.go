// Package due orders batch jobs by when their results are due.
package due

import (
	"cmp"
	"time"
)

// Job is what the order of a job depends on.
type Job struct {
	// Due is when the results are due, by the store's clock.
	Due time.Duration
	// Remaining is how much longer the job's next item is expected to run.
	Remaining time.Duration
}

// CanFinishOnTime reports whether the next item, if started now, is expected to finish
// by the due time. Now is a time by the store's clock.
func (j Job) CanFinishOnTime(now time.Duration) bool {
	return now+time.Duration(preemptionFactor*float64(j.Remaining)) <= j.Due
}

// Compare orders jobs whose next item can still finish on time first, then those whose
// next item has the shorter remaining run time, then those that are due first. Under
// overload this completes some items on time where the plain order by due time would
// complete all of them too late. It returns a negative number if a comes before b, as
// cmp.Compare does.
func Compare(a, b Job, now time.Duration) int {
	if x, y := a.CanFinishOnTime(now), b.CanFinishOnTime(now); x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Remaining.Round(remainingResolution), b.Remaining.Round(remainingResolution)),
		cmp.Compare(a.Due, b.Due),
	)
}

const (
	// initialRunTime is the expected run time of an item before one has run.
	initialRunTime = 4 * time.Second
	// preemptionFactor is how much longer than its run time an item takes, because
	// online requests preempt it.
	preemptionFactor = 1.4
	// remainingResolution is the precision to which Compare rounds the remaining
	// run time.
	remainingResolution = time.Second
	// averageWeight is the weight of a new run in the average.
	averageWeight = 0.1
)

// RunTime is a moving average of the run time of items. The zero value is ready to
// use. It is not safe for concurrent use.
type RunTime struct{ average time.Duration }

// Observe records the run time of one item.
func (r *RunTime) Observe(d time.Duration) {
	r.average = r.Average() + time.Duration(averageWeight*float64(d-r.Average()))
}

// Average returns the expected run time of a whole item.
func (r *RunTime) Average() time.Duration {
	if r.average == 0 {
		return initialRunTime
	}
	return r.average
}

// Remaining returns how much longer an item that has run for the given time is
// expected to run: at least a tenth of the average.
func (r *RunTime) Remaining(ran time.Duration) time.Duration {
	return max(r.Average()-ran, r.Average()/10)
}
