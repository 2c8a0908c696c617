package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

// Renew extends the lease of a claim. It returns ErrLost or ErrCancelled when
// the claim is no longer held.
func (s *Store) Renew(ctx context.Context, c *Claim) error {
	var ops opWriter
	c.guard(&ops)
	sent := time.Now()
	c.addLease(&ops, sent)
	if err := s.commit(ctx, &ops); err != nil {
		return s.lostOr(ctx, c, err)
	}
	c.ValidUntil = sent.Add(c.lease)
	c.leaseKeys = c.leaseKeys[len(c.leaseKeys)-1:]
	return nil
}

// guard lets a transaction apply only while the claim is held and the job is
// active.
func (c *Claim) guard(ops *opWriter) {
	ops.check(chunkKey(c.Job, c.Index), c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
}

// lostOr tells why a transaction of the claim's holder failed.
func (s *Store) lostOr(ctx context.Context, c *Claim, err error) error {
	if !errors.Is(err, store.ErrConflict) {
		return storeError(err)
	}
	job, err := s.Job(ctx, "", c.Job)
	if err == nil && job.State == Cancelled {
		return ErrCancelled
	}
	return ErrLost
}

// Mark records that the holder now runs one item alone, by its number starting
// at 1, so that a holder that vanishes is known to have run it. It may be
// repeated when the store did not answer.
func (s *Store) Mark(ctx context.Context, c *Claim, item int) error {
	next := c.Chunk
	next.Marked = item
	var ops opWriter
	ops.put(chunkKey(c.Job, c.Index), next, c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
	cause := s.commit(ctx, &ops)
	if cause != nil && !errors.Is(cause, store.ErrUnavailable) {
		return s.lostOr(ctx, c, cause)
	}
	kept, err := s.readClaim(ctx, c)
	switch {
	case err != nil:
		return err
	case kept == nil:
		return ErrLost
	case cause != nil:
		return storeError(cause)
	}
	c.Marked = item
	return nil
}

// Release gives a claim back, so that another worker can take the chunk at
// once.
func (s *Store) Release(ctx context.Context, c *Claim) error {
	var ops opWriter
	c.guard(&ops)
	key := leaseKey(&c.Chunk, time.UnixMilli(0))
	ops.removeAny(c.leaseKeys...)
	ops.putAny(key, leaseRecord{Job: c.Job, Index: c.Index, Epoch: c.Epoch, Released: true})
	ops.putAny(workKey(c.Model), c.Job)
	return ignoreConflict(s.commit(ctx, &ops))
}

// Results holds the lines of a chunk whose items all have a result.
type Results struct {
	// Output holds the result lines.
	Output []byte
	// Errors holds the error lines.
	Errors []byte
	// Completed is the number of items that succeeded.
	Completed int
	// Failed is the number of items that ended in an error line.
	Failed int
}

// Commit stores the results of a claimed chunk and marks it done, on the
// condition that the claim is held and the job is active. It returns ErrLost or
// ErrCancelled when that is not so; the results are then not part of the job.
// It may be repeated after any other error.
func (s *Store) Commit(ctx context.Context, c *Claim, r *Results) error {
	done := c.Chunk
	done.Done = true
	done.Marked = 0
	done.Results = resultsObject(&c.Chunk)
	done.OutputBytes = int64(len(r.Output))
	done.Completed = r.Completed
	done.Failed = r.Failed
	if err := s.putObject(ctx, done.Results, slices.Concat(r.Output, r.Errors)); err != nil {
		return err
	}
	var ops opWriter
	ops.put(chunkKey(c.Job, c.Index), done, c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
	ops.removeAny(c.leaseKeys...)
	err := s.commit(ctx, &ops)
	if err != nil {
		return s.checkDone(ctx, c, err)
	}
	return nil
}

// checkDone tells a commit that took effect without an answer from one that
// did not.
func (s *Store) checkDone(ctx context.Context, c *Claim, cause error) error {
	var kept Chunk
	_, err := s.get(ctx, chunkKey(c.Job, c.Index), &kept)
	if err != nil {
		return storeError(err)
	}
	if kept.Done && kept.Epoch == c.Epoch && kept.Holder == c.Holder {
		return nil
	}
	return s.lostOr(ctx, c, cause)
}

// IsLost tells whether the claim of a failed call is no longer held.
func IsLost(err error) bool {
	return errors.Is(err, ErrLost) || errors.Is(err, ErrCancelled)
}

// IsUnavailable tells whether a call failed because the store did not answer.
func IsUnavailable(err error) bool {
	return err != nil && result.CodeOf(err) == result.StoreUnavailable
}
