package roster

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

// observed drives an observer by readings at given times.
type observed struct {
	*observer
	t       *testing.T
	now     clock.Instant
	version int64
}

func newObserved(t *testing.T) *observed {
	return &observed{observer: &observer{byID: make(map[string]*seen)}, t: t}
}

// read moves the clock and reads rows that these daemons have just written.
func (o *observed) read(after time.Duration, writers ...blackboard.Peer) {
	o.now = o.now.Add(after)
	o.advance(o.now)
	var batch store.Batch
	for _, w := range writers {
		o.version++
		value, err := json.Marshal(w)
		if err != nil {
			o.t.Fatal(err)
		}
		batch.Rows = append(batch.Rows, store.Row{Key: store.Key{Table: Table, Name: w.Incarnation}, Value: value, Version: o.version})
	}
	o.apply(batch, func(row store.Row, err error) { o.t.Errorf("%s: %v", row.Name, err) })
}

func (o *observed) names() string {
	names := ""
	for _, p := range o.running() {
		names += p.Incarnation + " "
	}
	return names
}

var (
	a1 = blackboard.Peer{Name: "a", Incarnation: "a1"}
	a2 = blackboard.Peer{Name: "a", Incarnation: "a2"}
	b1 = blackboard.Peer{Name: "b", Incarnation: "b1"}
)

func TestSilentDaemonLapses(t *testing.T) {
	o := newObserved(t)
	o.read(0, a1, b1)
	for passed := time.Duration(0); passed <= lapseTime; passed += heartbeat {
		o.read(heartbeat, a1)
	}
	if got := o.names(); got != "a1 " {
		t.Errorf("running: %s", got)
	}
}

func TestNobodyLapsesBecauseTheStoreWasAway(t *testing.T) {
	o := newObserved(t)
	o.read(0, a1, b1)
	o.read(time.Minute) // the first reading after an outage
	if got := o.names(); got != "a1 b1 " {
		t.Errorf("running: %s", got)
	}
}

func TestNewStartReplacesTheOldOneAtOnce(t *testing.T) {
	o := newObserved(t)
	o.read(0, a1, b1)
	o.read(300*time.Millisecond, a2)
	if got := o.names(); got != "a2 b1 " {
		t.Errorf("running: %s", got)
	}
}

func TestRowsOfLapsedDaemonsAreForgotten(t *testing.T) {
	o := newObserved(t)
	o.read(0, a1)
	for range 30 {
		o.read(time.Second)
	}
	if keys := o.forgotten(); len(keys) != 1 || keys[0].Name != "a1" {
		t.Errorf("forgotten: %v", keys)
	}
}
