package batch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/result"
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

// Accept stores the job and its chunks, and returns the job once it is kept. A
// submission that was accepted before returns the first job.
func (s *Store) Accept(ctx context.Context, sub Submission, rules fleet.Rules) (Job, error) {
	if job, found, err := s.earlier(ctx, sub); err != nil || found {
		return job, err
	}
	file, err := s.File(ctx, sub.Workspace.Name, sub.InputFile)
	if err != nil {
		return Job{}, err
	}
	body, err := s.objects.Get(ctx, fileObject(file.ID))
	if err != nil {
		return Job{}, storeError(err)
	}
	defer body.Close()
	job := Job{
		ID:        jobIDPrefix + uuid.NewString(),
		Workspace: sub.Workspace.Name,
		Endpoint:  sub.Endpoint,
		InputFile: sub.InputFile,
		Created:   time.Now().UTC(),
		Due:       sub.Due,
		State:     Active,
		Metadata:  sub.Metadata,
	}
	split := splitter{ctx: ctx, objects: s.objects, job: &job, rules: rules, workspace: sub.Workspace}
	if err := split.run(body); err != nil {
		return Job{}, err
	}
	return s.commitJob(ctx, job, sub)
}

// earlier returns the job of an earlier submission with the same key.
func (s *Store) earlier(ctx context.Context, sub Submission) (Job, bool, error) {
	if sub.IdempotencyKey == "" {
		return Job{}, false, nil
	}
	var id string
	_, err := s.get(ctx, requestKey(sub.Workspace.Name, sub.IdempotencyKey), &id)
	if errors.Is(err, platform.ErrNotFound) {
		return Job{}, false, nil
	}
	if err != nil {
		return Job{}, false, storeError(err)
	}
	job, err := s.Job(ctx, sub.Workspace.Name, id)
	return job, err == nil, err
}

// commitJob writes the job's records in one transaction.
func (s *Store) commitJob(ctx context.Context, job Job, sub Submission) (Job, error) {
	record, err := putOp(jobKey(job.ID), job, 0)
	if err != nil {
		return Job{}, err
	}
	active, err := putOp(activeKey(job.ID), job, 0)
	if err != nil {
		return Job{}, err
	}
	ops := []platform.Op{record, active}
	if sub.IdempotencyKey != "" {
		op, err := putOp(requestKey(job.Workspace, sub.IdempotencyKey), job.ID, 0)
		if err != nil {
			return Job{}, err
		}
		ops = append(ops, op)
	}
	if err := s.table.Commit(ctx, ops...); err != nil {
		return s.readBack(ctx, job, sub, err)
	}
	return job, nil
}

// readBack finds out whether a failed transaction took effect.
func (s *Store) readBack(ctx context.Context, job Job, sub Submission, cause error) (Job, error) {
	if kept, err := s.Job(ctx, job.Workspace, job.ID); err == nil {
		return kept, nil
	}
	if first, found, err := s.earlier(ctx, sub); err == nil && found {
		return first, nil
	}
	return Job{}, storeError(cause)
}

// splitter cuts a batch file into chunks.
type splitter struct {
	ctx       context.Context
	objects   platform.Objects
	job       *Job
	rules     fleet.Rules
	workspace *fleet.Workspace
	buf       bytes.Buffer
	inChunk   int
	seen      map[string]int
	models    map[string]bool
}

func (s *splitter) run(body io.Reader) error {
	s.seen = make(map[string]int)
	s.models = make(map[string]bool)
	if err := scanLines(body, s.line); err != nil {
		return storeError(err)
	}
	if s.job.Items == 0 {
		return result.New(result.EmptyBatch, result.NotRun)
	}
	s.job.Models = slices.Sorted(maps.Keys(s.models))
	return s.flush()
}

func (s *splitter) line(number int, line []byte) error {
	item, err := parseItem(number, line, s.job.Endpoint)
	if err != nil {
		return err
	}
	if first, ok := s.seen[item.CustomID]; ok {
		return result.Errorf(result.BadBatchLine, "line %d: custom_id %q was used in line %d", number, item.CustomID, first)
	}
	model := item.Model()
	if !s.workspace.MayUse(model) {
		return result.Errorf(result.ModelNotAllowed, "line %d: workspace %q may not use model %q", number, s.workspace.Name, model)
	}
	s.seen[item.CustomID] = number
	s.models[model] = true
	s.job.Items++
	if s.job.Items > s.rules.MaxItems {
		return result.Errorf(result.TooManyItems, "the file holds more than %d items", s.rules.MaxItems)
	}
	s.buf.Write(line)
	s.buf.WriteByte('\n')
	s.inChunk++
	if s.inChunk == s.rules.ChunkItems {
		return s.flush()
	}
	return nil
}

// flush stores the collected lines as the next chunk.
func (s *splitter) flush() error {
	if s.inChunk == 0 {
		return nil
	}
	err := s.objects.Put(s.ctx, inputObject(s.job.ID, s.job.Chunks), bytes.NewReader(s.buf.Bytes()))
	if err != nil {
		return storeError(err)
	}
	s.job.Chunks++
	s.inChunk = 0
	s.buf.Reset()
	return nil
}
