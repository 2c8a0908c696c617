package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

// Store stores files and jobs: records in a table, contents in an object store. It may
// be used by several goroutines if the table and the object store may.
type Store struct {
	table   store.Table
	objects store.Objects
}

// NewStore returns a Store that uses the given table and object store.
func NewStore(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// storeError returns err as a result error. An error of another type gets the code
// result.StoreUnavailable and a verdict that says that the call may have taken effect.
func storeError(err error) error {
	var typed *result.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// opBuilder collects the operations of a transaction. It keeps the first encoding error
// for commit to return.
type opBuilder struct {
	ops []store.Op
	err error
}

func (b *opBuilder) add(op store.Op, value any) {
	data, err := json.Marshal(value)
	if err != nil && b.err == nil {
		b.err = fmt.Errorf("encode record %s: %w", op.Key, err)
	}
	op.Value = data
	b.ops = append(b.ops, op)
}

// put adds a write of a record that must have the given version.
func (b *opBuilder) put(key string, value any, version uint64) {
	b.add(store.Op{Kind: store.OpPut, Key: key, Version: version}, value)
}

// putAny adds a write of a record that may have any version.
func (b *opBuilder) putAny(key string, value any) {
	b.add(store.Op{Kind: store.OpPut, Key: key, Unconditional: true}, value)
}

// check adds the condition that a record has the given version.
func (b *opBuilder) check(key string, version uint64) {
	b.ops = append(b.ops, store.Op{Kind: store.OpCheck, Key: key, Version: version})
}

// remove adds the deletion of a record that must have the given version.
func (b *opBuilder) remove(key string, version uint64) {
	b.ops = append(b.ops, store.Op{Kind: store.OpDelete, Key: key, Version: version})
}

// removeAny adds the deletion of records that may have any version.
func (b *opBuilder) removeAny(keys ...string) {
	for _, key := range keys {
		b.ops = append(b.ops, store.Op{Kind: store.OpDelete, Key: key, Unconditional: true})
	}
}

// commit applies the operations in one transaction.
func (s *Store) commit(ctx context.Context, b *opBuilder) error {
	if b.err != nil {
		return b.err
	}
	return s.table.Commit(ctx, b.ops...)
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
