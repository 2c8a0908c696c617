package history

import (
	"fmt"
	"slices"
	"time"
)

// Interval bounds the unknown moment at which a request was admitted.
type Interval struct {
	// From and To are the earliest and latest possible moments.
	From, To time.Time
}

// Admitted returns the intervals of a workspace's calls that were admitted for
// certain. An unknown outcome counts only if the request reached an upstream.
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

// CheckRate refuses a history in which more requests were certainly admitted
// within some window than burst + rate × the window's length.
func CheckRate(admitted []Interval, rate float64, burst int) error {
	byEnd := slices.Clone(admitted)
	slices.SortFunc(byEnd, func(a, b Interval) int { return a.To.Compare(b.To) })
	for _, first := range admitted {
		if err := checkFrom(byEnd, first.From, rate, burst); err != nil {
			return err
		}
	}
	return nil
}

// checkFrom checks every window that begins at start.
func checkFrom(byEnd []Interval, start time.Time, rate float64, burst int) error {
	count := 0
	for _, a := range byEnd {
		if a.From.Before(start) {
			continue
		}
		count++
		length := a.To.Sub(start)
		if allowed := float64(burst) + rate*length.Seconds(); float64(count) > allowed {
			return fmt.Errorf("%d requests were admitted within %v; burst and rate allow %.2f", count, length, allowed)
		}
	}
	return nil
}
