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

// cancelBound is the longest time after the acknowledgement of a cancellation in which new
// items of the job may still start.
const cancelBound = 3 * time.Second

// TestCancelledJobStartsNoNewItems guards against a cancellation that is lost with the
// gateway that acknowledged it. It kills that gateway and checks that the engines receive
// no more items of the job after cancelBound, and that the finished results are readable.
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
		t.Error("all items ran before the job was cancelled; the test needs a longer job")
	}
	got, err := second.get(t.Context(), job.ID)
	if err != nil || got.Status != string(batch.JobCancelled) {
		t.Errorf("status of the cancelled job is %q (error %v)", got.Status, err)
	}
	output, err := second.results(t.Context(), got.OutputFileID)
	if err != nil || len(output) != got.RequestCounts.Completed {
		t.Errorf("%d results are readable (error %v), want %d", len(output), err, got.RequestCounts.Completed)
	}
}

// cancel cancels the job with the ID.
func (c batchClient) cancel(ctx context.Context, id string) (jobStatus, error) {
	return c.job(c.do(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "", http.NoBody, nil))
}

// submit uploads a file with the lines and submits a job for it.
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
