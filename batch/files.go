package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// PutFile stores a file's content while it reads it from body, and then the file's
// record.
func (s *Store) PutFile(ctx context.Context, workspace, name string, body io.Reader) (File, error) {
	f := File{ID: fileIDPrefix + uuid.NewString(), Workspace: workspace, Name: name, Created: time.Now().UTC()}
	counter := &digestReader{r: body, hash: sha256.New()}
	if err := s.objects.Put(ctx, fileObjectName(f.ID), counter); err != nil {
		return f, storeError(err)
	}
	f.Bytes = counter.n
	f.Digest = hex.EncodeToString(counter.hash.Sum(nil))
	var ops opBuilder
	ops.put(fileKey(f.ID), f, 0)
	if err := s.commit(ctx, &ops); err != nil {
		return f, s.readBackFile(ctx, &f, err)
	}
	return f, nil
}

// readBackFile reads a file's record to find out whether it was written although the
// response was lost. It returns cause as a result error if not or if that is not known.
func (s *Store) readBackFile(ctx context.Context, f *File, cause error) error {
	for range maxReadBackAttempts {
		_, err := s.File(ctx, f.Workspace, f.ID)
		if err == nil {
			return nil
		}
		if result.CodeOf(err) == result.UnknownFile || !timer.Sleep(ctx, readBackDelay) {
			break
		}
	}
	return storeError(cause)
}

// digestReader counts and hashes the bytes read through it.
type digestReader struct {
	r    io.Reader
	hash hash.Hash
	n    int64
}

// Read implements io.Reader.
func (d *digestReader) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	d.hash.Write(p[:n])
	d.n += int64(n)
	return n, err
}

// File returns the record of a file of the workspace. It returns an error
// with code result.UnknownFile if the workspace has no such file.
func (s *Store) File(ctx context.Context, workspace, id string) (File, error) {
	var f File
	_, err := s.get(ctx, fileKey(id), &f)
	if errors.Is(err, store.ErrNotFound) || (err == nil && f.Workspace != workspace) {
		return f, result.Errorf(result.UnknownFile, "file %q does not exist", id)
	}
	if err != nil {
		return f, storeError(err)
	}
	return f, nil
}

// Content returns the content of an uploaded file or of a job's result file.
// The caller must close it.
func (s *Store) Content(ctx context.Context, workspace, id string) (io.ReadCloser, error) {
	if job, errs, ok := parseResultFileID(id); ok {
		return s.openResults(ctx, workspace, job, errs)
	}
	if _, err := s.File(ctx, workspace, id); err != nil {
		return nil, err
	}
	body, err := s.objects.Get(ctx, fileObjectName(id))
	if err != nil {
		return nil, storeError(err)
	}
	return body, nil
}

// openResults returns the result lines, or with errs the error lines, of all chunks of
// the job that are done, ordered by chunk.
func (s *Store) openResults(ctx context.Context, workspace, id string, errs bool) (io.ReadCloser, error) {
	job, err := s.Job(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	chunks, err := s.Chunks(ctx, job.ID)
	if err != nil {
		return nil, err
	}
	r := &resultsReader{ctx: ctx, objects: s.objects, errs: errs}
	for i := range chunks {
		if chunks[i].Done && (errs && chunks[i].Failed > 0 || !errs && chunks[i].Completed > 0) {
			r.chunks = append(r.chunks, chunks[i])
		}
	}
	return r, nil
}

// resultsReader reads the result lines, or with errs the error lines, of a list of
// chunks one after the other.
type resultsReader struct {
	ctx     context.Context
	objects store.Objects
	errs    bool
	chunks  []Chunk       // chunks that are not opened yet
	current io.ReadCloser // the results object that is being read, or nil
	lines   io.Reader     // the wanted lines of current
}

// openNext opens the results of the next chunk, positioned at the wanted lines.
func (r *resultsReader) openNext() error {
	c := r.chunks[0]
	body, err := r.objects.Get(r.ctx, c.Results)
	if err != nil {
		return err
	}
	r.current, r.chunks = body, r.chunks[1:]
	r.lines = io.LimitReader(body, c.OutputBytes)
	if !r.errs {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.lines); err != nil {
		return err
	}
	r.lines = body
	return nil
}

// Read implements io.Reader.
func (r *resultsReader) Read(p []byte) (int, error) {
	for {
		if r.current == nil {
			if len(r.chunks) == 0 {
				return 0, io.EOF
			}
			if err := r.openNext(); err != nil {
				return 0, err
			}
		}
		n, err := r.lines.Read(p)
		if !errors.Is(err, io.EOF) {
			return n, err
		}
		r.Close()
		if n > 0 {
			return n, nil
		}
	}
}

// Close closes the object that is being read.
func (r *resultsReader) Close() error {
	if r.current == nil {
		return nil
	}
	err := r.current.Close()
	r.current = nil
	return err
}
