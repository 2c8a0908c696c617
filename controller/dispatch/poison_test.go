package dispatch_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/batch"
)

func runsOf(workers []*worker, part string) (total int64) {
	for _, w := range workers {
		w.ran.Range(func(prompt, n any) bool {
			if strings.Contains(prompt.(string), part) {
				total += n.(*atomic.Int64).Load()
			}
			return true
		})
	}
	return total
}

func TestPoisonItemFailsAfterItsAttempts(t *testing.T) {
	b := newBench(t)
	list := prompts(2 * chunkItems)
	list[3] = "poison"
	job := b.submit(list...)
	w := b.worker("worker", time.Millisecond)
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 1)
	if n := runsOf([]*worker{w}, "poison"); n != int64(b.rules.BatchAttempts) {
		t.Errorf("the poison item ran %d times, want %d", n, b.rules.BatchAttempts)
	}
	if n := w.started.Load(); n != int64(job.Items-1+b.rules.BatchAttempts) {
		t.Errorf("%d items were started", n)
	}
}

// An item that breaks its engine fails; those that ran beside it do not.
func TestItemThatBreaksTheEngineFailsAlone(t *testing.T) {
	const breaking = 8
	b := newBench(t)
	b.rules.BatchAttempts = 2
	list := prompts(chunkItems)
	for i := range breaking {
		list[2*i] = fmt.Sprint("crash ", i)
	}
	job := b.submit(list...)
	w := b.worker("worker", 10*time.Millisecond)
	b.await(&job, batch.Completed)
	b.checkOnce(&job, breaking)
	if n := runsOf([]*worker{w}, "crash"); n > int64(breaking*(b.rules.BatchAttempts+1)) {
		t.Errorf("the items broke the engine %d times", n)
	}
}

// An item that ends its worker fails after a bounded number of workers.
func TestItemThatEndsItsWorkerFailsInTheEnd(t *testing.T) {
	b := newBench(t)
	list := prompts(chunkItems)
	list[5] = "kill"
	job := b.submit(list...)
	var workers []*worker
	most := carefulAfter + b.rules.BatchAttempts
	for i := range most + 1 {
		w := b.worker(fmt.Sprint("worker-", i), 2*time.Millisecond)
		workers = append(workers, w)
		b.eventually("the worker ends or the job does", func() bool {
			select {
			case <-w.done:
				return true
			default:
			}
			p, err := b.store.Progress(t.Context(), &job)
			return err == nil && p.Done
		})
	}
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 1)
	if n := runsOf(workers, "kill"); n > int64(most) {
		t.Errorf("the item ended %d workers, want at most %d", n, most)
	}
}

const carefulAfter = 2
