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

// carefulLapses is the number of vanished holders after which the items of a
// chunk run one by one.
const carefulLapses = 2

// chunkRun is a held chunk. It belongs to the controller's goroutine; the
// claim belongs to the store call that runs while busy is set.
type chunkRun struct {
	c      *Controller
	claim  *batch.Claim
	items  []batch.Item
	ctx    context.Context
	cancel context.CancelFunc

	careful  bool  // items run one by one, each marked in the store
	pending  []int // items to start
	suspects []int // items to start alone
	running  int
	runs     int         // attempts so far
	tries    []int       // attempts that count, by item
	notStart []time.Time // when an item may start again
	lines    [][]byte    // result or error line, by item
	failed   []bool
	left     int // items without a line
	bytes    int

	busy       bool      // a store call for the claim runs
	validUntil time.Time // end of the lease
	renewAt    time.Time
	commitAt   time.Time
	outage     bool // the store did not answer the last renewal
	dropped    bool
}

func newChunkRun(c *Controller, claim *batch.Claim, items []batch.Item) *chunkRun {
	r := &chunkRun{
		c: c, claim: claim, items: items,
		careful:    claim.Lapses >= carefulLapses,
		tries:      make([]int, len(items)),
		notStart:   make([]time.Time, len(items)),
		lines:      make([][]byte, len(items)),
		failed:     make([]bool, len(items)),
		left:       len(items),
		validUntil: claim.ValidUntil,
		renewAt:    claim.ValidUntil.Add(-c.Lease + c.Lease/renewalParts),
	}
	r.ctx, r.cancel = context.WithCancel(c.ctx)
	r.sort()
	return r
}

// sort decides how each item starts.
func (r *chunkRun) sort() {
	for i := range r.items {
		r.bytes += len(r.items[i].Body)
		if r.claim.Deaths[i+1] >= r.limit() {
			r.fail(i, result.New(result.OutcomeUnknown, result.MayHaveRun))
			continue
		}
		r.pending = append(r.pending, i)
	}
	if r.careful {
		slices.SortStableFunc(r.pending, func(a, b int) int { return r.claim.Deaths[a+1] - r.claim.Deaths[b+1] })
		r.pending, r.suspects = nil, r.pending
	}
}

// limit returns the number of attempts before an item fails.
func (r *chunkRun) limit() int {
	return r.c.board.Config.Value().View.Inventory.Rules.BatchAttempts
}

// mayStart tells whether items may be started under the lease. A lease that
// has ended is renewed first, unless the store is out: then nobody else can
// take the chunk over.
func (r *chunkRun) mayStart(now time.Time) bool {
	if r.careful && (r.busy || len(r.c.held) > 1) {
		return false
	}
	return now.Before(r.validUntil) || r.outage
}

// wantsAlone tells whether only items are left that must run alone.
func (r *chunkRun) wantsAlone(now time.Time) bool {
	return len(r.pending) == 0 && r.running == 0 && len(r.suspects) > 0 && !now.Before(r.notStart[r.suspects[0]])
}

// nextPending returns the first item that may start now.
func (r *chunkRun) nextPending(now time.Time) (int, bool) {
	for _, index := range r.pending {
		if !now.Before(r.notStart[index]) {
			return index, true
		}
	}
	return 0, false
}

// nextStart returns when a waiting item may start.
func (r *chunkRun) nextStart(now time.Time) time.Time {
	next := now.Add(r.c.Lease)
	for _, index := range slices.Concat(r.pending, r.suspects) {
		if r.notStart[index].After(now) {
			next = earlier(next, r.notStart[index])
		}
	}
	if g := r.c.grantOf(r.claim.JobRecord.Workspace); g.notBefore.After(now) {
		next = earlier(next, g.notBefore)
	}
	return next
}

// renew extends the lease or stores the results when that is due, and returns
// when to look again.
func (r *chunkRun) renew(now time.Time) time.Time {
	if r.busy {
		return now.Add(r.c.Lease)
	}
	if r.left == 0 && !now.Before(r.commitAt) {
		r.commit()
		return now.Add(r.c.Lease)
	}
	if !now.Before(r.renewAt) {
		r.call(r.c.Store.Renew, r.renewed)
		return now.Add(r.c.Lease)
	}
	if r.left == 0 {
		return earlier(r.renewAt, r.commitAt)
	}
	return r.renewAt
}

// call runs a store call for the claim and hands its error to done.
func (r *chunkRun) call(work func(context.Context, *batch.Claim) error, done func(error)) {
	r.busy = true
	r.c.async(func() func() {
		ctx, cancel := context.WithTimeout(r.c.ctx, storeTimeout)
		defer cancel()
		err := work(ctx, r.claim)
		return func() {
			r.busy = false
			r.c.noteStore(err)
			if !r.dropped {
				done(err)
			}
		}
	})
}

func (r *chunkRun) renewed(err error) {
	switch {
	case err == nil:
		r.outage = false
		r.validUntil = r.claim.ValidUntil
		r.renewAt = r.validUntil.Add(-r.c.Lease + r.c.Lease/renewalParts)
	case batch.IsLost(err):
		r.lost(err)
	default:
		r.outage = true
		r.renewAt = r.c.retryStore()
	}
}

// commit stores the results.
func (r *chunkRun) commit() {
	results := r.results()
	r.call(func(ctx context.Context, claim *batch.Claim) error {
		if err := r.c.Store.Commit(ctx, claim, results); err != nil {
			return err
		}
		// A reader of the job completes it if this fails.
		_ = r.c.Store.Finish(ctx, claim.Job)
		return nil
	}, r.committed)
}

func (r *chunkRun) results() *batch.Results {
	var output, failures bytes.Buffer
	out := new(batch.Results)
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

func (r *chunkRun) committed(err error) {
	switch {
	case err == nil:
		r.c.Metrics.chunks.WithLabelValues("committed").Inc()
		r.drop()
	case batch.IsLost(err):
		r.lost(err)
	default:
		r.commitAt = r.c.retryStore()
	}
}

// lost stops a chunk that is no longer held.
func (r *chunkRun) lost(err error) {
	outcome := "lost"
	if errors.Is(err, batch.ErrCancelled) {
		outcome = "cancelled"
		defer r.c.cancelJobs([]string{r.claim.Job})
	}
	r.c.Metrics.chunks.WithLabelValues(outcome).Inc()
	r.c.Log.Info().Str("job", r.claim.Job).Int("chunk", r.claim.Index).Str("outcome", outcome).Msg("batch claim ended")
	r.drop()
}

func (r *chunkRun) drop() {
	r.dropped = true
	r.c.drop(r)
}

// release gives the chunk back if none of its items runs.
func (r *chunkRun) release() {
	if r.busy || r.running > 0 || r.left == 0 {
		return
	}
	r.call(r.c.Store.Release, func(error) {
		r.c.Metrics.chunks.WithLabelValues("released").Inc()
		r.drop()
	})
}
