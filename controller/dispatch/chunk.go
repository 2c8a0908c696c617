package dispatch

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/result"
)

// serialAfterExpiries is the number of expired leases after which the items of a chunk run
// one at a time, to find the item that may end the process of its holder.
const serialAfterExpiries = 2

// chunkRun is the work on one claimed chunk. It belongs to the controller's goroutine;
// claim belongs to the store call that runs while calling is set.
type chunkRun struct {
	c      *Controller
	claim  *batch.Claim
	items  []batch.Item
	ctx    context.Context
	cancel context.CancelFunc

	serial          bool  // items run one at a time, each marked in the store before it starts
	pending         []int // items to start, in this order
	isolated        []int // items to start while no other item of this agent is at the engine
	running         int
	started         int         // attempts of all items so far; makes request ids unique
	countedAttempts []int       // attempts that count towards the limit, by item
	earliestStart   []time.Time // earliest next start, by item
	lines           [][]byte    // result or error line, by item
	failed          []bool
	unfinished      int // number of items without a line
	bytes           int // of inputs and lines

	calling          bool      // a store call for the claim is in flight
	validUntil       time.Time // end of the lease by this process's clock
	renewAt          time.Time
	commitAt         time.Time
	storeUnavailable bool // the last renewal got no response from the store
	dropped          bool
}

// newChunkRun returns the work on the claimed chunk with the given items.
func newChunkRun(c *Controller, claim *batch.Claim, items []batch.Item) *chunkRun {
	r := &chunkRun{
		c: c, claim: claim, items: items,
		serial:          claim.Expiries >= serialAfterExpiries,
		countedAttempts: make([]int, len(items)),
		earliestStart:   make([]time.Time, len(items)),
		lines:           make([][]byte, len(items)),
		failed:          make([]bool, len(items)),
		unfinished:      len(items),
		validUntil:      claim.ValidUntil,
		renewAt:         claim.ValidUntil.Add(-c.Lease + c.Lease/renewalsPerLease),
	}
	r.ctx, r.cancel = context.WithCancel(c.ctx)
	r.queueItems()
	return r
}

// queueItems queues the items. An item fails at once if as many leases expired while it ran
// alone as it may have attempts. In a serial chunk all other items run alone, those with the
// fewest such expiries first.
func (r *chunkRun) queueItems() {
	for i := range r.items {
		r.bytes += len(r.items[i].Body)
		if r.claim.SoloExpiries[i+1] >= r.maxAttempts() {
			r.recordFailure(i, result.New(result.OutcomeUnknown, result.MayHaveRun))
			continue
		}
		r.pending = append(r.pending, i)
	}
	if r.serial {
		slices.SortStableFunc(r.pending, func(a, b int) int { return r.claim.SoloExpiries[a+1] - r.claim.SoloExpiries[b+1] })
		r.pending, r.isolated = nil, r.pending
	}
}

// maxAttempts returns the number of attempts after which an item fails.
func (r *chunkRun) maxAttempts() int {
	return r.c.board.Config.Value().View.Inventory.Rules.MaxBatchAttempts
}

// canStart reports whether items may be started under the lease. A lease that has ended is
// renewed first, unless the store is unavailable: then no other worker can claim the chunk.
// Items of a serial chunk start only while it is the only held chunk and no store call for
// it is in flight.
func (r *chunkRun) canStart(now time.Time) bool {
	if r.serial && (r.calling || len(r.c.held) > 1) {
		return false
	}
	return now.Before(r.validUntil) || r.storeUnavailable
}

// needsIsolation reports whether all items that are left to start must run alone, none
// runs, and the first of them may start now.
func (r *chunkRun) needsIsolation(now time.Time) bool {
	return len(r.pending) == 0 && r.running == 0 && len(r.isolated) > 0 && !now.Before(r.earliestStart[r.isolated[0]])
}

// nextPending returns the first pending item that may start now, or false.
func (r *chunkRun) nextPending(now time.Time) (int, bool) {
	for _, index := range r.pending {
		if !now.Before(r.earliestStart[index]) {
			return index, true
		}
	}
	return 0, false
}

// nextStart returns the earliest time at which a delayed item, or the workspace, may start
// again. Without such a time it is one lease from now.
func (r *chunkRun) nextStart(now time.Time) time.Time {
	next := now.Add(r.c.Lease)
	for _, index := range slices.Concat(r.pending, r.isolated) {
		if r.earliestStart[index].After(now) {
			next = earlier(next, r.earliestStart[index])
		}
	}
	if b := r.c.budgetOf(r.claim.JobRecord.Workspace); b.notBefore.After(now) {
		next = earlier(next, b.notBefore)
	}
	return next
}

// maintain renews the lease or commits the results when that is due, and returns when to
// call it again.
func (r *chunkRun) maintain(now time.Time) time.Time {
	if r.calling {
		return now.Add(r.c.Lease)
	}
	if r.unfinished == 0 && !now.Before(r.commitAt) {
		r.commit()
		return now.Add(r.c.Lease)
	}
	if !now.Before(r.renewAt) {
		r.callStore(r.renew, r.onRenewed)
		return now.Add(r.c.Lease)
	}
	if r.unfinished == 0 {
		return earlier(r.renewAt, r.commitAt)
	}
	return r.renewAt
}

// callStore runs a store call for the claim on another goroutine, and then done with its
// error on the controller's, unless the chunk was dropped meanwhile. One call is in flight
// at a time.
func (r *chunkRun) callStore(work func(context.Context, *batch.Claim) error, done func(error)) {
	r.calling = true
	r.c.async(func() func() {
		ctx, cancel := context.WithTimeout(r.c.ctx, storeTimeout)
		defer cancel()
		err := work(ctx, r.claim)
		return func() {
			r.calling = false
			r.c.outage.observe(err, time.Now())
			if !r.dropped {
				done(err)
			}
		}
	})
}

// renew renews the lease. A renewal that gets no answer ends early enough to be repeated
// within the lease.
func (r *chunkRun) renew(ctx context.Context, claim *batch.Claim) error {
	ctx, cancel := context.WithTimeout(ctx, r.c.Lease/renewalsPerLease)
	defer cancel()
	return r.c.Store.Renew(ctx, claim)
}

// onRenewed handles the end of a renewal.
func (r *chunkRun) onRenewed(err error) {
	switch {
	case err == nil:
		r.storeUnavailable = false
		r.validUntil = r.claim.ValidUntil
		r.renewAt = r.validUntil.Add(-r.c.Lease + r.c.Lease/renewalsPerLease)
	case batch.IsClaimLost(err):
		r.onClaimLost(err)
	default:
		r.storeUnavailable = true
		r.renewAt = r.c.storeRetryTime()
	}
}

// commit stores the results of all items, and completes the job if all its chunks are done.
func (r *chunkRun) commit() {
	results := r.results()
	r.callStore(func(ctx context.Context, claim *batch.Claim) error {
		if err := r.c.Store.Commit(ctx, claim, results); err != nil {
			return err
		}
		// The error is ignored: if this fails, the next reader of the job completes it.
		_ = r.c.Store.CompleteIfDone(ctx, claim.Job)
		return nil
	}, r.onCommitted)
}

// results returns the result and error lines, each in the order of the items.
func (r *chunkRun) results() *batch.ChunkResults {
	var output, failures bytes.Buffer
	out := new(batch.ChunkResults)
	for i, line := range r.lines {
		if r.failed[i] {
			out.Failed++
			failures.Write(line)
		} else {
			out.Completed++
			output.Write(line)
		}
	}
	out.Output, out.Errors = output.Bytes(), failures.Bytes()
	return out
}

// onCommitted handles the end of a commit. A commit that failed is repeated unless the
// claim was lost.
func (r *chunkRun) onCommitted(err error) {
	switch {
	case err == nil:
		r.c.Metrics.chunks.WithLabelValues("committed").Inc()
		r.drop()
	case batch.IsClaimLost(err):
		r.onClaimLost(err)
	default:
		r.commitAt = r.c.storeRetryTime()
	}
}

// onClaimLost stops the work on a chunk whose claim was lost or whose job was cancelled.
// The other chunks of a cancelled job stop as well.
func (r *chunkRun) onClaimLost(err error) {
	outcome := "lost"
	if errors.Is(err, batch.ErrCancelled) {
		outcome = "cancelled"
		defer r.c.cancelJobs([]string{r.claim.Job})
	}
	r.c.Metrics.chunks.WithLabelValues(outcome).Inc()
	r.c.Log.Info().Str("job", r.claim.Job).Int("chunk", r.claim.Index).Str("outcome", outcome).Msg("batch claim ended")
	r.drop()
}

// drop cancels the items that run and removes the chunk from the controller.
func (r *chunkRun) drop() {
	r.dropped = true
	r.c.drop(r)
}

// release gives the chunk back so that another worker can claim it at once, unless an item
// or a store call runs or all items have their lines. The error is ignored: if the call
// fails, the lease expires.
func (r *chunkRun) release() {
	if r.calling || r.running > 0 || r.unfinished == 0 {
		return
	}
	r.callStore(r.c.Store.Release, func(error) {
		r.c.Metrics.chunks.WithLabelValues("released").Inc()
		r.drop()
	})
}
