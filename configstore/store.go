// Package configstore keeps the accepted configuration in the platform's
// table and object store. One head record names the objects that make up the
// current version; accepting a change is one conditional write of the head.
package configstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

// HeadKey is the key of the head record.
const HeadKey = "config/head"

const (
	historyPrefix = "config/history/"
	keyShards     = 64
)

// Head names the objects of one accepted version.
type Head = fleet.Head

// Change describes a change to make.
type Change struct {
	// Operation identifies the change; a repeated operation takes effect once.
	Operation string
	// Author says who makes the change.
	Author string
	// Summary says what is changed.
	Summary string
	// Base is the version the change was made against, or 0 for any.
	Base uint64
	// Edit returns the changed state. It must not modify its argument.
	Edit func(fleet.State) (fleet.State, error)
	// Accepted receives the accepted configuration, if the change made it in
	// this call. It may be nil.
	Accepted func(Head, fleet.State)
}

// Store reads and writes the accepted configuration.
type Store struct {
	table   store.Table
	objects store.Objects
}

// New returns a Store on the platform's services.
func New(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the current head and its record version. It returns
// store.ErrNotModified while the record still has the known version, and
// store.ErrNotFound before the first change.
func (s *Store) Head(ctx context.Context, known uint64) (Head, uint64, error) {
	record, err := s.table.GetNewer(ctx, HeadKey, known)
	if err != nil {
		return Head{}, 0, err
	}
	head, err := decodeHead(record.Value)
	return head, record.Version, err
}

func decodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, fmt.Errorf("decode configuration head: %w", err)
	}
	return head, nil
}

// Load returns the state that head names. Objects that prev, made of prevHead,
// already holds are not read again; prev may be nil.
func (s *Store) Load(ctx context.Context, head Head, prev *fleet.State, prevHead Head) (fleet.State, error) {
	return assemble(head, prev, prevHead, func(name string, value any) error {
		return s.readObject(ctx, name, value)
	})
}

// assemble returns the state that head names. It reads the objects that prev
// does not hold with the given function.
func assemble(head Head, prev *fleet.State, prevHead Head, read func(name string, value any) error) (fleet.State, error) {
	state := fleet.State{Version: head.Version, Out: head.Out}
	if prev != nil && prevHead.Inventory == head.Inventory {
		state.Inventory = prev.Inventory
	} else if err := read(inventoryName(head.Inventory), &state.Inventory); err != nil {
		return state, err
	}
	for shard, digest := range head.Keys {
		var keys []fleet.Key
		switch {
		case digest == "":
		case prev != nil && digestOf(prevHead, shard) == digest:
			keys = shardOf(prev.Keys, shard)
		default:
			if err := read(keysName(digest), &keys); err != nil {
				return state, err
			}
		}
		state.Keys = append(state.Keys, keys...)
	}
	return state, nil
}

// digestOf returns the digest of a shard of keys, or "".
func digestOf(head Head, shard int) string {
	if shard >= len(head.Keys) {
		return ""
	}
	return head.Keys[shard]
}

func shardOf(keys []fleet.Key, shard int) []fleet.Key {
	var part []fleet.Key
	for _, k := range keys {
		if keyShard(k) == shard {
			part = append(part, k)
		}
	}
	return part
}

func keyShard(k fleet.Key) int { return int(k.Digest[0]) % keyShards }

func inventoryName(digest string) string { return "config/inventory/" + digest }

func keysName(digest string) string { return "config/keys/" + digest }

func (s *Store) readObject(ctx context.Context, name string, value any) error {
	data, err := store.ReadObject(ctx, s.objects, name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	return nil
}

// Apply makes the change and returns the head that holds it. When an answer of
// the store was lost, it reads back whether the operation took effect, and
// never applies it twice. It returns a result.ConfigConflict error when
// another change was accepted first.
func (s *Store) Apply(ctx context.Context, change Change) (Head, error) {
	head, record, err := s.Head(ctx, 0)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Head{}, storeError(err)
	}
	done, err := s.find(ctx, change.Operation)
	if err != nil {
		return Head{}, storeError(err)
	}
	if done != nil {
		return *done, nil
	}
	if change.Base != 0 && change.Base != head.Version {
		return Head{}, result.Errorf(result.ConfigConflict, "version %d was accepted after version %d", head.Version, change.Base)
	}
	next, state, err := s.prepare(ctx, head, change)
	if err != nil {
		return Head{}, err
	}
	accepted, err := s.commit(ctx, next, record)
	if err == nil && change.Accepted != nil && accepted.SameParts(&next) {
		change.Accepted(accepted, state)
	}
	return accepted, err
}

// find returns the head that the operation made, or nil.
func (s *Store) find(ctx context.Context, operation string) (*Head, error) {
	record, err := s.table.Get(ctx, operationKey(operation))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := decodeHead(record.Value)
	return &head, err
}

func operationKey(operation string) string { return "config/operation/" + operation }

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }

// prepare stores the objects of the changed state and returns it with its head.
func (s *Store) prepare(ctx context.Context, head Head, change Change) (Head, fleet.State, error) {
	state, err := s.Load(ctx, head, emptyIfFirst(head), head)
	if err != nil {
		return Head{}, state, storeError(err)
	}
	state, err = change.Edit(state)
	if err != nil {
		return Head{}, state, err
	}
	next := Head{
		Version:   head.Version + 1,
		Operation: change.Operation,
		Author:    change.Author,
		Summary:   change.Summary,
		Accepted:  time.Now().UTC(),
		Keys:      make([]string, keyShards),
		Out:       slices.Sorted(slices.Values(state.Out)),
	}
	next.Inventory, err = s.writeObject(ctx, inventoryName, state.Inventory, head.Inventory)
	if err != nil {
		return Head{}, state, storeError(err)
	}
	for shard := range keyShards {
		keys := shardOf(state.Keys, shard)
		if len(keys) == 0 {
			continue
		}
		next.Keys[shard], err = s.writeObject(ctx, keysName, keys, digestOf(head, shard))
		if err != nil {
			return Head{}, state, storeError(err)
		}
	}
	state.Version, state.Out = next.Version, next.Out
	return next, state, nil
}

// emptyIfFirst returns an empty state to build on before the first change.
func emptyIfFirst(head Head) *fleet.State {
	if head.Version == 0 {
		return &fleet.State{}
	}
	return nil
}

// writeObject stores value under a name made of its digest, which it returns.
// An object with the known digest is not written again.
func (s *Store) writeObject(ctx context.Context, name func(string) string, value any, known string) (string, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return "", fmt.Errorf("encode configuration: %w", err)
	}
	sum := sha256.Sum256(data)
	digest := hex.EncodeToString(sum[:8])
	if digest == known {
		return digest, nil
	}
	return digest, s.objects.Put(ctx, name(digest), bytes.NewReader(data))
}

// commit writes the head, its history and its operation in one transaction.
func (s *Store) commit(ctx context.Context, next Head, record uint64) (Head, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Head{}, fmt.Errorf("encode configuration head: %w", err)
	}
	err = s.table.Commit(ctx,
		store.Op{Kind: store.Put, Key: HeadKey, Value: data, Version: record},
		store.Op{Kind: store.Put, Key: operationKey(next.Operation), Value: data},
		store.Op{Kind: store.Put, Key: historyKey(next.Version), Value: data},
	)
	if err == nil {
		return next, nil
	}
	done, findErr := s.find(ctx, next.Operation)
	switch {
	case findErr != nil:
		return Head{}, &result.Error{
			Code:    result.StoreUnavailable,
			Detail:  fmt.Sprintf("the outcome of operation %s is unknown; repeat it with the same id", next.Operation),
			Verdict: result.MayHaveRun,
		}
	case done != nil:
		return *done, nil
	case errors.Is(err, store.ErrConflict):
		return Head{}, s.conflict(ctx)
	default:
		return Head{}, &result.Error{
			Code:    result.StoreUnavailable,
			Detail:  fmt.Sprintf("operation %s had not taken effect when it was read back; repeat it with the same id", next.Operation),
			Verdict: result.MayHaveRun,
		}
	}
}

func (s *Store) conflict(ctx context.Context) error {
	head, _, err := s.Head(ctx, 0)
	if err != nil {
		return result.Errorf(result.ConfigConflict, "another change was accepted first")
	}
	return result.Errorf(result.ConfigConflict, "version %d by %s was accepted first", head.Version, head.Author)
}

// History returns the accepted heads in order of their versions, starting
// after the given version.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]Head, error) {
	records, err := s.table.Scan(ctx, historyPrefix, historyKey(after), limit)
	if err != nil {
		return nil, storeError(err)
	}
	heads := make([]Head, 0, len(records))
	for _, r := range records {
		head, err := decodeHead(r.Value)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

func storeError(err error) error {
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error()}
}
