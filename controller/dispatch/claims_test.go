package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/standin"
	"github.com/baobablanding/baobablanding/store"
)

func TestEveryItemHasOneResultWhenWorkersAreKilled(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(200)...)
	for i := range 4 {
		w := b.worker(fmt.Sprint("doomed-", i), 10*time.Millisecond)
		b.eventually("items run", func() bool { return w.started.Load() > 10 })
		w.kill()
	}
	b.worker("survivor", 5*time.Millisecond)
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 0)
}

func TestPausedWorkerCannotCommitAfterItsLease(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(chunkItems)...)
	paused := b.worker("paused", 10*time.Millisecond)
	b.eventually("items run", func() bool { return paused.started.Load() > testSlots })
	paused.pause.Lock()
	other := b.worker("other", 5*time.Millisecond)
	b.await(&job, batch.Completed)
	paused.pause.Unlock()
	time.Sleep(2 * testLease)
	b.checkOnce(&job, 0)
	if other.started.Load() < chunkItems {
		t.Errorf("the other worker ran %d items, want all %d", other.started.Load(), chunkItems)
	}
	chunks, err := b.store.Chunks(context.Background(), job.ID)
	if err != nil || len(chunks) != 1 || chunks[0].Holder != "other" || chunks[0].Epoch != 2 {
		t.Errorf("chunks = %+v, %v; want epoch 2 of the other worker", chunks, err)
	}
}

func TestClaimsAreRenewedWhileItemsRun(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(2)...)
	slow := b.worker("slow", 3*testLease)
	b.eventually("items run", func() bool { return slow.started.Load() == 2 })
	other := b.worker("other", time.Millisecond)
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 0)
	if n := other.started.Load(); n > 0 {
		t.Errorf("another worker ran %d items of a chunk that was held", n)
	}
}

func TestLostAnswersNeitherLoseNorRepeatResults(t *testing.T) {
	for lost := 1; lost <= 12; lost++ {
		b := newBench(t)
		job := b.submit(prompts(2 * chunkItems)...)
		b.platform.Set(standin.Faults{LoseAnswers: lost})
		b.worker("worker", 2*time.Millisecond)
		b.await(&job, batch.Completed)
		b.checkOnce(&job, 0)
	}
}

func TestOutageKeepsWhatIsHeldAndTakesNoMore(t *testing.T) {
	b := newBench(t)
	const itemTime = 160 * time.Millisecond // a chunk takes longer than its lease
	job := b.submit(prompts(5 * chunkItems)...)
	w := b.worker("worker", itemTime)
	b.eventually("items run", func() bool { return w.started.Load() > 0 })
	b.platform.Set(standin.Faults{Outage: true})
	time.Sleep(3 * testLease)
	during := w.started.Load()
	if during%chunkItems != 0 || during == 0 {
		t.Errorf("%d items ran in the outage, want whole chunks", during)
	}
	time.Sleep(testLease)
	if n := w.started.Load(); n != during {
		t.Errorf("items went on from %d to %d without new claims", during, n)
	}
	b.platform.Set(standin.Faults{})
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 0)
	if n := w.started.Load(); n != int64(job.Items) {
		t.Errorf("%d items ran, want each of %d once", n, job.Items)
	}
}

func TestCancelStopsWorkersAndKeepsWhatIsComplete(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(10 * chunkItems)...)
	w := b.worker("worker", 150*time.Millisecond)
	b.eventually("a chunk is done", func() bool {
		p, err := b.store.Progress(context.Background(), &job)
		return err == nil && p.Completed > 0
	})
	job, err := b.store.Cancel(context.Background(), job.Workspace, job.ID)
	if err != nil || job.State != batch.Cancelled {
		t.Fatalf("cancel: %v, state %s", err, job.State)
	}
	atCancel, err := b.store.Progress(context.Background(), &job)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	b.eventually("running items are cut", func() bool { return w.stopped.Load() > 0 && w.up.Load.InFlight.Load() == 0 })
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("items ran on for %v", d)
	}
	ran := w.started.Load()
	time.Sleep(3 * testLease)
	if n := w.started.Load(); n != ran {
		t.Errorf("%d items started after the workers had stopped", n-ran)
	}
	after, err := b.store.Progress(context.Background(), &job)
	if err != nil || after != atCancel {
		t.Errorf("progress = %+v, %v; want %+v as at the cancel", after, err, atCancel)
	}
	if n := len(b.lines(&job, job.OutputFile())); n != atCancel.Completed {
		t.Errorf("%d results are readable, want %d", n, atCancel.Completed)
	}
}

// The commit of a holder whose lease has ended is refused from when another one
// holds the chunk, also after that one's commit.
func TestLateCommitIsRefused(t *testing.T) {
	for _, otherCommits := range []bool{false, true} {
		b := newBench(t)
		ctx := context.Background()
		job := b.submit(prompts(1)...)
		w := batch.Worker{Holder: "late", Lease: 100 * time.Millisecond}
		late, err := b.store.ClaimNext(ctx, testModel, w)
		if err != nil || late == nil {
			t.Fatalf("claim = %v, %v", late, err)
		}
		time.Sleep(2 * w.Lease)
		other, err := b.store.ClaimNext(ctx, testModel, batch.Worker{Holder: "other", Lease: w.Lease})
		if err != nil || other == nil || other.Epoch != 2 {
			t.Fatalf("second claim = %+v, %v; want epoch 2", other, err)
		}
		commit := func() error { return b.store.Commit(ctx, other, &batch.Results{Output: []byte("{}\n"), Completed: 1}) }
		if otherCommits && commit() != nil {
			t.Fatal("the holder's commit failed")
		}
		results := &batch.Results{Errors: []byte("{}\n"), Failed: 1}
		if err := b.store.Commit(ctx, late, results); err != batch.ErrLost {
			t.Errorf("late commit = %v, want %v", err, batch.ErrLost)
		}
		if err := b.store.Renew(ctx, late); err != batch.ErrLost {
			t.Errorf("late renewal = %v, want %v", err, batch.ErrLost)
		}
		if !otherCommits && commit() != nil {
			t.Fatal("the holder's commit failed")
		}
		if p, err := b.store.Progress(ctx, &job); err != nil || p.Failed != 0 || p.Completed != 1 {
			t.Errorf("progress = %+v, %v; want the holder's result", p, err)
		}
	}
}

// A worker whose commit is on its way when the job is cancelled is refused.
func TestCommitAfterCancelIsRefused(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	job := b.submit(prompts(1)...)
	claim, err := b.store.ClaimNext(ctx, testModel, batch.Worker{Holder: "worker", Lease: testLease})
	if err != nil || claim == nil {
		t.Fatalf("claim = %v, %v", claim, err)
	}
	if _, err := b.store.Cancel(ctx, job.Workspace, job.ID); err != nil {
		t.Fatal(err)
	}
	results := &batch.Results{Output: []byte("{}\n"), Completed: 1}
	if err := b.store.Commit(ctx, claim, results); err != batch.ErrCancelled {
		t.Errorf("commit = %v, want %v", err, batch.ErrCancelled)
	}
	if err := b.store.Renew(ctx, claim); err != batch.ErrCancelled {
		t.Errorf("renew = %v, want %v", err, batch.ErrCancelled)
	}
}

func TestPlannedStopGivesClaimsBackAtOnce(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(chunkItems)...)
	leaving := b.worker("leaving", 20*time.Millisecond)
	b.eventually("items run", func() bool { return leaving.started.Load() > 0 })
	leaving.board.Phase.Publish(blackboard.Draining)
	<-leaving.c.Drained()
	if n := leaving.stopped.Load(); n > 0 {
		t.Errorf("the planned stop cut %d items", n)
	}
	start := time.Now()
	other := b.worker("other", time.Millisecond)
	b.eventually("another worker goes on", func() bool { return other.started.Load() > 0 })
	if d := time.Since(start); d > testLease/2 {
		t.Errorf("the chunk was taken after %v", d)
	}
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 0)
	chunks, _ := b.store.Chunks(context.Background(), job.ID)
	if chunks[0].Lapses != 0 {
		t.Errorf("a released claim counts as lapsed")
	}
}

// Results stay readable after every worker is gone, from any daemon.
func TestResultsOutliveTheWorkers(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(3 * chunkItems)...)
	w := b.worker("worker", time.Millisecond)
	b.await(&job, batch.Completed)
	w.kill()
	b.store = batch.NewStore(b.platform.Table(time.Second), b.platform.Objects(time.Second))
	b.checkOnce(&job, 0)
}

var _ store.Table = pausedTable{}

// After an outage that outlasts every lease, holders go on with their chunks
// although idle workers look for work.
func TestOutageDoesNotMoveChunks(t *testing.T) {
	b := newBench(t)
	job := b.submit(prompts(4 * chunkItems)...)
	var workers []*worker
	for i := range 4 {
		workers = append(workers, b.worker(fmt.Sprint("worker-", i), 300*time.Millisecond))
	}
	b.eventually("every worker runs items", func() bool {
		for _, w := range workers {
			if w.started.Load() == 0 {
				return false
			}
		}
		return true
	})
	b.platform.Set(standin.Faults{Outage: true})
	time.Sleep(2 * testLease)
	idle := b.worker("idle", time.Millisecond)
	time.Sleep(testLease)
	b.platform.Set(standin.Faults{})
	b.await(&job, batch.Completed)
	b.checkOnce(&job, 0)
	if n := idle.started.Load(); n > 0 {
		t.Errorf("an idle worker ran %d items of chunks that were held", n)
	}
	chunks, err := b.store.Chunks(context.Background(), job.ID)
	if err != nil {
		t.Fatal(err)
	}
	for i := range chunks {
		if chunks[i].Epoch != 1 {
			t.Errorf("chunk %d was claimed %d times", i, chunks[i].Epoch)
		}
	}
}
