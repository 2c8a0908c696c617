package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/result"
)

const scanLimit = 1000

// Store keeps files and jobs in the platform's stores.
type Store struct {
	table   platform.Table
	objects platform.Objects
}

// NewStore returns a Store on the platform's services.
func NewStore(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects}
}

func storeError(err error) error {
	var typed *result.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// PutFile stores a file and its record.
func (s *Store) PutFile(ctx context.Context, workspace, name string, body io.Reader) (File, error) {
	f := File{ID: fileIDPrefix + uuid.NewString(), Workspace: workspace, Name: name, Created: time.Now().UTC()}
	counter := &countingReader{r: body}
	if err := s.objects.Put(ctx, fileObject(f.ID), counter); err != nil {
		return f, storeError(err)
	}
	f.Bytes = counter.n
	return f, s.put(ctx, fileKey(f.ID), f, 0)
}

type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// put writes one record on the condition that it has the given version.
func (s *Store) put(ctx context.Context, key string, value any, version uint64) error {
	op, err := putOp(key, value, version)
	if err != nil {
		return err
	}
	if err := s.table.Commit(ctx, op); err != nil {
		return storeError(err)
	}
	return nil
}

func putOp(key string, value any, version uint64) (platform.Op, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Op{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return platform.Op{Kind: platform.Put, Key: key, Value: data, Version: version}, nil
}

// get reads a record into value and returns its version.
func (s *Store) get(ctx context.Context, key string, value any) (uint64, error) {
	record, err := s.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(record.Value, value); err != nil {
		return 0, fmt.Errorf("decode record %s: %w", key, err)
	}
	return record.Version, nil
}

// File returns a file of the workspace.
func (s *Store) File(ctx context.Context, workspace, id string) (File, error) {
	var f File
	_, err := s.get(ctx, fileKey(id), &f)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && f.Workspace != workspace) {
		return f, result.Errorf(result.UnknownFile, "file %q does not exist", id)
	}
	if err != nil {
		return f, storeError(err)
	}
	return f, nil
}

// Content returns the content of an uploaded file or of a job's result file.
// The caller closes it.
func (s *Store) Content(ctx context.Context, workspace, id string) (io.ReadCloser, error) {
	if job, errs, ok := resultFile(id); ok {
		return s.results(ctx, workspace, job, errs)
	}
	if _, err := s.File(ctx, workspace, id); err != nil {
		return nil, err
	}
	body, err := s.objects.Get(ctx, fileObject(id))
	if err != nil {
		return nil, storeError(err)
	}
	return body, nil
}

// results returns the lines of every chunk that is done, in order.
func (s *Store) results(ctx context.Context, workspace, id string, errs bool) (io.ReadCloser, error) {
	job, err := s.Job(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	chunks, err := s.Chunks(ctx, job.ID)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, c := range chunks {
		name := c.Output
		if errs {
			name = c.Errors
		}
		if c.Done && name != "" {
			names = append(names, name)
		}
	}
	return &objectsReader{ctx: ctx, objects: s.objects, names: names}, nil
}

// objectsReader reads objects one after the other.
type objectsReader struct {
	ctx     context.Context
	objects platform.Objects
	names   []string
	current io.ReadCloser
}

// Read implements io.Reader.
func (r *objectsReader) Read(p []byte) (int, error) {
	for {
		if r.current == nil {
			if len(r.names) == 0 {
				return 0, io.EOF
			}
			body, err := r.objects.Get(r.ctx, r.names[0])
			if err != nil {
				return 0, err
			}
			r.current, r.names = body, r.names[1:]
		}
		n, err := r.current.Read(p)
		if !errors.Is(err, io.EOF) {
			return n, err
		}
		r.Close()
		if n > 0 {
			return n, nil
		}
	}
}

// Close releases the object that is being read.
func (r *objectsReader) Close() error {
	if r.current == nil {
		return nil
	}
	err := r.current.Close()
	r.current = nil
	return err
}

// Job returns a job of the workspace. An empty workspace finds every job.
func (s *Store) Job(ctx context.Context, workspace, id string) (Job, error) {
	j, _, err := s.job(ctx, workspace, id)
	return j, err
}

func (s *Store) job(ctx context.Context, workspace, id string) (Job, uint64, error) {
	var j Job
	version, err := s.get(ctx, jobKey(id), &j)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && workspace != "" && j.Workspace != workspace) {
		return j, 0, result.Errorf(result.UnknownJob, "batch job %q does not exist", id)
	}
	if err != nil {
		return j, 0, storeError(err)
	}
	return j, version, nil
}

// Jobs returns the jobs of the workspace, or all if it is empty.
func (s *Store) Jobs(ctx context.Context, workspace string) ([]Job, error) {
	var jobs []Job
	err := scan(ctx, s.table, jobPrefix(), func(_ string, j Job) {
		if workspace == "" || j.Workspace == workspace {
			jobs = append(jobs, j)
		}
	})
	return jobs, err
}

// scan decodes every record whose key has the prefix.
func scan[T any](ctx context.Context, table platform.Table, prefix string, each func(key string, value T)) error {
	after := ""
	for {
		records, err := table.Scan(ctx, prefix, after, scanLimit)
		if err != nil {
			return storeError(err)
		}
		for _, r := range records {
			var value T
			if err := json.Unmarshal(r.Value, &value); err != nil {
				return fmt.Errorf("decode record %s: %w", r.Key, err)
			}
			each(r.Key, value)
		}
		if len(records) < scanLimit {
			return nil
		}
		after = records[len(records)-1].Key
	}
}

// Chunks returns the chunks of the job that were claimed, in order.
func (s *Store) Chunks(ctx context.Context, job string) ([]Claim, error) {
	var chunks []Claim
	records, err := s.table.Scan(ctx, chunkPrefix(job), "", scanLimit)
	if err != nil {
		return nil, storeError(err)
	}
	for _, r := range records {
		c := Claim{Version: r.Version}
		if err := json.Unmarshal(r.Value, &c.Chunk); err != nil {
			return nil, fmt.Errorf("decode record %s: %w", r.Key, err)
		}
		chunks = append(chunks, c)
	}
	return chunks, nil
}

// Progress counts the items of the job.
func (s *Store) Progress(ctx context.Context, job *Job) (Progress, error) {
	chunks, err := s.Chunks(ctx, job.ID)
	if err != nil {
		return Progress{}, err
	}
	var p Progress
	done := 0
	for _, c := range chunks {
		if c.Done {
			done++
			p.Completed += c.Completed
			p.Failed += c.Failed
		}
	}
	p.Done = done == job.Chunks
	return p, nil
}

// Input returns the lines of a chunk.
func (s *Store) Input(ctx context.Context, c Chunk) ([]Item, error) {
	data, err := platform.ReadObject(ctx, s.objects, inputObject(c.Job, c.Index))
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
