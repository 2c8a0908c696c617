// Package storetest holds a store.Store in memory for tests, whose calls can be
// lost in the ways that a remote store's can.
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

// Loss is what happens to a transaction instead of its answer.
type Loss int

const (
	// None answers.
	None Loss = iota
	// Done applies the transaction and loses the answer.
	Done
	// Late keeps the transaction for FinishLate and loses the answer.
	Late
	// Never refuses every call; nothing is done.
	Never
)

// maxRows is the largest number of rows in one reading.
const maxRows = 3

// Store is a store.Store in memory.
type Store struct {
	// Lose is what happens to the next transaction with conditions; it holds
	// once, but for Never.
	Lose Loss
	// BeforeCommit runs before a transaction is applied. It may be nil.
	BeforeCommit func()

	mu      sync.Mutex
	rows    map[store.Key]store.Row
	version int64
	late    []store.Tx
}

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[store.Key]store.Row)} }

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, tx store.Tx) (store.Reading, error) {
	if hook := s.BeforeCommit; hook != nil {
		hook()
	}
	loss := s.Lose
	if loss != Never && loss != None {
		s.Lose = None
	}
	switch loss {
	case Never:
		return store.Reading{}, store.ErrNotDone
	case Late:
		s.late = append(s.late, tx)
		return store.Reading{}, store.ErrUnknown
	case Done:
		_, _ = s.apply(tx)
		return store.Reading{}, store.ErrUnknown
	}
	return s.apply(tx)
}

// FinishLate applies the transactions that were kept, if their conditions still
// hold.
func (s *Store) FinishLate() {
	for _, tx := range s.late {
		_, _ = s.apply(tx)
	}
	s.late = nil
}

func (s *Store) apply(tx store.Tx) (store.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &store.Conflict{}
	held := true
	for _, c := range tx.If {
		row, exists := s.rows[c.Key]
		held = held && row.Version == c.Version
		if exists {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if !held {
		return store.Reading{}, conflict
	}
	s.version++
	for _, row := range tx.Put {
		row.Version = s.version
		s.rows[row.Key] = row
	}
	for _, key := range tx.Remove {
		delete(s.rows, key)
	}
	return s.reading(nil), nil
}

func (s *Store) reading(rows []store.Row) store.Reading {
	return store.Reading{Rows: rows, Version: s.version, Now: time.Duration(s.version) * time.Millisecond}
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, r store.Range) (store.Reading, error) {
	if s.Lose == Never {
		return store.Reading{}, store.ErrNotDone
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
	limit := maxRows
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	reading := s.reading(found[:min(limit, len(found))])
	reading.More = len(found) > limit
	return reading, nil
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

// Changes implements store.Store. It keeps no history.
func (s *Store) Changes(context.Context, string, int64, time.Duration) (store.Reading, error) {
	return store.Reading{}, store.ErrHistoryGone
}
