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
	lapsedScan = 8 // leases that a worker looks at
	claimTries = 4 // flows that a worker tries

	// graceParts is the part of a lease for which a worker leaves a lease that
	// has ended alone. It covers clocks that differ.
	graceParts = 10
)

// ErrLost reports that a claim was lost to another holder.
var ErrLost = errors.New("batch: claim lost")

// ErrCancelled reports that the job of a claim has ended.
var ErrCancelled = errors.New("batch: job cancelled")

// Claim is a claimed chunk. It is used by one goroutine at a time.
type Claim struct {
	Chunk
	// JobRecord is the chunk's job.
	JobRecord Job
	// ValidUntil is when the lease ends by the clock of this process, counted
	// from when the claim or its last renewal was sent.
	ValidUntil time.Time

	version    uint64 // of the chunk's record
	jobVersion uint64
	lease      time.Duration
	leaseKeys  []string // lease records that may exist
}

// Worker names a claiming process and how long its claims last.
type Worker struct {
	// Holder identifies the process in the fleet.
	Holder string
	// Lease is how long a claim lasts without renewal.
	Lease time.Duration
	// SkipLapsed leaves chunks alone whose lease has ended, since their holders
	// may not have reached the store to renew it.
	SkipLapsed bool
}

// ClaimNext claims a chunk of the model: one whose holder vanished or gave it
// back, or else the first in the queue. It returns nil if there is none.
func (s *Store) ClaimNext(ctx context.Context, model string, w Worker) (*Claim, error) {
	if !w.SkipLapsed {
		c, err := s.claimLapsed(ctx, model, w)
		if err != nil || c != nil {
			return c, err
		}
	}
	return s.claimQueued(ctx, model, w)
}

// claimLapsed claims a chunk whose lease has ended.
func (s *Store) claimLapsed(ctx context.Context, model string, w Worker) (*Claim, error) {
	records, err := s.table.Scan(ctx, leasePrefix(model), "", lapsedScan)
	if err != nil {
		return nil, storeError(err)
	}
	for i := range records {
		if time.Since(leaseEnd(model, records[i].Key)) < w.Lease/graceParts {
			return nil, nil
		}
		c, err := s.takeOver(ctx, &records[i], w)
		if err != nil || c != nil {
			return c, err
		}
	}
	return nil, nil
}

// takeOver claims the chunk of an ended lease under the next epoch. It removes
// a lease that outlived its claim.
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
	var ops opWriter
	ops.remove(record.Key, record.Version)
	if chunk.Done || chunk.Epoch != lease.Epoch || job.State != Active {
		return nil, ignoreConflict(s.commit(ctx, &ops))
	}
	if !lease.Released {
		chunk.lapse()
	}
	c := &Claim{Chunk: chunk, JobRecord: job, jobVersion: jobVersion, version: version}
	return s.commitClaim(ctx, c, &ops, w)
}

// lapse records that the holder vanished.
func (c *Chunk) lapse() {
	c.Lapses++
	if c.Marked == 0 {
		return
	}
	deaths := make(map[int]int, len(c.Deaths)+1)
	for item, n := range c.Deaths {
		deaths[item] = n
	}
	deaths[c.Marked]++
	c.Deaths = deaths
	c.Marked = 0
}

func ignoreConflict(err error) error {
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return storeError(err)
}

// claimQueued claims a chunk of one of the first flows in the queue.
func (s *Store) claimQueued(ctx context.Context, model string, w Worker) (*Claim, error) {
	records, err := s.table.Scan(ctx, orderPrefix(model), "", claimTries)
	if err != nil {
		return nil, storeError(err)
	}
	for try := range records {
		c, err := s.takeNext(ctx, model, &records[try], w)
		if err != nil || c != nil {
			return c, err
		}
		timer.Sleep(ctx, rand.N(claimBackoff<<try))
	}
	if len(records) > 0 {
		return nil, errContended
	}
	return nil, nil
}

// claimBackoff is the longest wait after the first lost race for a flow.
const claimBackoff = 10 * time.Millisecond

// errContended reports that other workers were faster while chunks are left.
var errContended = errors.New("batch: claims are contended")

// Contended tells whether a claim failed only because other workers were
// faster.
func Contended(err error) bool { return errors.Is(err, errContended) }

// takeNext claims the next chunk of the flow that an order record names. It
// returns nil if another worker was faster or only a job that has ended was
// found.
func (s *Store) takeNext(ctx context.Context, model string, order *store.Record, w Worker) (*Claim, error) {
	var workspace string
	if err := decode(order, &workspace); err != nil {
		return nil, err
	}
	t := taking{order: order}
	var err error
	if t.flowVersion, err = s.get(ctx, flowKey(model, workspace), &t.flow); err != nil {
		return nil, storeError(err)
	}
	records, err := s.table.Scan(ctx, lanePrefix(model, workspace), "", 1)
	if err != nil {
		return nil, storeError(err)
	}
	if len(records) == 0 {
		return nil, nil // the flow changed since the order was read
	}
	t.lane = &records[0]
	var l lane
	if err := decode(t.lane, &l); err != nil {
		return nil, err
	}
	job, jobVersion, err := s.job(ctx, "", l.Job)
	if err != nil {
		return nil, err
	}
	if job.State != Active {
		return nil, ignoreConflict(s.commit(ctx, t.skip(&l)))
	}
	c := &Claim{
		Chunk:     Chunk{Job: job.ID, Index: l.Pending[0], Model: l.Model},
		JobRecord: job, jobVersion: jobVersion,
	}
	return s.commitClaim(ctx, c, t.take(&l), w)
}

// taking is what a worker read of the flow it takes a chunk of.
type taking struct {
	order       *store.Record
	flow        flow
	flowVersion uint64
	lane        *store.Record
}

// skip returns the transaction that removes the lane of a job that has ended.
func (t *taking) skip(l *lane) *opWriter {
	rest := *l
	rest.Pending = nil
	return t.move(&rest, t.flow.Rank)
}

// take returns the transaction that takes a chunk off the lane.
func (t *taking) take(l *lane) *opWriter {
	rest := *l
	rest.Pending = l.Pending[1:]
	return t.move(&rest, t.flow.Rank.Next(t.flow.Step))
}

// move writes what is left of the lane and the flow's new rank.
func (t *taking) move(rest *lane, rank policy.Rank) *opWriter {
	w := new(opWriter)
	next := t.flow
	next.Rank = rank
	if len(rest.Pending) > 0 {
		w.put(t.lane.Key, rest, t.lane.Version)
	} else {
		w.remove(t.lane.Key, t.lane.Version)
		next.Lanes--
	}
	w.put(flowKey(next.Model, next.Workspace), next, t.flowVersion)
	if key := orderKey(&next); key != t.order.Key || next.Lanes == 0 {
		w.remove(t.order.Key, t.order.Version)
	}
	if next.Lanes > 0 {
		w.putAny(orderKey(&next), next.Workspace)
	}
	return w
}

// commitClaim writes the claim under its next epoch together with ops. It
// returns nil if another worker was faster.
func (s *Store) commitClaim(ctx context.Context, c *Claim, ops *opWriter, w Worker) (*Claim, error) {
	c.Epoch++
	c.Holder = w.Holder
	c.lease = w.Lease
	ops.put(chunkKey(c.Job, c.Index), c.Chunk, c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
	sent := time.Now()
	c.addLease(ops, sent)
	err := s.commit(ctx, ops)
	if errors.Is(err, store.ErrConflict) {
		return nil, nil
	}
	if err != nil && !errors.Is(err, store.ErrUnavailable) {
		return nil, storeError(err)
	}
	c.ValidUntil = sent.Add(c.lease)
	return s.readClaim(ctx, c)
}

// readClaim reads the version of a claim that was written, perhaps without an
// answer. It returns nil if the claim is not ours.
func (s *Store) readClaim(ctx context.Context, c *Claim) (*Claim, error) {
	var err error
	for range readBackTries {
		var kept Chunk
		var version uint64
		version, err = s.get(ctx, chunkKey(c.Job, c.Index), &kept)
		switch {
		case errors.Is(err, store.ErrNotFound):
			return nil, nil
		case err == nil && (kept.Holder != c.Holder || kept.Epoch != c.Epoch):
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

// addLease adds a lease that ends one lease time after sent, and removes the
// earlier ones.
func (c *Claim) addLease(ops *opWriter, sent time.Time) {
	key := leaseKey(&c.Chunk, sent.Add(c.lease))
	for _, old := range c.leaseKeys {
		if old != key {
			ops.removeAny(old)
		}
	}
	ops.putAny(key, leaseRecord{Job: c.Job, Index: c.Index, Epoch: c.Epoch})
	c.leaseKeys = append(c.leaseKeys, key)
}
