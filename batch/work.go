package batch

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/result"
)

// Active returns the jobs that have items left to run.
func (s *Store) Active(ctx context.Context) ([]Job, error) {
	var jobs []Job
	err := scan(ctx, s.table, activePrefix, func(_ string, j Job) { jobs = append(jobs, j) })
	return jobs, err
}

// Claim claims a chunk of the job that nobody holds. It returns nil if there
// is none.
func (s *Store) Claim(ctx context.Context, job *Job, holder string, now time.Time, lease time.Duration) (*Claim, error) {
	chunks, err := s.Chunks(ctx, job.ID)
	if err != nil {
		return nil, err
	}
	known := make(map[int]Claim, len(chunks))
	for _, c := range chunks {
		known[c.Index] = c
	}
	for index := range job.Chunks {
		c, ok := known[index]
		if ok && (c.Done || now.Before(c.Until)) {
			continue
		}
		claim, err := s.claim(ctx, job, c, index, holder, now.Add(lease))
		if err != nil || claim != nil {
			return claim, err
		}
	}
	return nil, nil
}

// claim writes the claim under the next epoch. It returns nil if another
// holder was faster.
func (s *Store) claim(ctx context.Context, job *Job, old Claim, index int, holder string, until time.Time) (*Claim, error) {
	next := Claim{Chunk: Chunk{Job: job.ID, Index: index, Epoch: old.Epoch + 1, Holder: holder, Until: until}}
	op, err := putOp(chunkKey(job.ID, index), next.Chunk, old.Version)
	if err != nil {
		return nil, err
	}
	err = s.table.Commit(ctx, op)
	if errors.Is(err, platform.ErrConflict) {
		return nil, nil
	}
	if err != nil {
		return nil, storeError(err)
	}
	next.Version, err = s.get(ctx, chunkKey(job.ID, index), &next.Chunk)
	if err != nil {
		return nil, storeError(err)
	}
	if next.Holder != holder || next.Epoch != old.Epoch+1 {
		return nil, nil
	}
	return &next, nil
}

// ErrLost reports that a claim was lost to another holder, or its job was
// cancelled.
var ErrLost = errors.New("batch: claim lost")

// Commit stores the results of a claimed chunk and marks it done. It returns
// ErrLost when the claim is no longer held; the results are then not part of
// the job.
func (s *Store) Commit(ctx context.Context, c *Claim, output, errorLines []byte) error {
	done := c.Chunk
	done.Done = true
	if len(output) > 0 {
		done.Output = outputObject(c.Chunk)
		if err := s.objects.Put(ctx, done.Output, bytes.NewReader(output)); err != nil {
			return storeError(err)
		}
	}
	if len(errorLines) > 0 {
		done.Errors = errorsObject(c.Chunk)
		if err := s.objects.Put(ctx, done.Errors, bytes.NewReader(errorLines)); err != nil {
			return storeError(err)
		}
	}
	op, err := putOp(chunkKey(c.Job, c.Index), done, c.Version)
	if err != nil {
		return err
	}
	err = s.table.Commit(ctx, op)
	if errors.Is(err, platform.ErrConflict) {
		return s.checkDone(ctx, done)
	}
	if err != nil {
		return storeError(err)
	}
	return nil
}

// checkDone tells an earlier commit whose answer was lost from a lost claim.
func (s *Store) checkDone(ctx context.Context, done Chunk) error {
	var kept Chunk
	if _, err := s.get(ctx, chunkKey(done.Job, done.Index), &kept); err != nil {
		return storeError(err)
	}
	if kept.Done && kept.Epoch == done.Epoch && kept.Holder == done.Holder {
		return nil
	}
	return ErrLost
}

// Finish marks the job completed if every chunk is done.
func (s *Store) Finish(ctx context.Context, id string) error {
	job, version, err := s.job(ctx, "", id)
	if err != nil {
		return err
	}
	p, err := s.Progress(ctx, &job)
	if err != nil || !p.Done || job.State != Active {
		return err
	}
	return s.end(ctx, job, version, Completed)
}

// Cancel cancels a job of the workspace and returns it. Cancelling a job that
// has ended changes nothing.
func (s *Store) Cancel(ctx context.Context, workspace, id string) (Job, error) {
	for {
		job, version, err := s.job(ctx, workspace, id)
		if err != nil || job.State != Active {
			return job, err
		}
		err = s.end(ctx, job, version, Cancelled)
		if err == nil {
			return s.Job(ctx, workspace, id)
		}
		if result.CodeOf(err) != result.StoreConflict {
			return job, err
		}
	}
}

// end writes the job's last state and removes it from the active jobs.
func (s *Store) end(ctx context.Context, job Job, version uint64, state JobState) error {
	job.State = state
	job.Ended = time.Now().UTC()
	op, err := putOp(jobKey(job.ID), job, version)
	if err != nil {
		return err
	}
	err = s.table.Commit(ctx, op, platform.Op{Kind: platform.Delete, Key: activeKey(job.ID), Any: true})
	if errors.Is(err, platform.ErrConflict) {
		return result.New(result.StoreConflict, result.NotRun)
	}
	if err != nil {
		return storeError(err)
	}
	return nil
}
