package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const scanPageSize = 1000

// Job returns a job of the workspace, or of any workspace if workspace is empty. It
// returns an error with code result.UnknownJob if there is no such job.
func (s *Store) Job(ctx context.Context, workspace, id string) (Job, error) {
	j, _, err := s.job(ctx, workspace, id)
	return j, err
}

func (s *Store) job(ctx context.Context, workspace, id string) (Job, uint64, error) {
	var j Job
	version, err := s.get(ctx, jobKey(id), &j)
	if errors.Is(err, store.ErrNotFound) || (err == nil && workspace != "" && j.Workspace != workspace) {
		return j, 0, result.Errorf(result.UnknownJob, "batch job %q does not exist", id)
	}
	if err != nil {
		return j, 0, storeError(err)
	}
	return j, version, nil
}

// Jobs returns at most limit jobs of the workspace that follow the job with the ID after
// in the list, the newest first, and reports whether there are more. An empty after
// starts at the beginning. If workspace is empty, the list holds the jobs of all
// workspaces in no particular order.
func (s *Store) Jobs(ctx context.Context, workspace, after string, limit int) ([]Job, bool, error) {
	if workspace == "" {
		return s.allJobs(ctx, after, limit)
	}
	start := ""
	if after != "" {
		job, err := s.Job(ctx, workspace, after)
		if err != nil {
			return nil, false, err
		}
		start = ownerKey(&job)
	}
	records, err := s.table.Scan(ctx, ownerPrefix(workspace), start, limit+1)
	if err != nil {
		return nil, false, storeError(err)
	}
	more := len(records) > limit
	var jobs []Job
	for _, r := range records[:min(limit, len(records))] {
		var id string
		if err := decode(&r, &id); err != nil {
			return nil, false, err
		}
		job, err := s.Job(ctx, workspace, id)
		if err != nil {
			return nil, false, err
		}
		jobs = append(jobs, job)
	}
	return jobs, more, nil
}

func (s *Store) allJobs(ctx context.Context, after string, limit int) ([]Job, bool, error) {
	start := ""
	if after != "" {
		start = jobKey(after)
	}
	records, err := s.table.Scan(ctx, jobKey(""), start, limit+1)
	if err != nil {
		return nil, false, storeError(err)
	}
	jobs := make([]Job, min(limit, len(records)))
	for i := range jobs {
		if err := decode(&records[i], &jobs[i]); err != nil {
			return nil, false, err
		}
	}
	return jobs, len(records) > limit, nil
}

// Chunks returns all chunks of the job that were claimed at least once, ordered by index.
func (s *Store) Chunks(ctx context.Context, job string) ([]Chunk, error) {
	var chunks []Chunk
	after := ""
	for {
		records, err := s.table.Scan(ctx, chunkPrefix(job), after, scanPageSize)
		if err != nil {
			return nil, storeError(err)
		}
		for _, r := range records {
			var c Chunk
			if err := decode(&r, &c); err != nil {
				return nil, err
			}
			chunks = append(chunks, c)
			after = r.Key
		}
		if len(records) < scanPageSize {
			return chunks, nil
		}
	}
}

// Progress counts the items of the job that have a result.
func (s *Store) Progress(ctx context.Context, job *Job) (Progress, error) {
	if job.State == JobCompleted {
		return job.Progress, nil
	}
	chunks, err := s.Chunks(ctx, job.ID)
	if err != nil {
		return Progress{}, err
	}
	var p Progress
	done := 0
	for i := range chunks {
		if chunks[i].Done {
			done++
			p.Completed += chunks[i].Completed
			p.Failed += chunks[i].Failed
		}
	}
	p.Done = done == job.Chunks
	return p, nil
}

// Refresh returns the job and its progress. If every chunk is done but the job is still
// active, it completes the job, since the worker of the last chunk may have stopped
// before doing so.
func (s *Store) Refresh(ctx context.Context, job Job) (Job, Progress, error) {
	p, err := s.Progress(ctx, &job)
	if err != nil || !p.Done || job.State != JobActive {
		return job, p, err
	}
	if err := s.CompleteIfDone(ctx, job.ID); err != nil {
		return job, p, err
	}
	job, err = s.Job(ctx, job.Workspace, job.ID)
	return job, p, err
}

// CompleteIfDone marks an active job completed if every chunk is done.
func (s *Store) CompleteIfDone(ctx context.Context, id string) error {
	job, version, err := s.job(ctx, "", id)
	if err != nil || job.State != JobActive {
		return err
	}
	p, err := s.Progress(ctx, &job)
	if err != nil || !p.Done {
		return err
	}
	job.Progress = p
	job.State = JobCompleted
	job.Ended = time.Now().UTC()
	var ops opBuilder
	ops.put(jobKey(id), job, version)
	err = s.commit(ctx, &ops)
	if errors.Is(err, store.ErrConflict) {
		return nil // another worker completed the job, or it was cancelled
	}
	if err != nil {
		return storeError(err)
	}
	return nil
}

// maxRecentCancels is the maximum number of jobs in the list of recently cancelled jobs.
const maxRecentCancels = 64

// Cancel cancels a job of the workspace and returns it. A job that has already ended is
// returned unchanged. Chunks that are not done when the job is cancelled never will be.
func (s *Store) Cancel(ctx context.Context, workspace, id string) (Job, error) {
	for range maxCommitAttempts {
		job, version, err := s.job(ctx, workspace, id)
		if err != nil || job.State != JobActive {
			return job, err
		}
		err = s.cancel(ctx, job, version)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return s.readBackCancel(ctx, workspace, id, err)
		}
	}
	return Job{}, result.New(result.StoreConflict, result.MayHaveRun)
}

// cancel writes the job's state and adds the job to the list of recently cancelled jobs,
// which the workers poll, in one transaction.
func (s *Store) cancel(ctx context.Context, job Job, version uint64) error {
	var recent []string
	listVersion, err := s.get(ctx, cancelledKey, &recent)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	recent = append(recent, job.ID)
	recent = recent[max(0, len(recent)-maxRecentCancels):]
	job.State = JobCancelled
	job.Ended = time.Now().UTC()
	var ops opBuilder
	ops.put(jobKey(job.ID), job, version)
	ops.put(cancelledKey, recent, listVersion)
	return s.commit(ctx, &ops)
}

// readBackCancel reads the job to find out whether a cancellation whose response was lost
// took effect. It returns cause as a result error if not or if that is not known.
func (s *Store) readBackCancel(ctx context.Context, workspace, id string, cause error) (Job, error) {
	for range maxReadBackAttempts {
		job, err := s.Job(ctx, workspace, id)
		if err == nil && job.State != JobActive {
			return job, nil
		}
		if err == nil || !timer.Sleep(ctx, readBackDelay) {
			break
		}
	}
	return Job{}, storeError(cause)
}

// PollState holds what a worker has seen of a record that it polls for changes. The zero
// value has seen nothing.
type PollState struct {
	// Version is the record's version when it was last read, or 0.
	Version uint64
}

// HasNewWork reports whether chunks of the model may have become claimable since the
// last call with the same state. It updates the state.
func (s *Store) HasNewWork(ctx context.Context, model string, state *PollState) (bool, error) {
	record, err := s.table.GetIfModified(ctx, workKey(model), state.Version)
	if errors.Is(err, store.ErrNotModified) || errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, storeError(err)
	}
	state.Version = record.Version
	return true, nil
}

// RecentlyCancelled returns the IDs of the most recently cancelled jobs, or nil if they
// have not changed since the last call with the same state. It updates the state.
func (s *Store) RecentlyCancelled(ctx context.Context, state *PollState) ([]string, error) {
	record, err := s.table.GetIfModified(ctx, cancelledKey, state.Version)
	if errors.Is(err, store.ErrNotModified) || errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, storeError(err)
	}
	var recent []string
	if err := decode(&record, &recent); err != nil {
		return nil, err
	}
	state.Version = record.Version
	return recent, nil
}

// Items returns the items of a chunk.
func (s *Store) Items(ctx context.Context, c *Chunk) ([]Item, error) {
	data, err := store.ReadObject(ctx, s.objects, inputObjectName(c.Job, c.Index))
	if err != nil {
		return nil, storeError(err)
	}
	var items []Item
	err = scanLines(bytes.NewReader(data), func(number int, line []byte) error {
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return result.Errorf(result.BadBatchLine, "line %d: %v", number, err)
		}
		items = append(items, item)
		return nil
	})
	return items, err
}
