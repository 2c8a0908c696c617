package job

import (
	"context"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/baobablanding/baobablanding/store"
)

// ItemResult is the result of the item at an index of the job.
type ItemResult struct {
	Index  int
	Tokens int64 // of the item
	Result Result
}

// MaxOutputBytes bounds the EncodedSize of an item's output. A transaction, which holds at
// most 1 MB in base64, has room for two of these.
const MaxOutputBytes = 256 << 10

// escapeBytes is the size of an escaped character in JSON.
const escapeBytes = len(`\u0000`)

// EncodedSize returns the size of the text in JSON, or a little more.
func EncodedSize(text []byte) int {
	size := 0
	for len(text) > 0 {
		r, n := utf8.DecodeRune(text)
		text = text[n:]
		switch {
		case r < ' ', r == '<', r == '>', r == '&', r == '\u2028', r == '\u2029', r == utf8.RuneError:
			size += escapeBytes
		case r == '"', r == '\\':
			size += 2
		default:
			size += n
		}
	}
	return size
}

// AppendResults stores results at the next positions if the daemon owns the job and the
// job is open. It leaves out results of items that already have one. It returns the
// current head, whose Done shows which items have results.
func (l *Ledger) AppendResults(ctx context.Context, key Key, head *VersionedHead, owner string, results []ItemResult) (*VersionedHead, error) {
	return l.change(ctx, key, head, func(h *Head) (store.Tx, bool) {
		if h.Owner != owner || !h.IsOpen() {
			return store.Tx{}, false
		}
		return appendResults(key, h, results)
	})
}

// appendResults adds the results to the head and returns the transaction with their
// rows, and false if there is nothing to add.
func appendResults(key Key, h *Head, results []ItemResult) (store.Tx, bool) {
	done := make(map[int]bool, len(h.Done))
	for _, index := range h.Done {
		done[index] = true
	}
	var tx store.Tx
	for _, r := range results {
		if done[r.Index] {
			continue
		}
		data, err := json.Marshal(r.Result)
		if err != nil {
			continue // not reached: a struct of strings can always be encoded
		}
		for i, part := range splitRows(data) {
			tx.Put = append(tx.Put, store.Row{Key: key.result(len(h.Done), i), Value: part})
		}
		done[r.Index] = true
		h.Done = append(h.Done, r.Index)
		h.RemainingTokens -= r.Tokens
	}
	return tx, len(tx.Put) > 0
}

// Results returns a page of the results from the position on, as far as the head lists
// them. A page ends early when its outputs exceed maxPageBytes.
func (l *Ledger) Results(ctx context.Context, key Key, head *VersionedHead, from int) (Page, error) {
	page := Page{Total: head.Total, Next: from}
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

// results returns the results at positions from up to but not including to, as many as
// one response of the store holds completely, and at least one if there is one.
func (l *Ledger) results(ctx context.Context, key Key, from, to int) ([]Result, error) {
	r := store.Range{Table: resultTable, Part: key.Workspace, From: key.result(from, 0).Name, To: key.result(to, 0).Name}
	resp, err := l.store.Get(ctx, r)
	if err == nil && resp.HasMore && rowsOf(key, from, resp.Rows) == len(resp.Rows) {
		r.To = key.result(from+1, 0).Name // a single result that does not fit into one response
		resp, err = store.GetAll(ctx, l.store, r)
	}
	if err != nil {
		return nil, err
	}
	var results []Result
	for len(resp.Rows) > 0 {
		n := rowsOf(key, from+len(results), resp.Rows)
		if n == len(resp.Rows) && resp.HasMore {
			break // further rows of the last result may follow
		}
		var data []byte
		for _, row := range resp.Rows[:n] {
			data = append(data, row.Value...)
		}
		var r Result
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, fmt.Errorf("decode result of batch job %s: %w", key.ID, err)
		}
		results = append(results, r)
		resp.Rows = resp.Rows[n:]
	}
	return results, nil
}

// rowsOf returns how many of the first rows belong to the result at the position. It
// returns at least 1.
func rowsOf(key Key, position int, rows []store.Row) int {
	prefix := key.result(position, 0).Name
	prefix = prefix[:len(prefix)-len("0000")]
	n := 0
	for n < len(rows) && len(rows[n].Name) > len(prefix) && rows[n].Name[:len(prefix)] == prefix {
		n++
	}
	return max(n, 1)
}
