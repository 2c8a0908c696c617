package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/fleet"
	policy "github.com/baobablanding/baobablanding/policy/batch"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// DeduplicationWindow is how long a repetition of a submission without an idempotency
// key returns the first job instead of creating another one.
const DeduplicationWindow = 15 * time.Minute

const (
	maxCommitAttempts   = 20
	maxReadBackAttempts = 4
	readBackDelay       = 150 * time.Millisecond
)

// Submission is a request for a new job.
type Submission struct {
	// Workspace owns the job.
	Workspace *fleet.Workspace
	// Endpoint is the path that every item calls.
	Endpoint string
	// InputFile is the ID of the file with the items.
	InputFile string
	// Due is the time by which the job should be complete.
	Due time.Time
	// IdempotencyKey identifies the submission: a repetition with the same key returns
	// the first job. It may be empty.
	IdempotencyKey string
	// Metadata is data that the caller attaches to the job.
	Metadata map[string]string
}

// submissionRecord refers to the job that a submission created. A repetition of the
// submission finds the job through it.
type submissionRecord struct {
	Job         string    `json:"job"`
	Fingerprint string    `json:"fingerprint"`
	Created     time.Time `json:"created"`
}

// acceptance is the state of one call of Accept.
type acceptance struct {
	jobs          *Store
	sub           Submission
	fingerprint   string
	submissionKey string
	job           Job
	lanes         map[string]*lane
	rankStep      policy.Rank
}

// Accept stores the job and its chunks, and returns the job once it is stored. A
// repetition of a submission that was accepted returns the first job: with the same
// idempotency key at any time, and without a key during DeduplicationWindow if the
// workspace, the content of the file, the endpoint and the metadata are the same. It
// returns an error with code result.IdempotencyChanged if the key was used for a
// different submission.
func (s *Store) Accept(ctx context.Context, sub Submission, rules fleet.Rules) (Job, error) {
	file, err := s.File(ctx, sub.Workspace.Name, sub.InputFile)
	if err != nil {
		return Job{}, err
	}
	a := newAcceptance(s, sub, &file)
	a.rankStep = policy.RankStep(rules.ChunkItems, sub.Workspace.Rate)
	if job, _, err := a.findEarlier(ctx); err != nil || job != nil {
		return deref(job), err
	}
	if err := a.split(ctx, rules); err != nil {
		s.deleteInputs(&a.job)
		return Job{}, err
	}
	return a.commit(ctx)
}

func deref(job *Job) Job {
	if job == nil {
		return Job{}
	}
	return *job
}

func newAcceptance(jobs *Store, sub Submission, file *File) *acceptance {
	a := &acceptance{jobs: jobs, sub: sub, lanes: make(map[string]*lane)}
	a.fingerprint = fingerprint(&sub, file)
	name := "digest-" + a.fingerprint
	if sub.IdempotencyKey != "" {
		sum := sha256.Sum256([]byte(sub.IdempotencyKey))
		name = "key-" + hex.EncodeToString(sum[:])
	}
	a.submissionKey = submissionKey(sub.Workspace.Name, name)
	a.job = Job{
		ID:        jobIDPrefix + uuid.NewString(),
		Workspace: sub.Workspace.Name,
		Endpoint:  sub.Endpoint,
		InputFile: sub.InputFile,
		Created:   time.Now().UTC(),
		Due:       sub.Due,
		State:     JobActive,
		Metadata:  sub.Metadata,
	}
	return a
}

// fingerprint returns a digest of what a submission asks for.
func fingerprint(sub *Submission, file *File) string {
	data, _ := json.Marshal([]any{sub.Workspace.Name, sub.Endpoint, file.Digest, sub.Metadata})
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// findEarlier returns the job that the same submission created earlier. If there is
// none, it returns nil and the version of the submission record to replace, 0 if there
// is no record.
func (a *acceptance) findEarlier(ctx context.Context) (*Job, uint64, error) {
	var r submissionRecord
	version, err := a.jobs.get(ctx, a.submissionKey, &r)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, storeError(err)
	}
	if r.Fingerprint != a.fingerprint {
		return nil, 0, result.New(result.IdempotencyChanged, result.NotRun)
	}
	if a.sub.IdempotencyKey == "" && time.Since(r.Created) > DeduplicationWindow {
		return nil, version, nil
	}
	job, err := a.jobs.Job(ctx, a.job.Workspace, r.Job)
	if err != nil {
		return nil, 0, err
	}
	return &job, version, nil
}

// commit writes the job's records in one transaction. If a concurrent repetition of the
// submission was committed first, it returns that job instead.
func (a *acceptance) commit(ctx context.Context) (Job, error) {
	for range maxCommitAttempts {
		first, version, err := a.findEarlier(ctx)
		if err != nil || first != nil {
			a.jobs.deleteInputs(&a.job)
			return deref(first), err
		}
		ops, err := a.ops(ctx, version)
		if err != nil {
			return Job{}, err
		}
		err = a.jobs.commit(ctx, ops)
		switch {
		case err == nil:
			return a.job, nil
		case !errors.Is(err, store.ErrConflict):
			return a.readBack(ctx, err)
		}
	}
	a.jobs.deleteInputs(&a.job)
	return Job{}, result.New(result.StoreConflict, result.NotRun)
}

// ops returns the transaction that accepts the job. It replaces the given version of the
// submission record.
func (a *acceptance) ops(ctx context.Context, submissionVersion uint64) (*opBuilder, error) {
	var ops opBuilder
	ops.put(jobKey(a.job.ID), a.job, 0)
	ops.put(ownerKey(&a.job), a.job.ID, 0)
	ops.put(a.submissionKey, submissionRecord{Job: a.job.ID, Fingerprint: a.fingerprint, Created: a.job.Created}, submissionVersion)
	for model, l := range a.lanes {
		if err := a.jobs.enqueue(ctx, &ops, l, a.rankStep); err != nil {
			return nil, storeError(err)
		}
		ops.putAny(workKey(model), a.job.ID)
	}
	return &ops, nil
}

// enqueue adds a lane to its workspace's flow. If it is the flow's only lane, the flow
// joins the model's queue.
func (s *Store) enqueue(ctx context.Context, ops *opBuilder, l *lane, step policy.Rank) error {
	f := flow{Workspace: l.Workspace, Model: l.Model}
	version, err := s.get(ctx, flowKey(l.Model, l.Workspace), &f)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	f.Step = step
	f.Lanes++
	if f.Lanes == 1 {
		head, err := s.table.Scan(ctx, orderPrefix(l.Model), "", 1)
		if err != nil {
			return err
		}
		if len(head) > 0 {
			f.Rank = policy.RejoinRank(f.Rank, orderRank(l.Model, head[0].Key), step)
		}
		ops.put(orderKey(&f), f.Workspace, 0)
	}
	ops.put(flowKey(f.Model, f.Workspace), f, version)
	ops.put(laneKey(l), l, 0)
	return nil
}

// readBack reads the job to find out whether a transaction whose response was lost took
// effect. It returns cause as a result error if it did not or if that is not known.
func (a *acceptance) readBack(ctx context.Context, cause error) (Job, error) {
	for range maxReadBackAttempts {
		stored, err := a.jobs.Job(ctx, a.job.Workspace, a.job.ID)
		if err == nil {
			return stored, nil
		}
		if result.CodeOf(err) == result.UnknownJob {
			return Job{}, storeError(cause)
		}
		if !timer.Sleep(ctx, readBackDelay) {
			break
		}
	}
	return Job{}, storeError(cause)
}

const cleanupTimeout = 30 * time.Second

// deleteInputs deletes the input objects of a job that was not accepted. Objects that it
// fails to delete stay in the object store but are never read.
func (s *Store) deleteInputs(job *Job) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	for index := range job.Chunks {
		if s.objects.Delete(ctx, inputObjectName(job.ID, index)) != nil {
			return
		}
	}
}
