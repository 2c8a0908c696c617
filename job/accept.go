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
