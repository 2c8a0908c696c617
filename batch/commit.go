package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

// Renew extends the lease of a claim. It returns ErrClaimLost or ErrCancelled if the claim is
// no longer held. After any other error it may be called again.
func (s *Store) Renew(ctx context.Context, c *Claim) error {
	var ops opBuilder
	c.requireHeld(&ops)
	sent := time.Now()
	c.replaceLease(&ops, sent)
	if err := s.commit(ctx, &ops); err != nil {
		return s.claimError(ctx, c, err)
	}
	c.ValidUntil = sent.Add(c.lease)
	c.leaseKeys = c.leaseKeys[len(c.leaseKeys)-1:]
	return nil
}

// requireHeld adds the conditions that the claim is held and the job is unchanged, hence
// active.
func (c *Claim) requireHeld(ops *opBuilder) {
	ops.check(chunkKey(c.Job, c.Index), c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
}

// claimError returns the error for a transaction of the claim's holder that failed with
// err. If the conditions did not hold, it is ErrCancelled for a job known to be cancelled
// and ErrClaimLost otherwise. Any other err is returned as a result error.
func (s *Store) claimError(ctx context.Context, c *Claim, err error) error {
	if !errors.Is(err, store.ErrConflict) {
		return storeError(err)
	}
	job, err := s.Job(ctx, "", c.Job)
	if err == nil && job.State == JobCancelled {
		return ErrCancelled
	}
	return ErrClaimLost
}

// MarkSoloItem records the number, starting at 1, of the item that the holder is about
// to run alone. If the lease then expires, the item is known to have been running. It
// returns ErrClaimLost or ErrCancelled if the claim is no longer held. After any other error
// it may be called again.
func (s *Store) MarkSoloItem(ctx context.Context, c *Claim, item int) error {
	next := c.Chunk
	next.SoloItem = item
	var ops opBuilder
	ops.put(chunkKey(c.Job, c.Index), next, c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
	cause := s.commit(ctx, &ops)
	if cause != nil && !errors.Is(cause, store.ErrUnavailable) {
		return s.claimError(ctx, c, cause)
	}
	stored, err := s.confirmClaim(ctx, c)
	switch {
	case err != nil:
		return err
	case stored == nil:
		return ErrClaimLost
	case cause != nil:
		return storeError(cause)
	}
	c.SoloItem = item
	return nil
}

// Release gives up a claim, so that another worker can claim the chunk at once. It
// returns nil if the claim was no longer held.
func (s *Store) Release(ctx context.Context, c *Claim) error {
	var ops opBuilder
	c.requireHeld(&ops)
	key := leaseKey(&c.Chunk, time.UnixMilli(0))
	ops.removeAny(c.leaseKeys...)
	ops.putAny(key, leaseRecord{Job: c.Job, Index: c.Index, Epoch: c.Epoch, Released: true})
	ops.putAny(workKey(c.Model), c.Job)
	return ignoreConflict(s.commit(ctx, &ops))
}

// ChunkResults holds the results of a chunk whose items all have one.
type ChunkResults struct {
	// Output holds the result lines, each with its line feed.
	Output []byte
	// Errors holds the error lines, each with its line feed.
	Errors []byte
	// Completed is the number of items that succeeded.
	Completed int
	// Failed is the number of items that ended in an error line.
	Failed int
}

// Commit stores the results of a claimed chunk and marks the chunk done, provided that
// the claim is held and the job is active. Otherwise it returns ErrClaimLost or ErrCancelled,
// and the results do not become part of the job. After any other error it may be called
// again.
func (s *Store) Commit(ctx context.Context, c *Claim, r *ChunkResults) error {
	done := c.Chunk
	done.Done = true
	done.SoloItem = 0
	done.Results = resultsObjectName(&c.Chunk)
	done.OutputBytes = int64(len(r.Output))
	done.Completed = r.Completed
	done.Failed = r.Failed
	if err := s.putObject(ctx, done.Results, slices.Concat(r.Output, r.Errors)); err != nil {
		return err
	}
	var ops opBuilder
	ops.put(chunkKey(c.Job, c.Index), done, c.version)
	ops.check(jobKey(c.Job), c.jobVersion)
	ops.removeAny(c.leaseKeys...)
	err := s.commit(ctx, &ops)
	if err != nil {
		return s.confirmCommit(ctx, c, err)
	}
	return nil
}

// confirmCommit reads the chunk after a commit that failed with cause. It returns nil if
// the commit took effect although its response was lost.
func (s *Store) confirmCommit(ctx context.Context, c *Claim, cause error) error {
	var stored Chunk
	_, err := s.get(ctx, chunkKey(c.Job, c.Index), &stored)
	if err != nil {
		return storeError(err)
	}
	if stored.Done && stored.Epoch == c.Epoch && stored.Holder == c.Holder {
		return nil
	}
	return s.claimError(ctx, c, cause)
}

// IsClaimLost reports whether a call failed because the claim is no longer held, that is
// with ErrClaimLost or ErrCancelled.
func IsClaimLost(err error) bool {
	return errors.Is(err, ErrClaimLost) || errors.Is(err, ErrCancelled)
}

// IsUnavailable reports whether a call failed because a store was unavailable.
func IsUnavailable(err error) bool {
	return err != nil && result.CodeOf(err) == result.StoreUnavailable
}
