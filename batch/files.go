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

// PutFile stores a file as it arrives and then its record.
func (s *Store) PutFile(ctx context.Context, workspace, name string, body io.Reader) (File, error) {
	f := File{ID: fileIDPrefix + uuid.NewString(), Workspace: workspace, Name: name, Created: time.Now().UTC()}
	counter := &digestReader{r: body, hash: sha256.New()}
	if err := s.objects.Put(ctx, fileObject(f.ID), counter); err != nil {
		return f, storeError(err)
	}
	f.Bytes = counter.n
	f.Digest = hex.EncodeToString(counter.hash.Sum(nil))
	var w opWriter
	w.put(fileKey(f.ID), f, 0)
	if err := s.commit(ctx, &w); err != nil {
		return f, s.readBackFile(ctx, &f, err)
	}
	return f, nil
}

// readBackFile finds out whether a file's record was written although its
// answer was lost.
func (s *Store) readBackFile(ctx context.Context, f *File, cause error) error {
	for range readBackTries {
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

// digestReader counts and hashes what is read.
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

// File returns a file of the workspace.
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
	r := &resultsReader{ctx: ctx, objects: s.objects, errs: errs}
	for i := range chunks {
		if chunks[i].Done && (errs && chunks[i].Failed > 0 || !errs && chunks[i].Completed > 0) {
			r.chunks = append(r.chunks, chunks[i])
		}
	}
	return r, nil
}

// resultsReader reads the result or error lines of chunks, one chunk after the
// other.
type resultsReader struct {
	ctx     context.Context
	objects store.Objects
	errs    bool
	chunks  []Chunk
	current io.ReadCloser
	part    io.Reader
}

// open opens the results of the next chunk.
func (r *resultsReader) open() error {
	c := r.chunks[0]
	body, err := r.objects.Get(r.ctx, c.Results)
	if err != nil {
		return err
	}
	r.current, r.chunks = body, r.chunks[1:]
	r.part = io.LimitReader(body, c.OutputBytes)
	if !r.errs {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.part); err != nil {
		return err
	}
	r.part = body
	return nil
}

// Read implements io.Reader.
func (r *resultsReader) Read(p []byte) (int, error) {
	for {
		if r.current == nil {
			if len(r.chunks) == 0 {
				return 0, io.EOF
			}
			if err := r.open(); err != nil {
				return 0, err
			}
		}
		n, err := r.part.Read(p)
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
func (r *resultsReader) Close() error {
	if r.current == nil {
		return nil
	}
	err := r.current.Close()
	r.current = nil
	return err
}
