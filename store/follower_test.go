package store_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/standin"
	"github.com/baobablanding/baobablanding/store"
)

func TestFollowerSeesEveryChangeEvenAfterHistoryIsDropped(t *testing.T) {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	s := platform.NewStore(p.URL()[len("http://"):])
	f := store.NewFollower(s, "t")
	seen := make(map[string]string)
	next := func() bool {
		update, err := f.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if update.WholeTable {
			clear(seen)
		}
		for _, row := range update.Rows {
			seen[row.Name] = string(row.Value)
			if row.Deleted {
				delete(seen, row.Name)
			}
		}
		return update.WholeTable
	}
	p.PutRow("t", "a", "x", []byte("1"))
	if !next() || seen["x"] != "1" {
		t.Fatalf("first read: %v", seen)
	}
	p.PutRow("t", "b", "y", []byte("2"))
	p.RemoveRow("t", "a", "x")
	p.PutRow("other", "", "z", []byte("3"))
	if next() || len(seen) != 1 || seen["y"] != "2" {
		t.Fatalf("changes: %v", seen)
	}
	p.PutRow("t", "b", "y", []byte("4"))
	p.PutRow("t", "c", "w", []byte("5"))
	p.DropHistory()
	if !next() || len(seen) != 2 || seen["y"] != "4" {
		t.Fatalf("after the history was dropped: %v", seen)
	}
}

// TestFollowerResumesAfterRejectedCalls makes the store reject every other Get while the
// table changes. The follower must not start over each time, and must return the table
// as it is at the end.
func TestFollowerResumesAfterRejectedCalls(t *testing.T) {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	parts := []string{"a", "b", "c", "d", "e", "f"}
	for _, part := range parts {
		p.PutRow("t", part, part, []byte("old"))
	}
	s := &rejectingStore{Store: platform.NewStore(p.URL()[len("http://"):])}
	f := store.NewFollower(s, "t")
	var update store.TableUpdate
	calls := 0
	for err = errors.New("not read yet"); err != nil && calls < 3*len(parts); calls++ {
		if calls == len(parts) {
			p.PutRow("t", "a", "a", []byte("new"))
			p.RemoveRow("t", "b", "b")
			p.PutRow("t", "g", "g", []byte("new"))
		}
		update, err = f.Next(t.Context())
	}
	if err != nil {
		t.Fatalf("the table was not read in %d calls of Next while the store rejected every other Get: %v", calls, err)
	}
	seen := make(map[string]string)
	for _, row := range update.Rows {
		seen[row.Name] = string(row.Value)
		if row.Deleted {
			delete(seen, row.Name)
		}
	}
	if len(seen) != 6 || seen["a"] != "new" || seen["g"] != "new" || seen["c"] != "old" {
		t.Errorf("after %d calls of Next: %v", calls, seen)
	}
}

// rejectingStore rejects every other Get.
type rejectingStore struct {
	store.Store
	calls int
}

func (s *rejectingStore) Get(ctx context.Context, r store.Range) (store.Response, error) {
	if s.calls++; s.calls%2 == 0 {
		return store.Response{}, store.ErrNotExecuted
	}
	return s.Store.Get(ctx, r)
}

func TestErrorsReportWhetherACallTookEffect(t *testing.T) {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := platform.NewStore(p.URL()[len("http://"):])
	key := store.Key{Table: "t", Name: "x"}
	tx := store.Tx{If: []store.Condition{{Key: key}}, Put: []store.Row{{Key: key, Value: []byte("1")}}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	p.SetFaults(standin.Faults{Outage: true})
	if _, err := s.Commit(ctx, tx); !errors.Is(err, store.ErrNotExecuted) {
		t.Errorf("rejected call: %v", err)
	}
	p.SetFaults(standin.Faults{DropResponses: 1})
	if _, err := s.Commit(ctx, tx); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("lost response: %v", err)
	}
	_, err = s.Commit(ctx, tx)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 || string(conflict.Rows[0].Value) != "1" {
		t.Errorf("conflict: %v", err)
	}
	p.Close()
	if _, err := s.Commit(ctx, tx); !errors.Is(err, store.ErrNotExecuted) && !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("store that has stopped: %v", err)
	}
}

// TestFollowerReadsTheTableAfterTooManyChanges guards against a follower that stops because
// the changes since its last read, such as many versions of one large row, are larger than
// a response may be.
func TestFollowerReadsTheTableAfterTooManyChanges(t *testing.T) {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	f := store.NewFollower(platform.NewStore(p.URL()[len("http://"):]), "t")
	p.PutRow("t", "", "sound", []byte("1"))
	if _, err := f.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		p.PutRow("t", "", "odd", make([]byte, 64<<10))
	}
	p.PutRow("t", "", "sound", []byte("2"))
	update, err := f.Next(t.Context())
	if err != nil || !update.WholeTable || len(update.Rows) != 2 {
		t.Fatalf("%d rows, whole table: %v, %v", len(update.Rows), update.WholeTable, err)
	}
}
