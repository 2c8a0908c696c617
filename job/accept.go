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
	Key      Key
	Route    string
	Owner    string
	DueAfter time.Duration // time from the acceptance to when all results are due
	// MaxWaitingTokens bounds the tokens of the items without a result that the workspace
	// may have on the route, this job included. 0 means no bound.
	MaxWaitingTokens int64
	Items            []Item
}

// tokens returns the sum of the items' tokens.
func (s *Submission) tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].Tokens
	}
	return sum
}

// Accept stores the job unless it is already stored. It returns nil if the job exists
// afterwards. A *result.Error with the verdict NotRun promises that this call stored
// nothing and never will: its code is TooManyTokens if the job would exceed
// MaxWaitingTokens, or StoreUnavailable. OutcomeUnknown with the verdict MayHaveRun means
// that the job may exist.
func (l *Ledger) Accept(ctx context.Context, s *Submission) error {
	payload, err := json.Marshal(s.Items)
	if err != nil {
		return fmt.Errorf("encode items of batch job: %w", err)
	}
	rows := splitRows(payload)
	outcomeUnknown := false // a transaction that got no response may still take effect
	for range maxTries {
		err := l.tryAccept(ctx, s, rows)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrOutcomeUnknown) {
			outcomeUnknown = true
		}
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
			continue
		}
		return acceptError(err, outcomeUnknown)
	}
	return acceptError(store.ErrConflict, outcomeUnknown)
}

// acceptError returns the error of Accept for the last error of the store. If
// outcomeUnknown is set, an earlier transaction may have taken effect.
func acceptError(err error, outcomeUnknown bool) error {
	if coded, ok := errors.AsType[*result.Error](err); ok && !outcomeUnknown {
		return coded
	}
	if outcomeUnknown || errors.Is(err, store.ErrOutcomeUnknown) {
		return result.New(result.OutcomeUnknown, result.MayHaveRun)
	}
	return result.New(result.StoreUnavailable, result.NotRun).WithRetryAfter(rejectedRetryDelay)
}

// rejectedRetryDelay is the time after which a caller should submit a rejected job again.
const rejectedRetryDelay = 300 * time.Millisecond

// tryAccept reads the workspace's heads and stores the job in one transaction, which
// conflicts if another job of the workspace was accepted after the read.
func (l *Ledger) tryAccept(ctx context.Context, s *Submission, rows [][]byte) error {
	heads, acceptanceVersion, err := l.readHeads(ctx, s.Key)
	if err != nil {
		return readError(err)
	}
	var waiting int64
	for _, row := range heads.Rows {
		if row.Key == s.Key.head() {
			return nil // accepted before, perhaps by a transaction that got no response
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
	if s.MaxWaitingTokens > 0 && waiting+s.tokens() > s.MaxWaitingTokens {
		return result.New(result.TooManyTokens, result.NotRun).WithRetryAfter(rejectedRetryDelay)
	}
	return l.insert(ctx, s, rows, acceptanceVersion, heads.StoreTime)
}

// readHeads returns the heads of the key's workspace, with the version of its acceptance row, or
// 0, from before the heads were read: an acceptance after that conflicts with it. One call shows
// all of this as of one version; several calls do not.
func (l *Ledger) readHeads(ctx context.Context, key Key) (heads store.Response, acceptanceVersion int64, err error) {
	all := store.Range{Table: HeadTable, Part: key.Workspace}
	heads, err = l.store.Get(ctx, all)
	if err != nil {
		return store.Response{}, 0, err
	}
	if !heads.HasMore {
		for _, row := range heads.Rows {
			if row.Name == acceptanceRow {
				acceptanceVersion = row.Version
			}
		}
		return heads, acceptanceVersion, nil
	}
	row, _, err := store.GetRow(ctx, l.store, key.acceptance())
	if err != nil {
		return store.Response{}, 0, err
	}
	heads, err = store.GetAll(ctx, l.store, all)
	return heads, row.Version, err
}

// readError replaces ErrOutcomeUnknown, as the error of a read, by ErrNotExecuted: a read
// without a response changed nothing.
func readError(err error) error {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", store.ErrNotExecuted, errors.Unwrap(err))
	}
	return err
}

// insert commits the new job, provided that its head does not exist and that the
// acceptance row has the given version.
func (l *Ledger) insert(ctx context.Context, s *Submission, rows [][]byte, acceptanceVersion int64, now time.Duration) error {
	head := Head{
		Route: s.Route, Owner: s.Owner, Submitted: now, DueAfter: s.DueAfter,
		Total: len(s.Items), RemainingTokens: s.tokens(), PayloadRows: len(rows),
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	tx := store.Tx{
		If: []store.Condition{
			{Key: s.Key.head()},
			{Key: s.Key.acceptance(), Version: acceptanceVersion},
		},
		Put: []store.Row{
			{Key: s.Key.head(), Value: value},
			{Key: s.Key.acceptance(), Value: []byte(s.Key.ID)},
		},
	}
	for i, part := range rows {
		tx.Put = append(tx.Put, store.Row{Key: s.Key.payload(i), Value: part})
	}
	_, err = l.store.Commit(ctx, tx)
	return err
}
