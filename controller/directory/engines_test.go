package directory

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

// fakeDecoder decodes rows of engines whose values are a start time, a sequence number, which may
// be missing, and "draining" for an engine that is.
type fakeDecoder struct{ Decoder }

var errOdd = errors.New("odd row")

func (fakeDecoder) Engine(row store.Row) (*catalog.Engine, error) {
	if string(row.Value) == "odd" {
		return nil, errOdd
	}
	fields := strings.Fields(string(row.Value) + " 0")
	spec := &catalog.Engine{ID: row.Name, Slots: 8, Draining: strings.HasSuffix(string(row.Value), "draining")}
	var err error
	if spec.StartedAtMs, err = strconv.ParseInt(fields[0], 10, 64); err != nil {
		return nil, err
	}
	spec.Sequence, err = strconv.ParseInt(fields[1], 10, 64)
	return spec, err
}

// newEngineSet returns a set with the engines a and b, each in its first start.
func newEngineSet() *engineSet {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	e := newSet(New(blackboard.NewEntryBoard(), nil, fakeDecoder{}, logger))
	e.apply(table(row("a", "1"), row("b", "1")))
	return e
}

func row(name, value string) store.Row {
	return store.Row{Key: store.Key{Name: name}, Value: []byte(value), Version: 1}
}

func table(rows ...store.Row) store.TableUpdate {
	return store.TableUpdate{Response: store.Response{Rows: rows}, WholeTable: true}
}

func changes(rows ...store.Row) store.TableUpdate {
	return store.TableUpdate{Response: store.Response{Rows: rows}}
}

// engine returns the published engine with the id, or nil.
func (e *engineSet) engine(id string) *blackboard.Engine {
	return e.controller.board.Engines.Value().ByID(id)
}

// TestOneStartOfAnEngineKeepsWhatIsKnownOfIt guards against a leaving engine that is used
// again, and against counts of running requests that are lost, because its row was missing
// or odd for a while.
func TestOneStartOfAnEngineKeepsWhatIsKnownOfIt(t *testing.T) {
	deleted := row("a", "")
	deleted.Deleted = true
	for name, update := range map[string]store.TableUpdate{
		"deleted":       changes(deleted),
		"missing":       table(row("b", "1")),
		"odd":           changes(row("a", "odd")),
		"odd in a read": table(row("a", "odd"), row("b", "1")),
	} {
		e := newEngineSet()
		load := e.engine("a").Load
		e.apply(update)
		if e.engine("a") != nil || e.engine("b") == nil {
			t.Errorf("%s: engines %v", name, e.controller.board.Engines.Value().All)
		}
		load.Leaving.Store(true) // an answer that arrives after the row was gone
		e.apply(changes(row("a", "1")))
		if again := e.engine("a"); again == nil || again.Load != load {
			t.Errorf("%s: the engine came back as another one", name)
		}
		e.apply(changes(row("a", "2")))
		if next := e.engine("a"); next == nil || next.Load == load {
			t.Errorf("%s: another start of the engine is taken for the one before", name)
		}
	}
}

// TestRemovedEnginesAreForgotten guards against a set that grows with every engine that
// ever was.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	e := newEngineSet()
	e.apply(table(row("b", "1")))
	for id, removed := range e.removed {
		removed.at = removed.at.Add(-removedRetention - time.Second)
		e.removed[id] = removed
	}
	e.apply(changes())
	if len(e.removed) != 0 {
		t.Errorf("%d removed engines are kept", len(e.removed))
	}
}

// TestOddRowAfterAnOutageNamesNoEngine guards against an odd row that is taken for a row
// that is missing only because the store was unavailable.
func TestOddRowAfterAnOutageNamesNoEngine(t *testing.T) {
	e := newEngineSet()
	e.graceUntil = clock.Now().Add(time.Minute)
	e.apply(changes(row("a", "odd")))
	if e.engine("a") != nil {
		t.Error("an engine with an odd row is still used")
	}
}

// TestRowOfAnotherPartIsNoRowOfAnEngine guards against an engine that is kept although its
// row is gone, because a row of another part has its key.
func TestRowOfAnotherPartIsNoRowOfAnEngine(t *testing.T) {
	e := newEngineSet()
	other := row("a", "1")
	other.Part = "part"
	e.apply(table(other, row("b", "1")))
	if e.engine("a") != nil {
		t.Error("an engine without a row is still used")
	}
}
