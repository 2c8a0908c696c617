// Package store defines the interfaces of the stores that the system relies on: a
// transactional row store with versioned rows in tables, conditional transactions,
// consistent reads and a feed of changes, and on top of it a table of records, an
// object store and a list of VMs. The implementations are in other packages.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrNotExecuted reports a call that the store rejected or that never reached it.
	// The call has no effect, now or later.
	ErrNotExecuted = errors.New("store: call was not executed")
	// ErrOutcomeUnknown reports a call that got no response. A transaction may have taken
	// effect, or may take effect later if its conditions still hold then.
	ErrOutcomeUnknown = errors.New("store: outcome is unknown")
	// ErrConflict reports a transaction whose conditions did not hold. Nothing was
	// written. The error is a *Conflict.
	ErrConflict = errors.New("store: conflict")
	// ErrHistoryGone reports that the store no longer keeps the requested changes.
	ErrHistoryGone = errors.New("store: requested changes are no longer kept")
	// ErrResponseTooLarge reports a response that is larger than the client reads. The same
	// call would get the same response.
	ErrResponseTooLarge = errors.New("store: response is too large")
)

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	// Rows holds the current state of the rows named by the conditions. Rows that do
	// not exist are left out.
	Rows []Row
}

// Error implements error.
func (*Conflict) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict, for errors.Is.
func (*Conflict) Is(target error) bool { return target == ErrConflict }

// Find returns the row with the given key and reports whether it is among Rows.
func (c *Conflict) Find(key Key) (Row, bool) {
	for _, row := range c.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// Key identifies a row by its table, its part of that table and its name within the
// part. A transaction covers rows of one part only.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is one row.
type Row struct {
	Key
	// Value is the row's content. It is empty for a deleted row.
	Value []byte
	// Version is the store's version after the transaction that last wrote the row.
	// It grows with each transaction of the whole store.
	Version int64
	// Deleted reports whether the row was removed. It is set only in the result of
	// Store.Changes.
	Deleted bool
}

// Condition requires a row to have the given version. Version 0 requires that the row
// does not exist.
type Condition struct {
	Key
	Version int64
}

// Tx is a transaction on rows of one part. It applies only if every condition in If
// holds.
type Tx struct {
	If     []Condition
	Put    []Row // their versions are ignored
	Remove []Key
}

// Range selects rows of one part, sorted by name.
type Range struct {
	Table string
	Part  string
	// From is the smallest name in the range. If empty, the range has no lower bound.
	From string
	// To is the smallest name after the range. If empty, the range has no upper bound.
	To string
	// Limit is the maximum number of rows. 0 allows as many as fit in one response.
	Limit int
}

// Response is the store's response to one call.
type Response struct {
	// Rows holds the rows that were found, or the rows that changed.
	Rows []Row
	// HasMore reports whether the range has further rows.
	HasMore bool
	// Version is the latest version of the store when it responded.
	Version int64
	// StoreTime is the time of the store's clock when it responded. It can only be
	// compared with the time in other responses of the store.
	StoreTime time.Duration
}

// Store is a transactional row store. Its operations are linearizable.
type Store interface {
	// Commit applies the whole transaction or nothing. It returns a *Conflict if a
	// condition does not hold.
	Commit(ctx context.Context, tx Tx) (Response, error)
	// Get returns rows of the range, all as of the same version. A response
	// need not hold all of them.
	Get(ctx context.Context, r Range) (Response, error)
	// Parts returns the names of all parts of the table that contain rows.
	Parts(ctx context.Context, table string) ([]string, error)
	// Changes returns the rows of the table that changed after the given version. If
	// there are none, it waits for one for at most wait. It returns ErrHistoryGone if
	// the store no longer keeps the changes.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Response, error)
}

// GetAll returns all rows of the range, with as many calls of Get as it takes. The
// version and the time are those of the first call, so later rows may be newer.
func GetAll(ctx context.Context, s Store, r Range) (Response, error) {
	all, err := s.Get(ctx, r)
	if err != nil {
		return Response{}, err
	}
	for more := all.HasMore; more; {
		r.From = all.Rows[len(all.Rows)-1].Name + "\x00"
		next, err := s.Get(ctx, r)
		if err != nil {
			return Response{}, err
		}
		all.Rows = append(all.Rows, next.Rows...)
		more = next.HasMore && len(next.Rows) > 0
	}
	all.HasMore = false
	return all, nil
}

// GetRow returns one row and reports whether it exists.
func GetRow(ctx context.Context, s Store, key Key) (Row, bool, error) {
	found, err := s.Get(ctx, Range{Table: key.Table, Part: key.Part, From: key.Name, To: key.Name + "\x00", Limit: 1})
	if err != nil || len(found.Rows) == 0 {
		return Row{}, false, err
	}
	return found.Rows[0], true, nil
}
