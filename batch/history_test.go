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
	kind  string // claim, commit, cancel or read
	epoch int    // of a commit
}

// chunkResult is what the caller of a chunkOp learnt.
type chunkResult struct {
	unknown bool
	ok      bool
	epoch   int // claimed, or of the results that were read
}

// chunkState is a chunk of the sequential model.
type chunkState struct {
	epoch, done int
	cancelled   bool
}

// stepChunk returns the states in which a chunk can be after the call.
func stepChunk(s chunkState, op chunkOp, out chunkResult) []chunkState {
	open := s.done == 0 && !s.cancelled
	next := s
	applies := false
	switch op.kind {
	case "claim":
		next.epoch = out.epoch // claims without an answer leave gaps
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

// chunkHistory records calls on one chunk.
type chunkHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *chunkHistory) record(client int, op chunkOp, call func() chunkResult) {
	began := time.Since(h.start)
	out := call()
	if op.kind == "read" && out.unknown {
		return
	}
	h.add(client, op, out, began)
}

func (h *chunkHistory) add(client int, op chunkOp, out chunkResult, began time.Duration) {
	ended := time.Since(h.start).Nanoseconds()
	if out.unknown {
		ended = math.MaxInt64 // it may take effect later
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: began.Nanoseconds(), Output: out, Return: ended})
}

const (
	historyLease = 20 * time.Millisecond
	checkTimeout = 5 * time.Second
)

// claimer claims the chunk, holds it for a random time, sometimes for longer
// than its lease, and commits.
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
			continue // it vanishes
		}
		results := &Results{Output: fmt.Appendf(nil, "%d\n", c.Epoch), Completed: 1}
		h.record(id, chunkOp{kind: "commit", epoch: c.Epoch}, func() chunkResult {
			err := a.Commit(ctx, c, results)
			return chunkResult{ok: err == nil, unknown: err != nil && !IsLost(err)}
		})
	}
}

// read returns the epoch whose results a reader gets, or 0.
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

// TestChunkHistoriesAreLinearizable runs claims, late commits, cancels and
// reads of one chunk against a store that loses answers and is out at times.
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
				a.platform.Set(standin.Faults{})
				a.cancel(h, workers, &job)
			}
			a.platform.Set(standin.Faults{LoseAnswers: rand.IntN(3), Outage: rand.IntN(4) == 0})
			time.Sleep(rand.N(30 * time.Millisecond))
			h.record(workers, chunkOp{kind: "read"}, func() chunkResult { return a.read(&job) })
		}
		a.platform.Set(standin.Faults{})
		wg.Wait()
		h.record(workers, chunkOp{kind: "read"}, func() chunkResult { return a.read(&job) })
		if r := porcupine.CheckOperationsTimeout(chunkModel.ToModel(), h.ops, checkTimeout); r != porcupine.Ok {
			t.Errorf("run %d: the history of %d calls is not shown to be linearizable: %v", run, len(h.ops), r)
		}
		if p, err := a.Progress(t.Context(), &job); err == nil && p.Done {
			commits++
		}
	}
	t.Logf("%d of %d runs ended with a commit", commits, runs)
}
