package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/baobablanding/baobablanding/store"
)

const progressTable = "job-progress"

// MaxSaved bounds the items whose progress one transaction saves; it holds at most
// 100 entries and 1 MB.
const MaxSaved = 20

// Progress is how far an item without a result has come.
type Progress struct {
	// Index is the item's index in the job.
	Index int `json:"-"`
	// Last is the number of the last event in Output.
	Last int64 `json:"last"`
	// Output is the data of the events so far, separated by line feeds.
	Output string `json:"output"`
	// Failed is the number of attempts that failed.
	Failed int `json:"failed,omitempty"`
	// Ran is how long the item ran.
	Ran time.Duration `json:"ran"`
}

func (k Key) progress(index int) store.Key {
	return store.Key{Table: progressTable, Part: k.Workspace, Name: fmt.Sprintf("%s/%04d", k.ID, index)}
}

// progressRows encodes the progress of items. Items whose output does not fit into
// a row are left out: they start anew with their next owner.
func progressRows(key Key, progress []Progress) []store.Row {
	var rows []store.Row
	for _, p := range progress {
		value, err := json.Marshal(p)
		if err != nil || len(value) > chunkBytes {
			continue
		}
		rows = append(rows, store.Row{Key: key.progress(p.Index), Value: value})
	}
	return rows
}

// Save keeps the progress of up to MaxSaved items if the job's head is still the given one, which
// the caller owns.
func (l *Ledger) Save(ctx context.Context, key Key, head *Versioned, progress []Progress) error {
	rows := progressRows(key, progress)
	if len(rows) == 0 {
		return nil
	}
	_, err := l.store.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: key.head(), Version: head.Version}},
		Put: rows,
	})
	return err
}

// HandOver makes the successor the owner of a job that the daemon owns, together
// with the progress of its items.
func (l *Ledger) HandOver(ctx context.Context, key Key, head *Versioned, owner, successor string, progress []Progress) (*Versioned, error) {
	for len(progress) > MaxSaved {
		if err := l.Save(ctx, key, head, progress[:MaxSaved]); err != nil {
			return head, err
		}
		progress = progress[MaxSaved:]
	}
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != owner || !h.Open() {
			return store.Tx{}, false
		}
		h.Owner = successor
		return store.Tx{Put: progressRows(key, progress)}, true
	})
}

// Progress returns the progress that was saved of the job's items.
func (l *Ledger) Progress(ctx context.Context, key Key) ([]Progress, error) {
	reading, err := store.GetAll(ctx, l.store, store.Range{
		Table: progressTable, Part: key.Workspace, From: key.progress(0).Name, To: key.progress(MaxItems).Name,
	})
	if err != nil {
		return nil, err
	}
	var all []Progress
	for _, row := range reading.Rows {
		index, err := strconv.Atoi(row.Name[len(key.ID)+1:])
		if err != nil {
			return nil, fmt.Errorf("progress row %q of batch job %s: %w", row.Name, key.ID, err)
		}
		p := Progress{Index: index}
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return nil, fmt.Errorf("decode progress of batch job %s: %w", key.ID, err)
		}
		all = append(all, p)
	}
	return all, nil
}
