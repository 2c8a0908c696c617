package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/baobablanding/baobablanding/standin"
)

// chunkOp is a call on one chunk.
type chunkOp struct {
	kind  string // "claim", "commit", "cancel" or "read"
	epoch int    // of the claim that commits
}

// chunkResult is the outcome of a chunkOp as its caller saw it.
type chunkResult struct {
	unknown bool // the call may have taken effect or may yet do so
	ok      bool
	epoch   int // of the new claim, or of the results that were read; 0 for no results
}

// chunkState is the state of a chunk in the sequential model. done is the epoch whose
// results were committed, or 0.
type chunkState struct {
	epoch, done int
	cancelled   bool
}

// stepChunk returns the states that a chunk in state s can have after a call with the
// given outcome. There are none if the outcome is impossible in s.
func stepChunk(s chunkState, op chunkOp, out chunkResult) []chunkState {
	open := s.done == 0 && !s.cancelled
	next := s
	applies := false
	switch op.kind {
	case "claim":
		next.epoch = out.epoch // claims whose response was lost leave gaps
		applies = open && out.epoch > s.epoch
	case "commit":
		next.done = op.epoch
		applies = s.done == op.epoch || open && s.epoch == op.epoch
	case "cancel":
		next.cancelled = true
		applies = true
	case "read":
		return states(out.epoch == s.done, s)
	}
	if out.unknown {
		return append(states(applies, next), s)
	}
	if out.ok {
		return states(applies, next)
	}
	return states(!applies, s)
}

// states returns s alone if it is possible, or no state.
func states(ok bool, s chunkState) []chunkState {
	if !ok {
		return nil
	}
	return []chunkState{s}
}

var chunkModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{chunkState{}} },
	Step: func(state, input, output any) []any {
		var all []any
		for _, s := range stepChunk(state.(chunkState), input.(chunkOp), output.(chunkResult)) {
			all = append(all, s)
		}
		return all
	},
}

// chunkHistory records the calls on one chunk. It may be used by several goroutines.
type chunkHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// record makes a call and adds it to the history. Reads without an outcome are left out.
func (h *chunkHistory) record(client int, op chunkOp, call func() chunkResult) {
	began := time.Since(h.start)
	out := call()
	if op.kind == "read" && out.unknown {
		return
	}
	h.add(client, op, out, began)
}

// add adds a call that began at the given time since the start and ends now.
func (h *chunkHistory) add(client int, op chunkOp, out chunkResult, began time.Duration) {
	ended := time.Since(h.start).Nanoseconds()
	if out.unknown {
		ended = math.MaxInt64 // the call may take effect later
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: began.Nanoseconds(), Output: out, Return: ended})
}

const (
	historyLease = 20 * time.Millisecond
	checkTimeout = 5 * time.Second
)

// claimer claims the chunk, holds it for a random time, which may be longer than its
// lease, and commits results or stops without releasing the claim. It repeats this until
// stop.
func (a *acceptTest) claimer(h *chunkHistory, id int, stop time.Time) {
	ctx := context.Background()
	w := Worker{Holder: fmt.Sprint("worker-", id), Lease: historyLease}
	for time.Now().Before(stop) {
		began := time.Since(h.start)
		c, _ := a.ClaimNext(ctx, "m1", w)
		if c == nil {
			time.Sleep(historyLease / 4)
			continue
		}
		h.add(id, chunkOp{kind: "claim"}, chunkResult{ok: true, epoch: c.Epoch}, began)
		time.Sleep(rand.N(2 * historyLease))
		if rand.IntN(2) == 0 && a.Renew(ctx, c) == nil {
			time.Sleep(rand.N(2 * historyLease))
		}
		if rand.IntN(2) > 0 {
			continue // as if the worker had crashed
		}
		results := &ChunkResults{Output: fmt.Appendf(nil, "%d\n", c.Epoch), Completed: 1}
		h.record(id, chunkOp{kind: "commit", epoch: c.Epoch}, func() chunkResult {
			err := a.Commit(ctx, c, results)
			return chunkResult{ok: err == nil, unknown: err != nil && !IsClaimLost(err)}
		})
	}
}

// read returns the epoch of the results that a caller reads, or 0 if there are none.
func (a *acceptTest) read(job *Job) chunkResult {
	body, err := a.Content(context.Background(), job.Workspace, job.OutputFile())
	if err != nil {
		return chunkResult{unknown: true}
	}
	defer body.Close()
	var epoch int
	_, err = fmt.Fscan(body, &epoch)
	return chunkResult{ok: true, epoch: epoch, unknown: err != nil && !errors.Is(err, io.EOF)}
}

func (a *acceptTest) cancel(h *chunkHistory, client int, job *Job) {
	h.record(client, chunkOp{kind: "cancel"}, func() chunkResult {
		_, err := a.Cancel(context.Background(), job.Workspace, job.ID)
		return chunkResult{ok: err == nil, unknown: err != nil}
	})
}

// TestChunkHistoriesAreLinearizable runs claims, late commits, cancellations and reads of
// one chunk against a store that loses responses and is unavailable at times. The calls
// must be linearizable: committed results are neither lost nor replaced, and none are
// added after a cancellation.
func TestChunkHistoriesAreLinearizable(t *testing.T) {
	const runs, workers, runTime = 24, 4, 200 * time.Millisecond
	commits := 0
	for run := range runs {
		a := newAcceptTest(t)
		job, err := a.Accept(t.Context(), a.submission(a.file(itemLine("a", "m1")), ""), a.rules)
		if err != nil {
			t.Fatal(err)
		}
		h := &chunkHistory{start: time.Now()}
		stop := time.Now().Add(runTime)
		var wg sync.WaitGroup
		for id := range workers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				a.claimer(h, id, stop)
			}()
		}
		cancelAt := time.Now().Add(rand.N(runTime / 2))
		cancelled := run%2 == 1
		for time.Now().Before(stop) {
			if !cancelled && time.Now().After(cancelAt) {
				cancelled = true
				a.platform.SetFaults(standin.Faults{})
				a.cancel(h, workers, &job)
			}
			a.platform.SetFaults(standin.Faults{DropResponses: rand.IntN(3), Outage: rand.IntN(4) == 0})
			time.Sleep(rand.N(30 * time.Millisecond))
			h.record(workers, chunkOp{kind: "read"}, func() chunkResult { return a.read(&job) })
		}
		a.platform.SetFaults(standin.Faults{})
		wg.Wait()
		h.record(workers, chunkOp{kind: "read"}, func() chunkResult { return a.read(&job) })
		if r := porcupine.CheckOperationsTimeout(chunkModel.ToModel(), h.ops, checkTimeout); r != porcupine.Ok {
			t.Errorf("run %d: the history of %d calls was not shown to be linearizable: %v", run, len(h.ops), r)
		}
		if p, err := a.Progress(t.Context(), &job); err == nil && p.Done {
			commits++
		}
	}
	t.Logf("%d of %d runs ended with a commit", commits, runs)
}
