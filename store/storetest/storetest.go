// Package storetest provides an in-memory store.Store for tests. Its transactions can
// fail in the ways that those of a remote store can.
package storetest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/store"
)

// Failure is the way in which a transaction fails.
type Failure int

const (
	// NoFailure lets the transaction succeed and returns its response.
	NoFailure Failure = iota
	// LoseResponse applies the transaction and loses the response.
	LoseResponse
	// DelayCommit holds the transaction back, to be applied later, and loses the response.
	DelayCommit
	// RejectCalls rejects every Commit and Get, without effect. It stays in force
	// until the test changes it.
	RejectCalls
)

// maxRowsPerRead is the maximum number of rows in the response to one Get. It is small
// so that tests read in several pages.
const maxRowsPerRead = 3

// Store is an in-memory store.Store. Get, Parts and Changes may be called while another
// goroutine commits. The exported fields and the transactions that are held back are not
// guarded.
type Store struct {
	// NextFailure is the way in which the next transaction fails. It applies to one
	// transaction, unless all calls are rejected.
	NextFailure Failure
	// BeforeCommit is called at the start of each Commit. It may be nil.
	BeforeCommit func()

	mu      sync.Mutex
	rows    map[store.Key]store.Row
	version int64
	delayed []store.Tx
}

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[store.Key]store.Row)} }

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, tx store.Tx) (store.Response, error) {
	if hook := s.BeforeCommit; hook != nil {
		hook()
	}
	failure := s.NextFailure
	if failure != RejectCalls && failure != NoFailure {
		s.NextFailure = NoFailure
	}
	switch failure {
	case RejectCalls:
		return store.Response{}, store.ErrNotExecuted
	case DelayCommit:
		s.delayed = append(s.delayed, tx)
		return store.Response{}, store.ErrOutcomeUnknown
	case LoseResponse:
		_, _ = s.apply(tx)
		return store.Response{}, store.ErrOutcomeUnknown
	}
	return s.apply(tx)
}

// ApplyDelayed applies the transactions that were held back, each only if its conditions
// still hold.
func (s *Store) ApplyDelayed() {
	for _, tx := range s.delayed {
		_, _ = s.apply(tx)
	}
	s.delayed = nil
}

func (s *Store) apply(tx store.Tx) (store.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &store.Conflict{}
	holds := true
	for _, c := range tx.If {
		row, exists := s.rows[c.Key]
		holds = holds && row.Version == c.Version
		if exists {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if !holds {
		return store.Response{}, conflict
	}
	s.version++
	for _, row := range tx.Put {
		row.Version = s.version
		s.rows[row.Key] = row
	}
	for _, key := range tx.Remove {
		delete(s.rows, key)
	}
	return s.response(nil), nil
}

func (s *Store) response(rows []store.Row) store.Response {
	return store.Response{Rows: rows, Version: s.version, StoreTime: time.Duration(s.version) * time.Millisecond}
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, r store.Range) (store.Response, error) {
	if s.NextFailure == RejectCalls {
		return store.Response{}, store.ErrNotExecuted
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Row
	for key, row := range s.rows {
		if key.Table == r.Table && key.Part == r.Part && key.Name >= r.From && (r.To == "" || key.Name < r.To) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b store.Row) int { return strings.Compare(a.Name, b.Name) })
	limit := maxRowsPerRead
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	response := s.response(found[:min(limit, len(found))])
	response.HasMore = len(found) > limit
	return response, nil
}

// Parts implements store.Store.
func (s *Store) Parts(_ context.Context, table string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]bool)
	for key := range s.rows {
		if key.Table == table {
			parts[key.Part] = true
		}
	}
	return slices.Sorted(maps.Keys(parts)), nil
}

// Changes implements store.Store. It always returns ErrHistoryGone, since no history is
// kept.
func (s *Store) Changes(context.Context, string, int64, time.Duration) (store.Response, error) {
	return store.Response{}, store.ErrHistoryGone
}
