package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// chunkBytes is the size of the rows that hold items and outputs; the store
	// takes rows of up to 64 KiB.
	chunkBytes = 48 << 10
	// maxPageBytes bounds the outputs in one page.
	maxPageBytes = 700 << 10
	// acceptRow is written by every acceptance in a workspace, so that two of
	// them cannot both take the last waiting tokens.
	acceptRow = "~accepts"
	headRow   = "j/"
	// maxTries bounds the conflicts of one change.
	maxTries = 12
)

// Ledger keeps jobs in the store. It is safe for use by several goroutines.
type Ledger struct{ store store.Store }

// NewLedger returns a ledger in the store.
func NewLedger(s store.Store) *Ledger { return &Ledger{store: s} }

// HeadKey returns the key of the job's head, and ok for a row that is a head.
func HeadKey(row store.Key) (key Key, ok bool) {
	if len(row.Name) <= len(headRow) || row.Name[:len(headRow)] != headRow {
		return Key{}, false
	}
	return Key{Workspace: row.Part, ID: row.Name[len(headRow):]}, true
}

func (k Key) head() store.Key {
	return store.Key{Table: HeadTable, Part: k.Workspace, Name: headRow + k.ID}
}

func (k Key) accepts() store.Key {
	return store.Key{Table: HeadTable, Part: k.Workspace, Name: acceptRow}
}

func (k Key) payload(chunk int) store.Key {
	return store.Key{Table: payloadTable, Part: k.Workspace, Name: fmt.Sprintf("%s/%04d", k.ID, chunk)}
}

func (k Key) result(position, chunk int) store.Key {
	return store.Key{Table: resultTable, Part: k.Workspace, Name: fmt.Sprintf("%s/%04d/%04d", k.ID, position, chunk)}
}

// split cuts the data into pieces that fit into rows. It returns at least one.
func split(data []byte) [][]byte {
	var chunks [][]byte
	for len(data) > chunkBytes {
		chunks = append(chunks, data[:chunkBytes])
		data = data[chunkBytes:]
	}
	return append(chunks, data)
}

// Items returns the items of the job.
func (l *Ledger) Items(ctx context.Context, key Key, chunks int) ([]Item, error) {
	reading, err := store.GetAll(ctx, l.store, store.Range{
		Table: payloadTable, Part: key.Workspace, From: key.payload(0).Name, To: key.payload(chunks).Name,
	})
	if err != nil {
		return nil, err
	}
	var data []byte
	for _, row := range reading.Rows {
		data = append(data, row.Value...)
	}
	var items []Item
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("decode items of batch job %s: %w", key.ID, err)
	}
	return items, nil
}

// Head returns the head of the job, or an error with the code UnknownJob.
func (l *Ledger) Head(ctx context.Context, key Key) (*Versioned, error) {
	row, ok, err := store.GetRow(ctx, l.store, key.head())
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, result.New(result.UnknownJob, result.NotRun)
	}
	return decodeVersioned(row)
}

func decodeVersioned(row store.Row) (*Versioned, error) {
	head, err := DecodeHead(row.Value)
	if err != nil {
		return nil, err
	}
	return &Versioned{Head: head, Version: row.Version}, nil
}

// change applies a change to the job's head until it is in the store, and
// returns the new head. The change returns false if there is nothing to do.
func (l *Ledger) change(ctx context.Context, key Key, head *Versioned, change func(*Head) (store.Tx, bool)) (*Versioned, error) {
	for {
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
		reading, err := l.store.Commit(ctx, tx)
		if err == nil {
			return &Versioned{Head: next, Version: reading.Version}, nil
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
	}
}

// End ends the job. Ending it again changes nothing.
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

// Claim makes the daemon the owner of the job if its owner is still the given
// one and the job is open.
func (l *Ledger) Claim(ctx context.Context, key Key, head *Versioned, from, owner string) (*Versioned, error) {
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != from || !h.Open() {
			return store.Tx{}, false
		}
		h.Owner = owner
		return store.Tx{}, true
	})
}
