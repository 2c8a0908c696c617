package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// rowBytes is the largest value of a row that holds items, results or a checkpoint.
	// The store takes rows of up to 64 KiB.
	rowBytes = 48 << 10
	// maxPageBytes is the size of the outputs in one page after which no more results are
	// added.
	maxPageBytes = 700 << 10
	// acceptanceRow is the row of a workspace that every acceptance writes. Two
	// concurrent acceptances conflict on it, so that they cannot both use the last tokens
	// of the limit.
	acceptanceRow = "~accepts"
	// headPrefix precedes the job's ID in the name of a head row.
	headPrefix = "j/"
	// maxTries bounds the transactions by which one job may be accepted or changed.
	maxTries = 12
	// maxConflictPause bounds the random pause after a conflict in a change.
	maxConflictPause = 10 * time.Millisecond
)

// Ledger reads and changes the jobs in a store. It may be used by several goroutines.
type Ledger struct{ store store.Store }

// NewLedger returns a ledger of the jobs in s.
func NewLedger(s store.Store) *Ledger { return &Ledger{store: s} }

// HeadKey returns the key of the job whose head is in the given row; ok is false if the
// row is not a head.
func HeadKey(row store.Key) (key Key, ok bool) {
	if len(row.Name) <= len(headPrefix) || row.Name[:len(headPrefix)] != headPrefix {
		return Key{}, false
	}
	return Key{Workspace: row.Part, ID: row.Name[len(headPrefix):]}, true
}

// head returns the key of the job's head row.
func (k Key) head() store.Key {
	return store.Key{Table: HeadTable, Part: k.Workspace, Name: headPrefix + k.ID}
}

// acceptance returns the key of the workspace's acceptance row.
func (k Key) acceptance() store.Key {
	return store.Key{Table: HeadTable, Part: k.Workspace, Name: acceptanceRow}
}

// payload returns the key of the n-th row that holds the job's items.
func (k Key) payload(n int) store.Key {
	return store.Key{Table: payloadTable, Part: k.Workspace, Name: fmt.Sprintf("%s/%04d", k.ID, n)}
}

// result returns the key of the n-th row of the result at the position.
func (k Key) result(position, n int) store.Key {
	return store.Key{Table: resultTable, Part: k.Workspace, Name: fmt.Sprintf("%s/%04d/%04d", k.ID, position, n)}
}

// splitRows cuts the data into values that fit into rows. It returns at least one.
func splitRows(data []byte) [][]byte {
	var rows [][]byte
	for len(data) > rowBytes {
		rows = append(rows, data[:rowBytes])
		data = data[rowBytes:]
	}
	return append(rows, data)
}

// Items returns the items of the job, which are stored in the given number of rows.
func (l *Ledger) Items(ctx context.Context, key Key, rows int) ([]Item, error) {
	resp, err := store.GetAll(ctx, l.store, store.Range{
		Table: payloadTable, Part: key.Workspace, From: key.payload(0).Name, To: key.payload(rows).Name,
	})
	if err != nil {
		return nil, err
	}
	var data []byte
	for _, row := range resp.Rows {
		data = append(data, row.Value...)
	}
	var items []Item
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("decode items of batch job %s: %w", key.ID, err)
	}
	return items, nil
}

// Head returns the head of the job. The error has the code UnknownJob if the job does not
// exist, and is otherwise that of the store.
func (l *Ledger) Head(ctx context.Context, key Key) (*VersionedHead, error) {
	row, ok, err := store.GetRow(ctx, l.store, key.head())
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, result.New(result.UnknownJob, result.NotRun)
	}
	return decodeVersioned(row)
}

// decodeVersioned decodes a head row.
func decodeVersioned(row store.Row) (*VersionedHead, error) {
	head, err := DecodeHead(row.Value)
	if err != nil {
		return nil, err
	}
	return &VersionedHead{Head: head, Version: row.Version}, nil
}

// change commits a change of the job's head and returns the new head. On a conflict it
// applies the change to the current head and tries again, at most maxTries times. If the
// change returns false, the head is returned as it is. On an error it returns the newest
// head that it has read, or nil if that head cannot be decoded.
func (l *Ledger) change(ctx context.Context, key Key, head *VersionedHead, change func(*Head) (store.Tx, bool)) (*VersionedHead, error) {
	for try := 1; ; try++ {
		next := head.Head
		next.Done = append([]int(nil), head.Done...)
		tx, needed := change(&next)
		if !needed {
			return head, nil
		}
		value, err := json.Marshal(next)
		if err != nil {
			return head, err
		}
		tx.If = append(tx.If, store.Condition{Key: key.head(), Version: head.Version})
		tx.Put = append(tx.Put, store.Row{Key: key.head(), Value: value})
		resp, err := l.store.Commit(ctx, tx)
		if err == nil {
			return &VersionedHead{Head: next, Version: resp.Version}, nil
		}
		var conflict *store.Conflict
		if !errors.As(err, &conflict) {
			return head, err
		}
		row, ok := conflict.Find(key.head())
		if !ok {
			return head, result.New(result.UnknownJob, result.NotRun)
		}
		if head, err = decodeVersioned(row); err != nil {
			return head, err
		}
		if try == maxTries || !timer.Sleep(ctx, rand.N(maxConflictPause)) {
			return head, fmt.Errorf("%w: head of batch job %s changed %d times", store.ErrNotExecuted, key.ID, try)
		}
	}
}

// End ends the job for good: no more results are added. Ending it again changes nothing.
// The error has the code UnknownJob if the job does not exist.
func (l *Ledger) End(ctx context.Context, key Key) error {
	head, err := l.Head(ctx, key)
	if err != nil {
		return err
	}
	_, err = l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Ended {
			return store.Tx{}, false
		}
		h.Ended = true
		return store.Tx{}, true
	})
	return err
}

// Claim makes the daemon the owner of the job if the job is open and still owned by from.
// It returns the current head, whose owner shows whether the claim succeeded.
func (l *Ledger) Claim(ctx context.Context, key Key, head *VersionedHead, from, owner string) (*VersionedHead, error) {
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != from || !h.IsOpen() {
			return store.Tx{}, false
		}
		h.Owner = owner
		return store.Tx{}, true
	})
}
