package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/batch"
)

// callsDuring returns the number of the store's reads and writes while f runs.
func (h *harness) callsDuring(f func()) (reads, writes float64) {
	r0, w0 := h.platform.CallCounts()
	f()
	r1, w1 := h.platform.CallCounts()
	return float64(r1 - r0), float64(w1 - w0)
}

// TestStoreCallsOfAChunk bounds the store calls for one chunk. docs/MEASUREMENTS-batch.md
// derives the store's load at the target fleet size from these bounds.
func TestStoreCallsOfAChunk(t *testing.T) {
	const (
		chunks    = 60
		maxReads  = 11.0 // for a chunk
		maxWrites = 3.5
	)
	for _, workers := range []int{1, 14} {
		h := newHarness(t)
		h.vms = 410
		var job batch.Job
		reads, writes := h.callsDuring(func() { job = h.submit(prompts(chunks * chunkItems)...) })
		t.Logf("accepting %d chunks: %.2f reads and %.2f writes for a chunk", chunks, reads/chunks, writes/chunks)
		reads, writes = h.callsDuring(func() {
			for i := range workers {
				h.worker(fmt.Sprint("worker-", i), 10*time.Millisecond)
			}
			for {
				if p, err := h.store.Progress(t.Context(), &job); err == nil && p.Done {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		t.Logf("%2d workers on one job: %.2f reads and %.2f writes for a chunk", workers, reads/chunks, writes/chunks)
		if workers == 1 && (reads/chunks > maxReads || writes/chunks > maxWrites) {
			t.Errorf("more than %v reads or %v writes for a chunk", maxReads, maxWrites)
		}
	}
}

// TestStoreCallsOfAnIdleWorker bounds the polls of a worker that has no work.
func TestStoreCallsOfAnIdleWorker(t *testing.T) {
	const (
		seconds  = 5.0
		maxReads = 1.5 // a second
	)
	h := newHarness(t)
	h.vms = 410
	h.lease = 30 * time.Second
	w := h.worker("idle", time.Millisecond)
	time.Sleep(time.Second)
	reads, writes := h.callsDuring(func() { time.Sleep(seconds * time.Second) })
	t.Logf("idle worker: %.2f reads and %.2f writes a second", reads/seconds, writes/seconds)
	if reads/seconds > maxReads || writes > 0 {
		t.Errorf("more than %v reads a second, or a write", maxReads)
	}
	if n := w.started.Load(); n > 0 {
		t.Errorf("%d items ran", n)
	}
}
