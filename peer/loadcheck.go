package peer

import (
	"errors"
	"fmt"
)

// maxReported bounds every number in a load report, so that sums of many do not overflow.
const maxReported = 1 << 40

// errImpossibleNumber reports a load report with a number that no daemon counts.
var errImpossibleNumber = errors.New("number is negative or too large")

// check returns an error unless every number in the report is one that a daemon can count.
func (r *LoadReport) check() error {
	numbers := []int64{r.Sequence, int64(r.WaitingItems), r.ReadAgeMs}
	if d := r.DataCentre; d != nil {
		numbers = append(numbers, int64(d.Daemons), int64(d.WaitingDaemons))
	}
	for _, counts := range r.Engines {
		numbers = append(numbers, counts[:]...)
	}
	for _, f := range r.Failing {
		numbers = append(numbers, int64(f.Daemons), f.FailedMs, f.WellMs)
	}
	for _, state := range r.States {
		numbers = append(numbers, state[:]...)
	}
	for _, counts := range []map[string]int64{r.Admitted, r.Tokens} {
		for _, n := range counts {
			numbers = append(numbers, n)
		}
	}
	for _, n := range numbers {
		if n < 0 || n > maxReported {
			return fmt.Errorf("load report of %.60q: %w: %d", r.From, errImpossibleNumber, n)
		}
	}
	return nil
}
