package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

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

// Submission is a job to accept.
type Submission struct {
	Key   Key
	Route string
	Owner string
	Due   time.Duration
	// MaxWaiting bounds the tokens that the workspace may have waiting on the
	// route; 0 means no bound.
	MaxWaiting int64
	Items      []Item
}

// tokens returns the size of all items.
func (s *Submission) tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].Tokens
	}
	return sum
}

// Accept stores the job unless it is already there. A refusal or an error with
// the verdict "not run" promises that the job does not exist.
func (l *Ledger) Accept(ctx context.Context, s *Submission) error {
	payload, err := json.Marshal(s.Items)
	if err != nil {
		return fmt.Errorf("encode items: %w", err)
	}
	chunks := split(payload)
	uncertain := false // an earlier transaction may still take effect
	for range maxTries {
		err := l.tryAccept(ctx, s, chunks)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrUnknown) {
			uncertain = true
		}
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) && ctx.Err() == nil {
			continue
		}
		return acceptError(err, uncertain)
	}
	return acceptError(store.ErrConflict, uncertain)
}

func acceptError(err error, uncertain bool) error {
	if coded, ok := errors.AsType[*result.Error](err); ok && !uncertain {
		return coded
	}
	if uncertain || errors.Is(err, store.ErrUnknown) {
		return result.New(result.OutcomeUnknown, result.MayHaveRun)
	}
	return result.New(result.StoreUnavailable, result.NotRun).After(refusedRetry)
}

// refusedRetry is when a caller should come back after a refused job.
const refusedRetry = 300 * time.Millisecond

// tryAccept reads the workspace's heads and adds the job in one transaction that
// fails if another job was accepted since.
func (l *Ledger) tryAccept(ctx context.Context, s *Submission, chunks [][]byte) error {
	heads, err := store.GetAll(ctx, l.store, store.Range{Table: HeadTable, Part: s.Key.Workspace})
	if err != nil {
		return readOnly(err)
	}
	var accepts, waiting int64
	for _, row := range heads.Rows {
		if row.Name == acceptRow {
			accepts = row.Version
		}
		if row.Key == s.Key.head() {
			return nil // accepted before
		}
		if _, ok := HeadKey(row.Key); !ok {
			continue
		}
		head, err := DecodeHead(row.Value)
		if err != nil {
			return err
		}
		if head.Route == s.Route {
			waiting += head.WaitingTokens()
		}
	}
	if s.MaxWaiting > 0 && waiting+s.tokens() > s.MaxWaiting {
		return result.New(result.TooManyTokens, result.NotRun).After(refusedRetry)
	}
	return l.insert(ctx, s, chunks, accepts, heads.Now)
}

// readOnly keeps a read whose answer was lost from counting as a change whose
// outcome is unknown.
func readOnly(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("%w: %w", store.ErrNotDone, errors.Unwrap(err))
	}
	return err
}

func (l *Ledger) insert(ctx context.Context, s *Submission, chunks [][]byte, accepts int64, now time.Duration) error {
	head := Head{
		Route: s.Route, Owner: s.Owner, Submitted: now, Due: s.Due,
		Total: len(s.Items), Waiting: s.tokens(), Chunks: len(chunks),
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	tx := store.Tx{
		If: []store.Condition{
			{Key: s.Key.head()},
			{Key: s.Key.accepts(), Version: accepts},
		},
		Put: []store.Row{
			{Key: s.Key.head(), Value: value},
			{Key: s.Key.accepts(), Value: []byte(s.Key.ID)},
		},
	}
	for i, chunk := range chunks {
		tx.Put = append(tx.Put, store.Row{Key: s.Key.payload(i), Value: chunk})
	}
	_, err = l.store.Commit(ctx, tx)
	return err
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
