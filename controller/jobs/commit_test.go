package jobs

import (
	"strings"
	"testing"

	"github.com/baobablanding/baobablanding/job"
)

// TestLargeResultsFitIntoATransaction guards against a job that never completes because its
// next results are together larger than a transaction of the store may be.
func TestLargeResultsFitIntoATransaction(t *testing.T) {
	const maxTxBytes, rowsOverhead = 1e6, 20e3 // bytes; keys and conditions
	result := func(size int) job.ItemResult {
		return job.ItemResult{Result: job.Result{ID: "i", State: job.Completed, Output: strings.Repeat("\x01", size/6)}}
	}
	for _, size := range []int{0, 1000, job.MaxOutputBytes / 3, job.MaxOutputBytes} {
		finished := make([]job.ItemResult, 2*maxCommitResults)
		for i := range finished {
			finished[i] = result(size)
		}
		next := nextResults(finished)
		bytes := 0
		for _, r := range next {
			bytes += job.EncodedSize([]byte(r.Result.Output)) * 4 / 3 // base64
		}
		if len(next) == 0 || len(next) > maxCommitResults || bytes > maxTxBytes-rowsOverhead || size <= 1000 && len(next) != maxCommitResults {
			t.Errorf("outputs of %d bytes: %d results of %d bytes", size, len(next), bytes)
		}
	}
}
