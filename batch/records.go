package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

// Store keeps files and jobs in the platform's stores.
type Store struct {
	table   store.Table
	objects store.Objects
}

// NewStore returns a Store on the platform's services.
func NewStore(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

func storeError(err error) error {
	var typed *result.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// opWriter collects the operations of a transaction.
type opWriter struct {
	ops []store.Op
	err error
}

func (w *opWriter) add(op store.Op, value any) {
	data, err := json.Marshal(value)
	if err != nil && w.err == nil {
		w.err = fmt.Errorf("encode record %s: %w", op.Key, err)
	}
	op.Value = data
	w.ops = append(w.ops, op)
}

// put writes a record that has the given version.
func (w *opWriter) put(key string, value any, version uint64) {
	w.add(store.Op{Kind: store.Put, Key: key, Version: version}, value)
}

// putAny writes a record whatever its version.
func (w *opWriter) putAny(key string, value any) {
	w.add(store.Op{Kind: store.Put, Key: key, Any: true}, value)
}

// check requires a record to have the given version.
func (w *opWriter) check(key string, version uint64) {
	w.ops = append(w.ops, store.Op{Kind: store.Check, Key: key, Version: version})
}

// remove deletes a record that has the given version.
func (w *opWriter) remove(key string, version uint64) {
	w.ops = append(w.ops, store.Op{Kind: store.Delete, Key: key, Version: version})
}

// removeAny deletes records whatever their versions.
func (w *opWriter) removeAny(keys ...string) {
	for _, key := range keys {
		w.ops = append(w.ops, store.Op{Kind: store.Delete, Key: key, Any: true})
	}
}

// commit applies the operations.
func (s *Store) commit(ctx context.Context, w *opWriter) error {
	if w.err != nil {
		return w.err
	}
	return s.table.Commit(ctx, w.ops...)
}

// get reads a record into value and returns its version.
func (s *Store) get(ctx context.Context, key string, value any) (uint64, error) {
	record, err := s.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return record.Version, decode(&record, value)
}

func decode(record *store.Record, value any) error {
	if err := json.Unmarshal(record.Value, value); err != nil {
		return fmt.Errorf("decode record %s: %w", record.Key, err)
	}
	return nil
}
