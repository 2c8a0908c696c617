// Package configstore keeps the accepted configuration in the platform's table and object
// store. The head record names the objects that make up the current version. A change is
// accepted by one transaction that replaces the head if it has not changed.
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
	// keyShardCount is the number of objects over which the keys are spread, so that a
	// change of one key writes only one of them.
	keyShardCount = 64
)

// Head names the objects of one accepted version.
type Head = fleet.Head

// Change describes a change to make.
type Change struct {
	// Operation is the ID of the change. Changes with the same ID take effect once.
	Operation string
	// Author names who makes the change.
	Author string
	// Summary describes the change in a few words.
	Summary string
	// BaseVersion is the version that the change was made against; the change fails if
	// another version is current. 0 allows any version.
	BaseVersion uint64
	// Edit returns the changed state. It must not modify its argument. Apply returns its
	// error unchanged.
	Edit func(fleet.State) (fleet.State, error)
	// OnAccepted, if not nil, is called with the accepted configuration if the change took
	// effect in this call of Apply, but not if it had taken effect before.
	OnAccepted func(Head, fleet.State)
}

// Store reads and writes the accepted configuration. It keeps no state of its own and is
// safe for concurrent use if its table and objects are.
type Store struct {
	table   store.Table
	objects store.Objects
}

// New returns a Store that uses the table and object store of the platform.
func New(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the current head and the version of its record. It returns
// store.ErrNotModified if the record still has the known version, and store.ErrNotFound
// before the first change.
func (s *Store) Head(ctx context.Context, known uint64) (Head, uint64, error) {
	record, err := s.table.GetIfModified(ctx, HeadKey, known)
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

// Load reads the state that head names. Objects that are already part of prev, the state
// of the head prevHead, are not read again; prev may be nil.
func (s *Store) Load(ctx context.Context, head Head, prev *fleet.State, prevHead Head) (fleet.State, error) {
	return assemble(head, prev, prevHead, func(name string, value any) error {
		return s.readObject(ctx, name, value)
	})
}

// assemble returns the state that head names. It calls read for the objects that are not
// part of prev.
func assemble(head Head, prev *fleet.State, prevHead Head, read func(name string, value any) error) (fleet.State, error) {
	state := fleet.State{Version: head.Version, TakenOut: head.TakenOut}
	if prev != nil && prevHead.Inventory == head.Inventory {
		state.Inventory = prev.Inventory
	} else if err := read(inventoryObjectName(head.Inventory), &state.Inventory); err != nil {
		return state, err
	}
	for shard, digest := range head.Keys {
		var keys []fleet.Key
		switch {
		case digest == "":
		case prev != nil && shardDigest(prevHead, shard) == digest:
			keys = keysInShard(prev.Keys, shard)
		default:
			if err := read(keysObjectName(digest), &keys); err != nil {
				return state, err
			}
		}
		state.Keys = append(state.Keys, keys...)
	}
	return state, nil
}

// shardDigest returns the digest of a shard of keys, or "" if the shard is empty.
func shardDigest(head Head, shard int) string {
	if shard >= len(head.Keys) {
		return ""
	}
	return head.Keys[shard]
}

// keysInShard returns the keys that belong to the shard, in the order of keys.
func keysInShard(keys []fleet.Key, shard int) []fleet.Key {
	var inShard []fleet.Key
	for _, k := range keys {
		if shardOfKey(k) == shard {
			inShard = append(inShard, k)
		}
	}
	return inShard
}

// shardOfKey returns the shard of the key, chosen by the first byte of its digest.
func shardOfKey(k fleet.Key) int { return int(k.Digest[0]) % keyShardCount }

func inventoryObjectName(digest string) string { return "config/inventory/" + digest }

func keysObjectName(digest string) string { return "config/keys/" + digest }

// readObject decodes the named object into value.
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

// Apply applies the change and returns the head of the version that contains it. If the
// commit gets no response, Apply reads back whether the change took effect. It never
// applies the same operation twice. It returns a *result.Error with the code
// ConfigConflict if another change was accepted first, and with StoreUnavailable if the
// store is unavailable; with the verdict MayHaveRun, the change may take effect all the
// same.
func (s *Store) Apply(ctx context.Context, change Change) (Head, error) {
	head, recordVersion, err := s.Head(ctx, 0)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Head{}, storeError(err)
	}
	applied, err := s.findOperation(ctx, change.Operation)
	if err != nil {
		return Head{}, storeError(err)
	}
	if applied != nil {
		return *applied, nil
	}
	if change.BaseVersion != 0 && change.BaseVersion != head.Version {
		return Head{}, result.Errorf(result.ConfigConflict, "version %d is current, but the change was made against version %d", head.Version, change.BaseVersion)
	}
	next, state, err := s.prepare(ctx, head, change)
	if err != nil {
		return Head{}, err
	}
	accepted, err := s.commit(ctx, next, recordVersion)
	if err == nil && change.OnAccepted != nil && accepted.HasSameParts(&next) {
		change.OnAccepted(accepted, state)
	}
	return accepted, err
}

// findOperation returns the head that the operation has written, or nil if it has not
// taken effect.
func (s *Store) findOperation(ctx context.Context, operation string) (*Head, error) {
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

// prepare edits the state of the head and writes the objects of the changed state. It
// returns the next head, which is not written yet, and the changed state.
func (s *Store) prepare(ctx context.Context, head Head, change Change) (Head, fleet.State, error) {
	state, err := s.Load(ctx, head, emptyStateIfFirst(head), head)
	if err != nil {
		return Head{}, state, storeError(err)
	}
	state, err = change.Edit(state)
	if err != nil {
		return Head{}, state, err
	}
	next := Head{
		Version:    head.Version + 1,
		Operation:  change.Operation,
		Author:     change.Author,
		Summary:    change.Summary,
		AcceptedAt: time.Now().UTC(),
		Keys:       make([]string, keyShardCount),
		TakenOut:   slices.Sorted(slices.Values(state.TakenOut)),
	}
	next.Inventory, err = s.writeObject(ctx, inventoryObjectName, state.Inventory, head.Inventory)
	if err != nil {
		return Head{}, state, storeError(err)
	}
	for shard := range keyShardCount {
		keys := keysInShard(state.Keys, shard)
		if len(keys) == 0 {
			continue
		}
		next.Keys[shard], err = s.writeObject(ctx, keysObjectName, keys, shardDigest(head, shard))
		if err != nil {
			return Head{}, state, storeError(err)
		}
	}
	state.Version, state.TakenOut = next.Version, next.TakenOut
	return next, state, nil
}

// emptyStateIfFirst returns an empty state before the first change, so that no objects
// are read, and nil after it.
func emptyStateIfFirst(head Head) *fleet.State {
	if head.Version == 0 {
		return &fleet.State{}
	}
	return nil
}

// writeObject writes value under a name that contains its digest and returns the digest:
// the first 8 bytes of the SHA-256 of its JSON, in hex. An object with the known digest is
// not written again.
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

// commit writes the head, its history record and its operation record in one transaction.
// If the transaction fails, it reads back whether the operation took effect all the same.
func (s *Store) commit(ctx context.Context, next Head, recordVersion uint64) (Head, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Head{}, fmt.Errorf("encode configuration head: %w", err)
	}
	err = s.table.Commit(ctx,
		store.Op{Kind: store.OpPut, Key: HeadKey, Value: data, Version: recordVersion},
		store.Op{Kind: store.OpPut, Key: operationKey(next.Operation), Value: data},
		store.Op{Kind: store.OpPut, Key: historyKey(next.Version), Value: data},
	)
	if err == nil {
		return next, nil
	}
	applied, findErr := s.findOperation(ctx, next.Operation)
	switch {
	case findErr != nil:
		return Head{}, &result.Error{
			Code:    result.StoreUnavailable,
			Detail:  fmt.Sprintf("the outcome of operation %s is unknown; repeat it with the same id", next.Operation),
			Verdict: result.MayHaveRun,
		}
	case applied != nil:
		return *applied, nil
	case errors.Is(err, store.ErrConflict):
		return Head{}, s.conflictError(ctx)
	default:
		return Head{}, &result.Error{
			Code:    result.StoreUnavailable,
			Detail:  fmt.Sprintf("operation %s had not taken effect when it was read back; repeat it with the same id", next.Operation),
			Verdict: result.MayHaveRun,
		}
	}
}

// conflictError returns the error of a change before which another one was accepted. It
// names the other change if the head can be read.
func (s *Store) conflictError(ctx context.Context) error {
	head, _, err := s.Head(ctx, 0)
	if err != nil {
		return result.Errorf(result.ConfigConflict, "another change was accepted first")
	}
	return result.Errorf(result.ConfigConflict, "version %d by %s was accepted first", head.Version, head.Author)
}

// History returns at most limit accepted heads in order of their versions, starting with
// the first one after the given version.
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

// storeError returns err as a StoreUnavailable error of a change that was not made.
func storeError(err error) error {
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error()}
}
