package dispatch_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/batch"
)

// runsOf returns how often the workers ran items whose prompt contains part.
func runsOf(workers []*worker, part string) (total int64) {
	for _, w := range workers {
		w.runs.Range(func(prompt, n any) bool {
			if strings.Contains(prompt.(string), part) {
				total += n.(*atomic.Int64).Load()
			}
			return true
		})
	}
	return total
}

// An item that fails at the engine each time runs as often as the rules allow; the others
// run once.
func TestPoisonItemFailsAfterItsAttempts(t *testing.T) {
	h := newHarness(t)
	list := prompts(2 * chunkItems)
	list[3] = "poison"
	job := h.submit(list...)
	w := h.worker("worker", time.Millisecond)
	h.awaitState(&job, batch.JobCompleted)
	h.checkOneLinePerItem(&job, 1)
	if n := runsOf([]*worker{w}, "poison"); n != int64(h.rules.MaxBatchAttempts) {
		t.Errorf("the poison item ran %d times, want %d", n, h.rules.MaxBatchAttempts)
	}
	if n := w.started.Load(); n != int64(job.Items-1+h.rules.MaxBatchAttempts) {
		t.Errorf("%d items were started", n)
	}
}

// Items that crash their engine fail; the items that ran at the engine at the same time
// complete.
func TestItemThatBreaksTheEngineFailsAlone(t *testing.T) {
	const breaking = 8
	h := newHarness(t)
	h.rules.MaxBatchAttempts = 2
	list := prompts(chunkItems)
	for i := range breaking {
		list[2*i] = fmt.Sprint("crash ", i)
	}
	job := h.submit(list...)
	w := h.worker("worker", 10*time.Millisecond)
	h.awaitState(&job, batch.JobCompleted)
	h.checkOneLinePerItem(&job, breaking)
	if n := runsOf([]*worker{w}, "crash"); n > int64(breaking*(h.rules.MaxBatchAttempts+1)) {
		t.Errorf("the items crashed the engine %d times", n)
	}
}

// An item that kills each worker that runs it fails after a bounded number of workers.
func TestItemThatEndsItsWorkerFailsInTheEnd(t *testing.T) {
	h := newHarness(t)
	list := prompts(chunkItems)
	list[5] = "kill"
	job := h.submit(list...)
	var workers []*worker
	most := serialAfterExpiries + h.rules.MaxBatchAttempts
	for i := range most + 1 {
		w := h.worker(fmt.Sprint("worker-", i), 2*time.Millisecond)
		workers = append(workers, w)
		h.eventually("the worker ends or the job does", func() bool {
			select {
			case <-w.done:
				return true
			default:
			}
			p, err := h.store.Progress(t.Context(), &job)
			return err == nil && p.Done
		})
	}
	h.awaitState(&job, batch.JobCompleted)
	h.checkOneLinePerItem(&job, 1)
	if n := runsOf(workers, "kill"); n > int64(most) {
		t.Errorf("the item ended %d workers, want at most %d", n, most)
	}
}

// serialAfterExpiries mirrors the constant of the package.
const serialAfterExpiries = 2
