package job

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/baobablanding/baobablanding/store"
)

// Finished is the result of the item at an index of the job.
type Finished struct {
	Index  int
	Tokens int64
	Result Result
}

// Append adds results at the next positions, if the daemon still owns the job
// and the job has not ended. Items that have a result already are left out.
func (l *Ledger) Append(ctx context.Context, key Key, head *Versioned, owner string, finished []Finished) (*Versioned, error) {
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != owner || !h.Open() {
			return store.Tx{}, false
		}
		return appendResults(key, h, finished)
	})
}

func appendResults(key Key, h *Head, finished []Finished) (store.Tx, bool) {
	done := make(map[int]bool, len(h.Done))
	for _, index := range h.Done {
		done[index] = true
	}
	var tx store.Tx
	for _, f := range finished {
		if done[f.Index] {
			continue
		}
		data, err := json.Marshal(f.Result)
		if err != nil {
			continue // strings always encode
		}
		for i, chunk := range split(data) {
			tx.Put = append(tx.Put, store.Row{Key: key.result(len(h.Done), i), Value: chunk})
		}
		done[f.Index] = true
		h.Done = append(h.Done, f.Index)
		h.Waiting -= f.Tokens
	}
	return tx, len(tx.Put) > 0
}

// Results returns the results from the position on, up to the number that the
// head shows.
func (l *Ledger) Results(ctx context.Context, key Key, head *Versioned, after int) (Page, error) {
	page := Page{Total: head.Total, Next: after}
	for page.Next < len(head.Done) {
		size := 0
		for _, r := range page.Results {
			size += len(r.Output)
		}
		if size > maxPageBytes {
			break
		}
		more, err := l.results(ctx, key, page.Next, len(head.Done))
		if err != nil || len(more) == 0 {
			return page, err
		}
		page.Results = append(page.Results, more...)
		page.Next += len(more)
	}
	return page, nil
}

// results returns as many whole results as one reading holds.
func (l *Ledger) results(ctx context.Context, key Key, from, to int) ([]Result, error) {
	r := store.Range{Table: resultTable, Part: key.Workspace, From: key.result(from, 0).Name, To: key.result(to, 0).Name}
	reading, err := l.store.Get(ctx, r)
	if err == nil && reading.More && chunksOf(key, from, reading.Rows) == len(reading.Rows) {
		r.To = key.result(from+1, 0).Name // one result that fills more than a reading
		reading, err = store.GetAll(ctx, l.store, r)
	}
	if err != nil {
		return nil, err
	}
	var results []Result
	for len(reading.Rows) > 0 {
		n := chunksOf(key, from+len(results), reading.Rows)
		if n == len(reading.Rows) && reading.More {
			break // the last result may go on
		}
		var data []byte
		for _, row := range reading.Rows[:n] {
			data = append(data, row.Value...)
		}
		var r Result
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, fmt.Errorf("decode result of batch job %s: %w", key.ID, err)
		}
		results = append(results, r)
		reading.Rows = reading.Rows[n:]
	}
	return results, nil
}

// chunksOf returns the number of rows that belong to the result at position.
func chunksOf(key Key, position int, rows []store.Row) int {
	prefix := key.result(position, 0).Name
	prefix = prefix[:len(prefix)-len("0000")]
	n := 0
	for n < len(rows) && len(rows[n].Name) > len(prefix) && rows[n].Name[:len(prefix)] == prefix {
		n++
	}
	return max(n, 1)
}
