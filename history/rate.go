package history

import (
	"fmt"
	"slices"
	"time"
)

// Interval is the time span within which a request was admitted. The exact moment
// is unknown.
type Interval struct {
	// From and To are the earliest and latest possible times of admission.
	From, To time.Time
}

// Admitted returns the intervals of the calls of a workspace that were certainly
// admitted: those that were answered or reached an upstream.
func Admitted(calls []Call, arrivals []Arrival, workspace string) []Interval {
	counts := arrivalsByToken(arrivals)
	var list []Interval
	for _, c := range calls {
		if c.Workspace != workspace {
			continue
		}
		if c.Outcome == Answered || counts[c.Token] > 0 {
			list = append(list, Interval{From: c.Sent, To: c.Ended})
		}
	}
	return list
}

// CheckRate returns an error if more requests were certainly admitted within some
// time window than burst + rate × the length of the window. The rate is in requests
// per second.
func CheckRate(admitted []Interval, rate float64, burst int) error {
	byEnd := slices.Clone(admitted)
	slices.SortFunc(byEnd, func(a, b Interval) int { return a.To.Compare(b.To) })
	for _, first := range admitted {
		if err := checkWindowsFrom(byEnd, first.From, rate, burst); err != nil {
			return err
		}
	}
	return nil
}

// checkWindowsFrom checks every window that begins at start and ends with an interval
// of byEnd, which is sorted by To.
func checkWindowsFrom(byEnd []Interval, start time.Time, rate float64, burst int) error {
	count := 0
	for _, a := range byEnd {
		if a.From.Before(start) {
			continue
		}
		count++
		length := a.To.Sub(start)
		if allowed := float64(burst) + rate*length.Seconds(); float64(count) > allowed {
			return fmt.Errorf("%d requests were admitted within %v; the rate limit allows %.2f", count, length, allowed)
		}
	}
	return nil
}
