package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	policy "github.com/baobablanding/baobablanding/policy/batch"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	maxLeasesScanned = 8 // per call of ClaimNext
	maxFlowsTried    = 4 // per call of ClaimNext

	// leaseGraceDivisor is the divisor of the lease time that gives the grace period:
	// a worker takes a chunk over only this long after its lease ended, since the
	// clocks of the workers may differ.
	leaseGraceDivisor = 10
)

// ErrClaimLost reports that a claim is no longer held, usually because another worker claimed
// the chunk after the lease had ended.
var ErrClaimLost = errors.New("batch: claim is no longer held")

// ErrCancelled reports that the job of a claim was cancelled.
var ErrCancelled = errors.New("batch: job was cancelled")

// Claim is a chunk claimed by this process. It must be used by one goroutine at a time.
type Claim struct {
	Chunk
	// JobRecord is the chunk's job as of the claim.
	JobRecord Job
	// ValidUntil is the end of the lease by the clock of this process, counted from
	// the time at which the claim or its last renewal was sent.
	ValidUntil time.Time

	version    uint64 // of the chunk's record
	jobVersion uint64 // of the job's record
	lease      time.Duration
	leaseKeys  []string // keys of the lease records that may exist
}

// Worker describes the process that claims chunks.
type Worker struct {
	// Holder identifies the process within the fleet.
	Holder string
	// Lease is how long a claim lasts if it is not renewed.
	Lease time.Duration
	// NewChunksOnly makes the worker claim only chunks that were never claimed. Chunks
	// whose lease ended are left alone, since their holders may have failed to renew
	// it only because the store was unavailable; so are chunks that were released.
	NewChunksOnly bool
}

// ClaimNext claims a chunk of the model: one whose lease ended or that was released, or
// else the next one of the queue. It returns nil if there is none, and a contention error
// if other workers claimed all chunks that it tried.
func (s *Store) ClaimNext(ctx context.Context, model string, w Worker) (*Claim, error) {
	if !w.NewChunksOnly {
		c, err := s.claimExpired(ctx, model, w)
		if err != nil || c != nil {
			return c, err
		}
	}
	return s.claimQueued(ctx, model, w)
}

// claimExpired claims a chunk whose lease ended longer ago than the grace period. This
// includes chunks that were released, as their lease ends at time 0.
func (s *Store) claimExpired(ctx context.Context, model string, w Worker) (*Claim, error) {
	records, err := s.table.Scan(ctx, leasePrefix(model), "", maxLeasesScanned)
	if err != nil {
		return nil, storeError(err)
	}
	for i := range records {
		if time.Since(leaseEnd(model, records[i].Key)) < w.Lease/leaseGraceDivisor {
			return nil, nil
		}
		c, err := s.takeOver(ctx, &records[i], w)
		if err != nil || c != nil {
			return c, err
		}
	}
	return nil, nil
}

// takeOver claims the chunk of a lease that ended, under the next epoch. If the lease
// belongs to an earlier claim, or the chunk or its job has ended, it only removes the
// lease and returns nil.
func (s *Store) takeOver(ctx context.Context, record *store.Record, w Worker) (*Claim, error) {
	var lease leaseRecord
	if err := decode(record, &lease); err != nil {
		return nil, err
	}
	var chunk Chunk
	version, err := s.get(ctx, chunkKey(lease.Job, lease.Index), &chunk)
	if err != nil {
		return nil, storeError(err)
	}
	job, jobVersion, err := s.job(ctx, "", lease.Job)
	if err != nil {
		return nil, err
	}
	var ops opBuilder
	ops.remove(record.Key, record.Version)
	if chunk.Done || chunk.Epoch != lease.Epoch || job.State != JobActive {
		return nil, ignoreConflict(s.commit(ctx, &ops))
	}
	if !lease.Released {
		chunk.recordExpiry()
	}
	c := &Claim{Chunk: chunk, JobRecord: job, jobVersion: jobVersion, version: version}
	return s.commitClaim(ctx, c, &ops, w)
}

// recordExpiry records that the holder let its lease expire.
func (c *Chunk) recordExpiry() {
	c.Expiries++
	if c.SoloItem == 0 {
		return
	}
	expiries := make(map[int]int, len(c.SoloExpiries)+1)
	for item, n := range c.SoloExpiries {
		expiries[item] = n
	}
	expiries[c.SoloItem]++
	c.SoloExpiries = expiries
	c.SoloItem = 0
}

func ignoreConflict(err error) error {
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return storeError(err)
}

// claimQueued claims a chunk of one of the first flows in the model's queue. After each
// flow of which it could claim no chunk, it waits for a random time whose maximum doubles.
func (s *Store) claimQueued(ctx context.Context, model string, w Worker) (*Claim, error) {
	records, err := s.table.Scan(ctx, orderPrefix(model), "", maxFlowsTried)
	if err != nil {
		return nil, storeError(err)
	}
	for try := range records {
		c, err := s.claimFromFlow(ctx, model, &records[try], w)
		if err != nil || c != nil {
			return c, err
		}
		timer.Sleep(ctx, rand.N(maxFirstBackoff<<try))
	}
	if len(records) > 0 {
		return nil, errContended
	}
	return nil, nil
}

// maxFirstBackoff is the maximum wait after the first flow whose chunk could not be
// claimed. It doubles with each further flow.
const maxFirstBackoff = 10 * time.Millisecond

// errContended reports that other workers claimed the chunks that a worker tried, while
// more chunks may be left.
var errContended = errors.New("batch: claims are contended")

// IsContended reports whether err is a contention error, that is whether the call failed
// only because other workers claimed the chunks first.
func IsContended(err error) bool { return errors.Is(err, errContended) }

// claimFromFlow claims the next chunk of the flow that an order record names. It returns
// nil if another worker changed the flow first or if the job of the flow's first lane has
// ended. In the latter case it removes the lane.
func (s *Store) claimFromFlow(ctx context.Context, model string, order *store.Record, w Worker) (*Claim, error) {
	var workspace string
	if err := decode(order, &workspace); err != nil {
		return nil, err
	}
	snapshot := flowSnapshot{order: order}
	var err error
	if snapshot.flowVersion, err = s.get(ctx, flowKey(model, workspace), &snapshot.flow); err != nil {
		return nil, storeError(err)
	}
	records, err := s.table.Scan(ctx, lanePrefix(model, workspace), "", 1)
	if err != nil {
		return nil, storeError(err)
	}
	if len(records) == 0 {
		return nil, nil // the flow changed after the order record was read
	}
	snapshot.lane = &records[0]
	var l lane
	if err := decode(snapshot.lane, &l); err != nil {
		return nil, err
	}
	job, jobVersion, err := s.job(ctx, "", l.Job)
	if err != nil {
		return nil, err
	}
	if job.State != JobActive {
		return nil, ignoreConflict(s.commit(ctx, snapshot.dropLaneOps(&l)))
	}
	c := &Claim{
		Chunk:     Chunk{Job: job.ID, Index: l.Pending[0], Model: l.Model},
		JobRecord: job, jobVersion: jobVersion,
	}
	return s.commitClaim(ctx, c, snapshot.takeChunkOps(&l), w)
}

// flowSnapshot holds the records of a flow as a worker read them to claim a chunk.
type flowSnapshot struct {
	order       *store.Record
	flow        flow
	flowVersion uint64
	lane        *store.Record
}

// dropLaneOps returns the operations that remove the lane of a job that has ended.
func (s *flowSnapshot) dropLaneOps(l *lane) *opBuilder {
	rest := *l
	rest.Pending = nil
	return s.updateOps(&rest, s.flow.Rank)
}

// takeChunkOps returns the operations that remove the first chunk of the lane and move
// the flow's rank by one step.
func (s *flowSnapshot) takeChunkOps(l *lane) *opBuilder {
	rest := *l
	rest.Pending = l.Pending[1:]
	return s.updateOps(&rest, s.flow.Rank.Next(s.flow.Step))
}

// updateOps returns the operations that write the remaining chunks of the lane and the
// flow's new rank. A lane without chunks is removed, and so is the queue entry of a flow
// without lanes.
func (s *flowSnapshot) updateOps(rest *lane, rank policy.Rank) *opBuilder {
	ops := new(opBuilder)
	next := s.flow
	next.Rank = rank
	if len(rest.Pending) > 0 {
		ops.put(s.lane.Key, rest, s.lane.Version)
	} else {
		ops.remove(s.lane.Key, s.lane.Version)
		next.Lanes--
	}
	ops.put(flowKey(next.Model, next.Workspace), next, s.flowVersion)
	if key := orderKey(&next); key != s.order.Key || next.Lanes == 0 {
		ops.remove(s.order.Key, s.order.Version)
	}
	if next.Lanes > 0 {
		ops.putAny(orderKey(&next), next.Workspace)
	}
	return ops
}

// commitClaim writes the claim under the chunk's next epoch, in one transaction with ops.
// It returns nil if another worker changed one of the records first.
func (s *Store) commitClaim(ctx context.Context, c *Claim, ops *opBuilder, w Worker) (*Claim, error) {
	c.Epoch++
	c.Holder = w.Holder
	c.lease = w.Lease
	ops.put(chunkKey(c.Job, c.Index), c.Chunk, c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
	sent := time.Now()
	c.replaceLease(ops, sent)
	err := s.commit(ctx, ops)
	if errors.Is(err, store.ErrConflict) {
		return nil, nil
	}
	if err != nil && !errors.Is(err, store.ErrUnavailable) {
		return nil, storeError(err)
	}
	c.ValidUntil = sent.Add(c.lease)
	return s.confirmClaim(ctx, c)
}

// confirmClaim reads the chunk after it was written, perhaps without a response, and
// sets the claim's version. It returns nil if the claim did not take effect or a later
// claim followed it.
func (s *Store) confirmClaim(ctx context.Context, c *Claim) (*Claim, error) {
	var err error
	for range maxReadBackAttempts {
		var stored Chunk
		var version uint64
		version, err = s.get(ctx, chunkKey(c.Job, c.Index), &stored)
		switch {
		case errors.Is(err, store.ErrNotFound):
			return nil, nil
		case err == nil && (stored.Holder != c.Holder || stored.Epoch != c.Epoch):
			return nil, nil
		case err == nil:
			c.version = version
			return c, nil
		}
		if !timer.Sleep(ctx, readBackDelay) {
			break
		}
	}
	return nil, storeError(err)
}

// replaceLease adds the operations that write a lease which ends one lease time after
// sent and remove the earlier leases of the claim.
func (c *Claim) replaceLease(ops *opBuilder, sent time.Time) {
	key := leaseKey(&c.Chunk, sent.Add(c.lease))
	for _, old := range c.leaseKeys {
		if old != key {
			ops.removeAny(old)
		}
	}
	ops.putAny(key, leaseRecord{Job: c.Job, Index: c.Index, Epoch: c.Epoch})
	c.leaseKeys = append(c.leaseKeys, key)
}
