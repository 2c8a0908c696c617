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

// ResendWindow is how long after a submission without an idempotency key the
// same submission finds the first job.
const ResendWindow = 15 * time.Minute

const (
	acceptTries   = 20
	readBackTries = 4
	readBackDelay = 150 * time.Millisecond
)

// Submission is a request for a new job.
type Submission struct {
	// Workspace owns the job.
	Workspace *fleet.Workspace
	// Endpoint is the path that every item calls.
	Endpoint string
	// InputFile is the file with the items.
	InputFile string
	// Due is when the job should be complete.
	Due time.Time
	// IdempotencyKey makes a repeated submission find the first job.
	IdempotencyKey string
	// Metadata is the caller's own data.
	Metadata map[string]string
}

// requestRecord finds the job of an earlier submission.
type requestRecord struct {
	Job         string    `json:"job"`
	Fingerprint string    `json:"fingerprint"`
	Created     time.Time `json:"created"`
}

// acceptance is one run of Accept.
type acceptance struct {
	s           *Store
	sub         Submission
	fingerprint string
	requestKey  string
	job         Job
	lanes       map[string]*lane
	step        policy.Rank
}

// Accept stores the job and its chunks, and returns the job once it is kept. A
// submission that was accepted before returns the first job: with an
// idempotency key at any time, without one for ResendWindow if workspace,
// content of the file, endpoint and metadata are the same.
func (s *Store) Accept(ctx context.Context, sub Submission, rules fleet.Rules) (Job, error) {
	file, err := s.File(ctx, sub.Workspace.Name, sub.InputFile)
	if err != nil {
		return Job{}, err
	}
	a := newAcceptance(s, sub, &file)
	a.step = policy.Step(rules.ChunkItems, sub.Workspace.Rate)
	if job, _, err := a.earlier(ctx); err != nil || job != nil {
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

func newAcceptance(s *Store, sub Submission, file *File) *acceptance {
	a := &acceptance{s: s, sub: sub, lanes: make(map[string]*lane)}
	a.fingerprint = fingerprint(&sub, file)
	name := "digest-" + a.fingerprint
	if sub.IdempotencyKey != "" {
		sum := sha256.Sum256([]byte(sub.IdempotencyKey))
		name = "key-" + hex.EncodeToString(sum[:])
	}
	a.requestKey = requestKey(sub.Workspace.Name, name)
	a.job = Job{
		ID:        jobIDPrefix + uuid.NewString(),
		Workspace: sub.Workspace.Name,
		Endpoint:  sub.Endpoint,
		InputFile: sub.InputFile,
		Created:   time.Now().UTC(),
		Due:       sub.Due,
		State:     Active,
		Metadata:  sub.Metadata,
	}
	return a
}

// fingerprint identifies what a submission asks for.
func fingerprint(sub *Submission, file *File) string {
	data, _ := json.Marshal([]any{sub.Workspace.Name, sub.Endpoint, file.Digest, sub.Metadata})
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// earlier returns the job of an earlier submission, or nil and the version
// that the record of this submission replaces.
func (a *acceptance) earlier(ctx context.Context) (*Job, uint64, error) {
	var r requestRecord
	version, err := a.s.get(ctx, a.requestKey, &r)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, storeError(err)
	}
	if r.Fingerprint != a.fingerprint {
		return nil, 0, result.New(result.IdempotencyChanged, result.NotRun)
	}
	if a.sub.IdempotencyKey == "" && time.Since(r.Created) > ResendWindow {
		return nil, version, nil
	}
	job, err := a.s.Job(ctx, a.job.Workspace, r.Job)
	if err != nil {
		return nil, 0, err
	}
	return &job, version, nil
}

// commit writes the job's records in one transaction, unless another
// submission was faster.
func (a *acceptance) commit(ctx context.Context) (Job, error) {
	for range acceptTries {
		first, version, err := a.earlier(ctx)
		if err != nil || first != nil {
			a.s.deleteInputs(&a.job)
			return deref(first), err
		}
		ops, err := a.ops(ctx, version)
		if err != nil {
			return Job{}, err
		}
		err = a.s.commit(ctx, ops)
		switch {
		case err == nil:
			return a.job, nil
		case !errors.Is(err, store.ErrConflict):
			return a.readBack(ctx, err)
		}
	}
	a.s.deleteInputs(&a.job)
	return Job{}, result.New(result.StoreConflict, result.NotRun)
}

// ops returns the transaction that accepts the job.
func (a *acceptance) ops(ctx context.Context, requestVersion uint64) (*opWriter, error) {
	var w opWriter
	w.put(jobKey(a.job.ID), a.job, 0)
	w.put(ownerKey(&a.job), a.job.ID, 0)
	w.put(a.requestKey, requestRecord{Job: a.job.ID, Fingerprint: a.fingerprint, Created: a.job.Created}, requestVersion)
	for model, l := range a.lanes {
		if err := a.s.enqueue(ctx, &w, l, a.step); err != nil {
			return nil, storeError(err)
		}
		w.putAny(workKey(model), a.job.ID)
	}
	return &w, nil
}

// enqueue adds a lane to its workspace's flow, which joins the queue if it has
// no other.
func (s *Store) enqueue(ctx context.Context, w *opWriter, l *lane, step policy.Rank) error {
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
			f.Rank = policy.Join(f.Rank, orderRank(l.Model, head[0].Key), step)
		}
		w.put(orderKey(&f), f.Workspace, 0)
	}
	w.put(flowKey(f.Model, f.Workspace), f, version)
	w.put(laneKey(l), l, 0)
	return nil
}

// readBack finds out whether a transaction without an answer took effect.
func (a *acceptance) readBack(ctx context.Context, cause error) (Job, error) {
	for range readBackTries {
		kept, err := a.s.Job(ctx, a.job.Workspace, a.job.ID)
		if err == nil {
			return kept, nil
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

// deleteInputs removes the chunks of a job that was not accepted. What it does
// not reach is never read.
func (s *Store) deleteInputs(job *Job) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	for index := range job.Chunks {
		if s.objects.Delete(ctx, inputObject(job.ID, index)) != nil {
			return
		}
	}
}
