package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/baobablanding/baobablanding/store"
)

// checkpointTable is the table of checkpoints. The part of a row is the job's workspace.
const checkpointTable = "job-progress"

const (
	// MaxCheckpoints and maxCheckpointBytes bound the checkpoints in one transaction, which
	// holds at most 100 entries and 1 MB in base64. The head needs a part of that.
	MaxCheckpoints     = 20
	maxCheckpointBytes = 600 << 10
)

// Checkpoint is the saved partial output of an item without a result.
type Checkpoint struct {
	// Index is the item's index in the job.
	Index int `json:"-"`
	// LastEvent is the number of the last event in Output.
	LastEvent int64 `json:"last"`
	// Output is the data of the events so far, separated by line feeds.
	Output string `json:"output"`
	// FailedAttempts is the number of attempts that failed.
	FailedAttempts int `json:"failed,omitempty"`
	// RunTime is how long the item ran so far.
	RunTime time.Duration `json:"ran"`
}

// checkpoint returns the key of the row that holds the checkpoint of an item.
func (k Key) checkpoint(index int) store.Key {
	return store.Key{Table: checkpointTable, Part: k.Workspace, Name: fmt.Sprintf("%s/%04d", k.ID, index)}
}

// checkpointRows encodes checkpoints. Those that do not fit into a row are left out: the
// next owner of the job runs their items from the start.
func checkpointRows(key Key, checkpoints []Checkpoint) []store.Row {
	var rows []store.Row
	for _, c := range checkpoints {
		value, err := json.Marshal(c)
		if err != nil || len(value) > rowBytes {
			continue
		}
		rows = append(rows, store.Row{Key: key.checkpoint(c.Index), Value: value})
	}
	return rows
}

// nextCheckpoints returns the first rows that go into one transaction, at least one if there is
// one.
func nextCheckpoints(rows []store.Row) []store.Row {
	size := 0
	for i := range rows {
		size += len(rows[i].Value)
		if i == MaxCheckpoints || i > 0 && size > maxCheckpointBytes {
			return rows[:i]
		}
	}
	return rows
}

// SaveCheckpoints stores checkpoints of a job that the caller owns, in as many transactions as it
// takes. The error is store.ErrConflict if the head's version is not the given one.
func (l *Ledger) SaveCheckpoints(ctx context.Context, key Key, head *VersionedHead, checkpoints []Checkpoint) error {
	last, err := l.saveAllButLast(ctx, key, head, checkpointRows(key, checkpoints))
	if err != nil || len(last) == 0 {
		return err
	}
	return l.saveRows(ctx, key, head, last)
}

// saveAllButLast stores rows of checkpoints and returns those of the last transaction, which it
// does not make.
func (l *Ledger) saveAllButLast(ctx context.Context, key Key, head *VersionedHead, rows []store.Row) ([]store.Row, error) {
	for next := nextCheckpoints(rows); len(next) < len(rows); next = nextCheckpoints(rows) {
		if err := l.saveRows(ctx, key, head, next); err != nil {
			return nil, err
		}
		rows = rows[len(next):]
	}
	return rows, nil
}

// saveRows stores rows in one transaction.
func (l *Ledger) saveRows(ctx context.Context, key Key, head *VersionedHead, rows []store.Row) error {
	condition := store.Condition{Key: key.head(), Version: head.Version}
	_, err := l.store.Commit(ctx, store.Tx{If: []store.Condition{condition}, Put: rows})
	return err
}

// HandOver makes the successor the owner of an open job that the daemon owns, and stores
// the checkpoints of its items. It returns the current head, whose owner shows whether
// the job was handed over.
func (l *Ledger) HandOver(ctx context.Context, key Key, head *VersionedHead, owner, successor string, checkpoints []Checkpoint) (*VersionedHead, error) {
	rest, err := l.saveAllButLast(ctx, key, head, checkpointRows(key, checkpoints))
	if err != nil {
		return head, err
	}
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != owner || !h.IsOpen() {
			return store.Tx{}, false
		}
		h.Owner = successor
		return store.Tx{Put: rest}, true
	})
}

// Checkpoints returns the stored checkpoints of the job's items.
func (l *Ledger) Checkpoints(ctx context.Context, key Key) ([]Checkpoint, error) {
	resp, err := store.GetAll(ctx, l.store, store.Range{
		Table: checkpointTable, Part: key.Workspace, From: key.checkpoint(0).Name, To: key.checkpoint(MaxItems).Name,
	})
	if err != nil {
		return nil, err
	}
	var all []Checkpoint
	for _, row := range resp.Rows {
		index, err := strconv.Atoi(row.Name[len(key.ID)+1:])
		if err != nil {
			return nil, fmt.Errorf("checkpoint row %q of batch job %s: %w", row.Name, key.ID, err)
		}
		c := Checkpoint{Index: index}
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, fmt.Errorf("decode checkpoint of batch job %s: %w", key.ID, err)
		}
		all = append(all, c)
	}
	return all, nil
}
