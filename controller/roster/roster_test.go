package roster

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

// observerTest drives an observer with reads at given times.
type observerTest struct {
	*observer
	t       *testing.T
	now     clock.Instant
	version int64
}

func newObserverTest(t *testing.T) *observerTest {
	return &observerTest{observer: newObserver(0), t: t}
}

// read advances the clock and applies rows that the given members have just written.
func (o *observerTest) read(elapsed time.Duration, writers ...blackboard.Peer) {
	o.now = o.now.Add(elapsed)
	o.advance(o.now)
	var batch store.TableUpdate
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

// names returns the incarnations of the running members.
func (o *observerTest) names() string {
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

func TestMemberWithoutHeartbeatsExpires(t *testing.T) {
	o := newObserverTest(t)
	o.read(0, a1, b1)
	for passed := time.Duration(0); passed <= expiryTime; passed += heartbeatInterval {
		o.read(heartbeatInterval, a1)
	}
	if got := o.names(); got != "a1 " {
		t.Errorf("running: %s", got)
	}
}

func TestNoMemberExpiresBecauseTheStoreWasUnavailable(t *testing.T) {
	o := newObserverTest(t)
	o.read(0, a1, b1)
	o.read(time.Minute) // the first read after an outage
	if got := o.names(); got != "a1 b1 " {
		t.Errorf("running: %s", got)
	}
}

func TestNewIncarnationReplacesTheOldOneAtOnce(t *testing.T) {
	o := newObserverTest(t)
	o.read(0, a1, b1)
	o.read(300*time.Millisecond, a2)
	if got := o.names(); got != "a2 b1 " {
		t.Errorf("running: %s", got)
	}
}

// TestLateHeartbeatOfAnEarlierIncarnationCountsForNothing guards against a daemon that is taken for
// gone, so that its batch jobs are claimed by others, and against one that left and is taken for
// running, because the store performs a heartbeat late.
func TestLateHeartbeatOfAnEarlierIncarnationCountsForNothing(t *testing.T) {
	deleted := func(p blackboard.Peer) store.TableUpdate {
		return store.TableUpdate{Response: store.Response{Rows: []store.Row{{Key: store.Key{Table: Table, Name: p.Incarnation}, Deleted: true}}}}
	}
	for name, c := range map[string]struct {
		before func(o *observerTest)
		want   string
	}{
		"killed and started again": {func(o *observerTest) { o.read(heartbeatInterval, a2) }, "a2 b1 "},
		"stopped and started again": {func(o *observerTest) {
			o.apply(deleted(a1), nil)
			o.read(heartbeatInterval, a2)
		}, "a2 b1 "},
		"stopped for good":       {func(o *observerTest) { o.apply(deleted(a1), nil) }, "b1 "},
		"missing in a read anew": {func(o *observerTest) { o.apply(store.TableUpdate{WholeTable: true}, nil); o.read(0, b1); o.read(0, b1) }, "b1 "},
	} {
		o := newObserverTest(t)
		o.read(0, a1, b1)
		c.before(o)
		o.read(heartbeatInterval, b1, a1)
		if got := o.names(); got != c.want {
			t.Errorf("%s: after a late heartbeat %srun, want %s", name, got, c.want)
		}
	}
}

// TestMemberWhoseRowWasRemovedComesBack guards against a daemon that was cut off for so long that
// its row was removed, and then never counts as running again.
func TestMemberWhoseRowWasRemovedComesBack(t *testing.T) {
	o := newObserverTest(t)
	o.read(0, a1, b1)
	o.apply(store.TableUpdate{WholeTable: true}, nil)
	o.read(heartbeatInterval, a1)
	o.read(heartbeatInterval, a1)
	if got := o.names(); got != "a1 " {
		t.Errorf("running: %s", got)
	}
	for range 700 {
		o.read(time.Second, a1)
	}
	if len(o.removed) != 0 {
		t.Errorf("%d removed members are remembered", len(o.removed))
	}
}

func TestRowsOfExpiredMembersAreRemoved(t *testing.T) {
	o := newObserverTest(t)
	o.read(0, a1)
	for range 30 {
		o.read(time.Second)
	}
	if expired := o.expired(); len(expired) != 1 || expired[0] != "a1" {
		t.Errorf("rows to remove: %v", expired)
	}
}

// TestOddRowOfADaemonNamesNoMember guards against members that no daemon is, which would
// count as running, share cold engines and become owners of batch jobs.
func TestOddRowOfADaemonNamesNoMember(t *testing.T) {
	o := newObserverTest(t)
	o.read(time.Second, a1)
	odd := 0
	for name, value := range map[string]string{
		"null": "null", "empty": "{}", "text": `"a"`, "other": `{"name":"b","incarnation":"elsewhere"}`, "nested": strings.Repeat("[", 1<<15), "no bytes": "",
	} {
		o.version++
		rows := []store.Row{{Key: store.Key{Table: Table, Name: name}, Value: []byte(value), Version: o.version}}
		o.apply(store.TableUpdate{Response: store.Response{Rows: rows}}, func(store.Row, error) { odd++ })
	}
	if got := o.names(); got != a1.Incarnation+" " || odd != 6 {
		t.Errorf("members %q, %d odd rows; want %q and 6", got, odd, a1.Incarnation)
	}
}
