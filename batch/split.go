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
	maxChunk   = 8 << 20  // bytes of one chunk's lines
	maxPending = 32 << 20 // bytes of the lines that are not stored yet
)

// pendingChunk collects the next chunk of one model.
type pendingChunk struct {
	buf   bytes.Buffer
	items int
}

// splitter cuts a batch file into chunks as it is read. Each chunk holds items
// of one model.
type splitter struct {
	ctx       context.Context
	store     *Store
	job       *Job
	lanes     map[string]*lane
	rules     fleet.Rules
	workspace *fleet.Workspace
	seen      map[string]int // custom ID to line
	pending   map[string]*pendingChunk
	bytes     int
}

// split stores the items of the file as chunks.
func (a *acceptance) split(ctx context.Context, rules fleet.Rules) error {
	body, err := a.s.objects.Get(ctx, fileObject(a.sub.InputFile))
	if err != nil {
		return storeError(err)
	}
	defer body.Close()
	s := &splitter{
		ctx: ctx, store: a.s, job: &a.job, lanes: a.lanes, rules: rules, workspace: a.sub.Workspace,
		seen:    make(map[string]int),
		pending: make(map[string]*pendingChunk),
	}
	if err := scanLines(body, s.line); err != nil {
		return storeError(err)
	}
	return s.finish()
}

func (s *splitter) finish() error {
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

func (s *splitter) line(number int, line []byte) error {
	item, err := s.check(number, line)
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
	s.bytes += len(line) + 1
	switch {
	case p.items >= s.rules.ChunkItems, p.buf.Len() >= maxChunk:
		return s.flush(model)
	case s.bytes >= maxPending:
		return s.flush(s.largest())
	}
	return nil
}

// check refuses a line that cannot be part of the job.
func (s *splitter) check(number int, line []byte) (Item, error) {
	item, err := parseItem(number, line, s.job.Endpoint)
	if err != nil {
		return item, err
	}
	if first, ok := s.seen[item.CustomID]; ok {
		return item, result.Errorf(result.BadBatchLine, "line %d: custom_id %q was used in line %d", number, item.CustomID, first)
	}
	if model := item.Model(); !s.workspace.MayUse(model) {
		return item, result.Errorf(result.ModelNotAllowed, "line %d: workspace %q may not use model %q", number, s.workspace.Name, model)
	}
	if s.job.Items == s.rules.MaxItems {
		return item, result.Errorf(result.TooManyItems, "line %d: the file holds more than %d items", number, s.rules.MaxItems)
	}
	s.seen[item.CustomID] = number
	return item, nil
}

// largest returns the model with the most pending bytes.
func (s *splitter) largest() string {
	most := ""
	for model, p := range s.pending {
		if most == "" || p.buf.Len() > s.pending[most].buf.Len() {
			most = model
		}
	}
	return most
}

// flush stores the pending lines of the model as the next chunk.
func (s *splitter) flush(model string) error {
	p := s.pending[model]
	if p.items == 0 {
		return nil
	}
	index := s.job.Chunks
	s.job.Chunks++
	if err := s.store.putObject(s.ctx, inputObject(s.job.ID, index), p.buf.Bytes()); err != nil {
		return err
	}
	l := s.lanes[model]
	if l == nil {
		l = &lane{Job: s.job.ID, Workspace: s.job.Workspace, Model: model, Due: s.job.Due}
		s.lanes[model] = l
	}
	l.Pending = append(l.Pending, index)
	s.bytes -= p.buf.Len()
	p.items = 0
	p.buf.Reset()
	return nil
}

const putTries = 3

// putObject stores an object. It repeats a call without an answer, which does
// no harm since the content is the same.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	var err error
	for range putTries {
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
