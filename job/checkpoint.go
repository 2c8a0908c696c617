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

// MaxCheckpoints bounds the checkpoints in one transaction, which holds at most 100
// entries and 1 MB.
const MaxCheckpoints = 20

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

// SaveCheckpoints stores up to MaxCheckpoints checkpoints of a job that the caller owns.
// The error is store.ErrConflict if the head's version is not the given one.
func (l *Ledger) SaveCheckpoints(ctx context.Context, key Key, head *VersionedHead, checkpoints []Checkpoint) error {
	rows := checkpointRows(key, checkpoints)
	if len(rows) == 0 {
		return nil
	}
	_, err := l.store.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: key.head(), Version: head.Version}},
		Put: rows,
	})
	return err
}

// HandOver makes the successor the owner of an open job that the daemon owns, and stores
// the checkpoints of its items. It returns the current head, whose owner shows whether
// the job was handed over.
func (l *Ledger) HandOver(ctx context.Context, key Key, head *VersionedHead, owner, successor string, checkpoints []Checkpoint) (*VersionedHead, error) {
	for len(checkpoints) > MaxCheckpoints {
		if err := l.SaveCheckpoints(ctx, key, head, checkpoints[:MaxCheckpoints]); err != nil {
			return head, err
		}
		checkpoints = checkpoints[MaxCheckpoints:]
	}
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != owner || !h.IsOpen() {
			return store.Tx{}, false
		}
		h.Owner = successor
		return store.Tx{Put: checkpointRows(key, checkpoints)}, true
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
