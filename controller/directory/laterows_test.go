package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

// state describes the published engine with the id: "gone", "ready" or "draining", with the start
// to which it belongs.
func (e *engineSet) state(id string) string {
	engine := e.engine(id)
	switch {
	case engine == nil:
		return "gone"
	case engine.Draining:
		return fmt.Sprintf("draining %d", engine.StartedAtMs)
	}
	return fmt.Sprintf("ready %d", engine.StartedAtMs)
}

// versionedRow returns a row of the engine a in a version of the store.
func versionedRow(version int64, value string) store.Row {
	r := row("a", value)
	r.Version = version
	return r
}

func deletedRow(version int64) store.Row {
	r := versionedRow(version, "")
	r.Deleted = true
	return r
}

// TestOlderRowOfAnEngineIsNotBelieved guards against an engine that is used again because the store
// performed an earlier write of it late, and against a new start that is not used because of one.
func TestOlderRowOfAnEngineIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		updates []store.TableUpdate
		want    string
	}{
		"late heartbeat of a draining engine": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9 draining")), changes(versionedRow(3, "1 7"))}, "draining 1",
		},
		"late heartbeat in a read of the whole table": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9 draining")), table(versionedRow(3, "1 7"))}, "draining 1",
		},
		"late heartbeat of an engine that is gone": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9 draining")), changes(deletedRow(3)), changes(versionedRow(4, "1 7"))}, "gone",
		},
		"late heartbeat of an engine that is missing in the table": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9 draining")), table(), changes(versionedRow(4, "1 7"))}, "gone",
		},
		"late heartbeat after an odd row": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9")), changes(versionedRow(3, "odd")), changes(versionedRow(4, "1 7"))}, "gone",
		},
		"late heartbeat of an earlier start": {
			[]store.TableUpdate{changes(versionedRow(2, "2 1")), changes(versionedRow(3, "1 50 draining"))}, "ready 2",
		},
		"restart, whose count begins anew": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9 draining")), changes(versionedRow(3, "2 1"))}, "ready 2",
		},
		"restart of an engine that was gone": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9 draining")), changes(deletedRow(3)), changes(versionedRow(4, "2 1"))}, "ready 2",
		},
		"next heartbeat after a late one": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9")), changes(versionedRow(3, "1 7 draining")), changes(versionedRow(4, "1 10"))}, "ready 1",
		},
		"the same row again": {
			[]store.TableUpdate{changes(versionedRow(2, "1 9")), changes(deletedRow(3)), changes(versionedRow(4, "1 9"))}, "ready 1",
		},
	} {
		e := newEngineSet()
		for _, update := range c.updates {
			e.apply(update)
		}
		if got := e.state("a"); got != c.want {
			t.Errorf("%s: engine is %s, want %s", name, got, c.want)
		}
	}
}

// TestOlderRowThatStaysIsBelieved guards against an engine that is never used again because its
// VM's clock was set back before it started again: its own heartbeats would replace a late write.
func TestOlderRowThatStaysIsBelieved(t *testing.T) {
	e := newEngineSet()
	e.apply(changes(versionedRow(2, "5 9 draining")))
	e.apply(changes(versionedRow(3, "4 1")))
	now := clock.Now()
	for passed := time.Duration(0); passed < lateRowTimeout; passed += pollInterval {
		if got := e.state("a"); got != "draining 5" {
			t.Fatalf("after %v the engine is %s", passed, got)
		}
		now = now.Add(pollInterval)
		e.applyAt(now, table(versionedRow(3, "4 1"))) // also when the table is read anew
	}
	e.applyAt(now.Add(pollInterval), changes())
	if got := e.state("a"); got != "ready 4" {
		t.Errorf("at last the engine is %s, want ready 4", got)
	}
}

// TestTimeWithoutTheStoreDoesNotConfirmARow guards against a late write that is believed because
// nobody could replace or remove it while the store was unavailable.
func TestTimeWithoutTheStoreDoesNotConfirmARow(t *testing.T) {
	e := newEngineSet()
	e.apply(changes(versionedRow(2, "1 9 draining")))
	e.apply(changes(versionedRow(3, "1 7")))
	e.applyAt(clock.Now().Add(time.Hour), changes())
	if got := e.state("a"); got != "draining 1" {
		t.Errorf("the engine is %s, want draining 1", got)
	}
}

// TestLateRowsAreForgotten guards against a set that keeps a late row after another one of the
// engine or its removal.
func TestLateRowsAreForgotten(t *testing.T) {
	for name, next := range map[string]store.TableUpdate{
		"replaced": changes(versionedRow(4, "1 10")), "deleted": changes(deletedRow(4)), "odd": changes(versionedRow(4, "odd")), "missing": table(),
	} {
		e := newEngineSet()
		e.apply(changes(versionedRow(2, "1 9"), versionedRow(3, "1 7")))
		if len(e.late) != 1 {
			t.Errorf("%s: %d late rows before", name, len(e.late))
		}
		e.apply(next)
		if len(e.late) != 0 {
			t.Errorf("%s: %d late rows after", name, len(e.late))
		}
	}
}

// TestOrderOfAllEnginesOfALargeFleetIsKept guards against a set that forgets the order of engines'
// rows too early, or keeps more than one record of an engine that is gone.
func TestOrderOfAllEnginesOfALargeFleetIsKept(t *testing.T) {
	const engines = 1800
	e := newEngineSet()
	id := func(i int) string { return fmt.Sprintf("engine-%d", i) }
	rowOf := func(i int, value string) store.Row {
		r := row(id(i), value)
		r.Version = int64(i)
		return r
	}
	for round := range 3 {
		var ready, late []store.Row
		for i := range engines {
			ready = append(ready, rowOf(i, fmt.Sprintf("%d 9 draining", round+1)))
			late = append(late, rowOf(i, fmt.Sprintf("%d 8", round+1)))
		}
		e.apply(changes(ready...))
		e.apply(table()) // all are gone
		e.apply(changes(late...))
		if got := len(e.controller.board.Engines.Value().All); got != 0 {
			t.Fatalf("round %d: %d engines came back by late rows", round, got)
		}
	}
	if got, most := len(e.removed), engines+2; got > most { // a and b of newEngineSet
		t.Errorf("%d removed engines are kept, want at most %d", got, most)
	}
	if e.removed[id(0)].Load == (*blackboard.EngineLoad)(nil) {
		t.Error("a removed engine has lost its load")
	}
}
