package prooftest_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/history"
)

// cancelBound is the longest time from the acknowledgement of a cancellation
// until no new item of the job starts.
const cancelBound = 3 * time.Second

// TestCancelledJobStartsNoNewItems cancels a job, kills the gateway that acknowledged it
// and checks that the engines get no more of its items.
func TestCancelledJobStartsNoNewItems(t *testing.T) {
	t.Parallel()
	const items = 2000
	f := startBatchFleet(t, fleet.DefaultChunkItems)
	_, lines := batchItems(devfleet.ModelName, items, items)
	first, second := batchClientAt(f, 0), batchClientAt(f, 1)
	job := submit(t, first, lines)
	eventually(t, "items run", func() bool { return len(arrivals(t, &f.Inventory)) > batchChunkItems })
	if _, err := first.cancel(t.Context(), job.ID); err != nil {
		t.Fatal(err)
	}
	cancelled := time.Now()
	f.Process(f.Inventory.Gateways[0].Name).Kill()
	time.Sleep(cancelBound + time.Second)
	arrived := arrivals(t, &f.Inventory)
	checkGuarantee(t, "a cancelled job stops", history.CheckNoWorkAfter(arrived, cancelled, cancelBound, func(history.Arrival) bool { return true }))
	if len(arrived) == items {
		t.Error("the job had ended before it was cancelled")
	}
	got, err := second.get(t.Context(), job.ID)
	if err != nil || got.Status != string(batch.JobCancelled) {
		t.Errorf("the job's status is %q (%v)", got.Status, err)
	}
	output, err := second.results(t.Context(), got.OutputFileID)
	if err != nil || len(output) != got.RequestCounts.Completed {
		t.Errorf("%d results are readable (%v), not %d", len(output), err, got.RequestCounts.Completed)
	}
}

func (c batchClient) cancel(ctx context.Context, id string) (jobStatus, error) {
	return c.decodeJob(c.do(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "", http.NoBody, nil))
}

// submit uploads a file and submits its job.
func submit(t *testing.T, c batchClient, lines string) jobStatus {
	t.Helper()
	file, err := c.upload(t.Context(), lines)
	if err != nil {
		t.Fatal(err)
	}
	job, err := c.create(t.Context(), file, "job-of-"+file)
	if err != nil {
		t.Fatal(err)
	}
	return job
}
