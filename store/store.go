// Package store defines what the system needs of a transactional row store:
// versioned rows in tables, conditional transactions, snapshots and a feed of
// changes. Implementations are in other packages.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrNotDone reports a call that the store refused or that never reached
	// it. Nothing was done and nothing will be.
	ErrNotDone = errors.New("store: call was not done")
	// ErrUnknown reports a call without an answer. A transaction may have taken
	// effect, or may take effect later if its conditions still hold then.
	ErrUnknown = errors.New("store: outcome is unknown")
	// ErrConflict reports a transaction whose conditions did not hold. Nothing
	// was written. The error is a *Conflict.
	ErrConflict = errors.New("store: conflict")
	// ErrHistoryGone reports that the changes asked for are no longer kept.
	ErrHistoryGone = errors.New("store: history is gone")
)

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	// Rows are the rows of the conditions as they are now. A row that does not
	// exist is left out.
	Rows []Row
}

// Error implements error.
func (*Conflict) Error() string { return ErrConflict.Error() }

// Is tells errors.Is that the error is ErrConflict.
func (*Conflict) Is(target error) bool { return target == ErrConflict }

// Find returns the row with the key, or false if it does not exist.
func (c *Conflict) Find(key Key) (Row, bool) {
	for _, row := range c.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// Key identifies a row. Transactions cover rows of one part.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is one row.
type Row struct {
	Key
	// Value is the content; it is empty for a deleted row.
	Value []byte
	// Version grows with each transaction of the whole store.
	Version int64
	// Deleted tells that the row was removed. It occurs only in changes.
	Deleted bool
}

// Condition is the version that a row must have; 0 means that it must not
// exist.
type Condition struct {
	Key
	Version int64
}

// Tx is a transaction on rows of one part.
type Tx struct {
	If     []Condition
	Put    []Row // versions are ignored
	Remove []Key
}

// Range selects rows of one part, in the order of their names.
type Range struct {
	Table string
	Part  string
	// From is the first name, or empty.
	From string
	// To is the first name past the range, or empty.
	To string
	// Limit is the largest number of rows, or 0 for as many as one answer
	// holds.
	Limit int
}

// Reading is an answer of the store.
type Reading struct {
	// Rows are the rows found, or the rows that changed.
	Rows []Row
	// More tells that the range has further rows.
	More bool
	// Version is the store's newest version when it answered.
	Version int64
	// Now is the store's clock when it answered. It only compares with other
	// readings.
	Now time.Duration
}

// Store is a transactional row store. Answers are linearizable.
type Store interface {
	// Commit applies the whole transaction or nothing.
	Commit(ctx context.Context, tx Tx) (Reading, error)
	// Get returns rows as of one moment.
	Get(ctx context.Context, r Range) (Reading, error)
	// Parts returns the names of all parts of the table that hold rows.
	Parts(ctx context.Context, table string) ([]string, error)
	// Changes returns the rows of the table that changed after the version.
	// It waits for at most wait until there is one.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Reading, error)
}

// GetAll returns all rows of the range, in one or several readings. The version
// and the clock are those of the first reading.
func GetAll(ctx context.Context, s Store, r Range) (Reading, error) {
	all, err := s.Get(ctx, r)
	if err != nil {
		return Reading{}, err
	}
	for more := all.More; more; {
		r.From = all.Rows[len(all.Rows)-1].Name + "\x00"
		next, err := s.Get(ctx, r)
		if err != nil {
			return Reading{}, err
		}
		all.Rows = append(all.Rows, next.Rows...)
		more = next.More && len(next.Rows) > 0
	}
	all.More = false
	return all, nil
}

// GetRow returns one row, or false if it does not exist.
func GetRow(ctx context.Context, s Store, key Key) (Row, bool, error) {
	reading, err := s.Get(ctx, Range{Table: key.Table, Part: key.Part, From: key.Name, To: key.Name + "\x00", Limit: 1})
	if err != nil || len(reading.Rows) == 0 {
		return Row{}, false, err
	}
	return reading.Rows[0], true, nil
}
