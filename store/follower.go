package store

import (
	"context"
	"errors"
)

// TableUpdate is the result of one call of Follower.Next.
type TableUpdate struct {
	Response
	// WholeTable reports whether Rows holds the whole table rather than only the rows
	// that changed since the previous call. A deleted row may be among them, after
	// the row that it deletes.
	WholeTable bool
}

// Follower reads the whole of a table and, from then on, only its changes. It is
// not safe for concurrent use.
type Follower struct {
	store   Store
	table   string
	version int64
	loaded  bool
	load    *tableLoad // nil unless a read of the whole table is in progress
}

// NewFollower returns a Follower of the table. Its calls do not wait for changes.
func NewFollower(s Store, table string) *Follower { return &Follower{store: s, table: table} }

// Next returns the whole table on the first call, and again when the store no longer
// keeps the changes since the previous call or they are too many for one response.
// Otherwise it returns those changes. It
// returns the error of a call to the store that failed; Next may then be called again.
func (f *Follower) Next(ctx context.Context) (TableUpdate, error) {
	if !f.loaded {
		return f.readTable(ctx)
	}
	changes, err := f.store.Changes(ctx, f.table, f.version, 0)
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrResponseTooLarge) {
		f.loaded = false
		return f.readTable(ctx)
	}
	if err != nil {
		return TableUpdate{}, err
	}
	if changes.Version < f.version {
		return TableUpdate{}, errors.New("store: read returned an older version than the previous one")
	}
	f.version = changes.Version
	return TableUpdate{Response: changes}, nil
}

// tableLoad is a read of a whole table that is in progress.
type tableLoad struct {
	parts  []string // parts still to be read
	from   string   // first row name still to be read in parts[0]
	update TableUpdate
}

// readTable reads the rest of the whole table. When a call fails, the rows read so far
// are kept and the next call of Next continues from there, since the store may reject
// calls while a large fleet starts at once. After a read that was resumed, one last call
// gets the changes made meanwhile; if it fails, the next call of Next starts over.
func (f *Follower) readTable(ctx context.Context) (TableUpdate, error) {
	resumed := f.load != nil
	if !resumed {
		if err := f.startLoad(ctx); err != nil {
			return TableUpdate{}, err
		}
	}
	for len(f.load.parts) > 0 {
		if err := f.readPage(ctx); err != nil {
			return TableUpdate{}, err
		}
	}
	update := f.load.update
	f.load, f.version = nil, update.Version
	if resumed {
		// Rows that earlier calls read may have changed since.
		changes, err := f.store.Changes(ctx, f.table, f.version, 0)
		if err != nil {
			return TableUpdate{}, err
		}
		update.Rows = append(update.Rows, changes.Rows...)
		update.Version, update.StoreTime, f.version = changes.Version, changes.StoreTime, changes.Version
	}
	f.loaded = true
	return update, nil
}

// startLoad lists the parts of the table. It reads the version before the list, so that
// a part created after the list was read appears among the changes.
func (f *Follower) startLoad(ctx context.Context) error {
	before, err := f.store.Get(ctx, Range{Table: f.table, Limit: 1})
	if err != nil {
		return err
	}
	parts, err := f.store.Parts(ctx, f.table)
	if err != nil {
		return err
	}
	f.load = &tableLoad{parts: parts}
	f.load.update.WholeTable = true
	f.load.update.Version, f.load.update.StoreTime = before.Version, before.StoreTime
	return nil
}

// readPage reads the next page of rows of the first remaining part.
func (f *Follower) readPage(ctx context.Context) error {
	load := f.load
	page, err := f.store.Get(ctx, Range{Table: f.table, Part: load.parts[0], From: load.from})
	if err != nil {
		return err
	}
	load.update.Rows = append(load.update.Rows, page.Rows...)
	load.update.StoreTime = page.StoreTime
	if page.HasMore && len(page.Rows) > 0 {
		load.from = page.Rows[len(page.Rows)-1].Name + "\x00"
		return nil
	}
	load.parts, load.from = load.parts[1:], ""
	return nil
}
