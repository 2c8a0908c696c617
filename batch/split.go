package batch

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	maxChunkBytes   = 8 << 20  // a pending chunk is stored once its lines reach this size
	maxPendingBytes = 32 << 20 // the largest pending chunk is stored once all pending chunks reach this size together
)

// pendingChunk collects the lines of the next chunk of one model.
type pendingChunk struct {
	buf   bytes.Buffer
	items int
}

// splitter splits a batch file into chunks while reading it. Each chunk holds items of
// one model.
type splitter struct {
	ctx            context.Context
	store          *Store
	job            *Job
	lanes          map[string]*lane
	rules          fleet.Rules
	workspace      *fleet.Workspace
	lineByCustomID map[string]int           // line numbers
	pending        map[string]*pendingChunk // by model
	pendingBytes   int
}

// split reads the input file and stores its items as chunks. It sets the job's counts and
// models, and the lanes.
func (a *acceptance) split(ctx context.Context, rules fleet.Rules) error {
	body, err := a.jobs.objects.Get(ctx, fileObjectName(a.sub.InputFile))
	if err != nil {
		return storeError(err)
	}
	defer body.Close()
	s := &splitter{
		ctx: ctx, store: a.jobs, job: &a.job, lanes: a.lanes, rules: rules, workspace: a.sub.Workspace,
		lineByCustomID: make(map[string]int),
		pending:        make(map[string]*pendingChunk),
	}
	if err := scanLines(body, s.addLine); err != nil {
		return storeError(err)
	}
	return s.flushAll()
}

// flushAll stores the remaining lines at the end of the file.
func (s *splitter) flushAll() error {
	if s.job.Items == 0 {
		return result.New(result.EmptyBatch, result.NotRun)
	}
	s.job.Models = slices.Sorted(maps.Keys(s.pending))
	for _, model := range s.job.Models {
		if err := s.flush(model); err != nil {
			return err
		}
	}
	return nil
}

// addLine adds a line to its model's pending chunk. It stores a chunk that is full, or the
// largest one if all pending chunks together hold too many bytes.
func (s *splitter) addLine(number int, line []byte) error {
	item, err := s.checkLine(number, line)
	if err != nil {
		return err
	}
	model := item.Model()
	p := s.pending[model]
	if p == nil {
		p = new(pendingChunk)
		s.pending[model] = p
	}
	s.job.Items++
	p.items++
	p.buf.Write(line)
	p.buf.WriteByte('\n')
	s.pendingBytes += len(line) + 1
	switch {
	case p.items >= s.rules.ChunkItems, p.buf.Len() >= maxChunkBytes:
		return s.flush(model)
	case s.pendingBytes >= maxPendingBytes:
		return s.flush(s.largestPending())
	}
	return nil
}

// checkLine parses a line and returns an error if it cannot be part of the job.
func (s *splitter) checkLine(number int, line []byte) (Item, error) {
	item, err := parseItem(number, line, s.job.Endpoint)
	if err != nil {
		return item, err
	}
	if first, ok := s.lineByCustomID[item.CustomID]; ok {
		return item, result.Errorf(result.BadBatchLine, "line %d: custom_id %q was used in line %d", number, item.CustomID, first)
	}
	if model := item.Model(); !s.workspace.CanUse(model) {
		return item, result.Errorf(result.ModelNotAllowed, "line %d: workspace %q may not use model %q", number, s.workspace.Name, model)
	}
	if s.job.Items == s.rules.MaxItems {
		return item, result.Errorf(result.TooManyItems, "line %d: the file holds more than %d items", number, s.rules.MaxItems)
	}
	s.lineByCustomID[item.CustomID] = number
	return item, nil
}

// largestPending returns the model whose pending chunk has the most bytes.
func (s *splitter) largestPending() string {
	most := ""
	for model, p := range s.pending {
		if most == "" || p.buf.Len() > s.pending[most].buf.Len() {
			most = model
		}
	}
	return most
}

// flush stores the pending lines of the model as the job's next chunk.
func (s *splitter) flush(model string) error {
	p := s.pending[model]
	if p.items == 0 {
		return nil
	}
	index := s.job.Chunks
	s.job.Chunks++
	if err := s.store.putObject(s.ctx, inputObjectName(s.job.ID, index), p.buf.Bytes()); err != nil {
		return err
	}
	l := s.lanes[model]
	if l == nil {
		l = &lane{Job: s.job.ID, Workspace: s.job.Workspace, Model: model, Due: s.job.Due}
		s.lanes[model] = l
	}
	l.Pending = append(l.Pending, index)
	s.pendingBytes -= p.buf.Len()
	p.items = 0
	p.buf.Reset()
	return nil
}

const maxPutAttempts = 3

// putObject stores an object. It repeats a call that failed, which is safe since the
// content is the same.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	var err error
	for range maxPutAttempts {
		err = s.objects.Put(ctx, name, bytes.NewReader(data))
		if err == nil {
			return nil
		}
		if errors.Is(err, context.Canceled) || !timer.Sleep(ctx, readBackDelay) {
			break
		}
	}
	return storeError(err)
}
