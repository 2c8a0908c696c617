package placement

import (
	"fmt"
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

func newEngine(id string, online, batch int64) *blackboard.Engine {
	e := &blackboard.Engine{
		Engine: &catalog.Engine{ID: id, Service: "svc", DataCentre: "dc-1", Slots: 8},
		Load:   new(blackboard.EngineLoad),
	}
	e.Load.Online.Store(online)
	e.Load.Batch.Store(batch)
	return e
}

func query() *Query {
	return &Query{
		Roster: &blackboard.Roster{Self: blackboard.Peer{DataCentre: "dc-1"}}, Now: clock.Now(), ColdRate: 8, MaxQueue: 1, Random: func() float64 { return 0.5 },
	}
}

func TestLeastLoadedEngineIsChosen(t *testing.T) {
	engines := []*blackboard.Engine{newEngine("a", 5, 0), newEngine("b", 2, 0), newEngine("c", 3, 0)}
	if got := Choose(engines, query()); got != engines[1] {
		t.Errorf("chose %v", got.ID)
	}
}

func TestEnginesThatMayNotBeChosen(t *testing.T) {
	now := clock.Now()
	for name, change := range map[string]func(*blackboard.Engine){
		"leaving":   func(e *blackboard.Engine) { e.Load.Leaving.Store(true) },
		"draining":  func(e *blackboard.Engine) { e.Draining = true },
		"taken out": func(e *blackboard.Engine) { e.TakenOut = true },
		"full":      func(e *blackboard.Engine) { e.Load.Online.Store(9) },
		"gone":      func(e *blackboard.Engine) { e.MissingUntil = now.Add(-1) },
		"cold": func(e *blackboard.Engine) {
			e.ColdUntil = now.Add(1e12)
		},
	} {
		e := newEngine("a", 0, 0)
		change(e)
		if got := Choose([]*blackboard.Engine{e}, query()); got != nil {
			t.Errorf("an engine that is %s was chosen", name)
		}
	}
}

func TestEjectedEngineIsTheLastChoice(t *testing.T) {
	failed, full := newEngine("a", 0, 0), newEngine("b", 8, 0)
	failed.Load.Health.RecordFailure(clock.Now())
	if got := Choose([]*blackboard.Engine{failed, full}, query()); got != full {
		t.Error("an ejected engine was preferred to a full one")
	}
	if got := Choose([]*blackboard.Engine{failed}, query()); got != failed {
		t.Error("the only engine was not chosen although it is ejected")
	}
}

func TestDaemonsHaveDifferentPreferredEngines(t *testing.T) {
	var engines []*blackboard.Engine
	for i := range 14 {
		engines = append(engines, newEngine(fmt.Sprintf("i-%02d", i), 0, 0))
	}
	var peers []blackboard.Peer
	for i := range 7 {
		peers = append(peers, blackboard.Peer{Name: fmt.Sprint(i), Incarnation: fmt.Sprint(i), DataCentre: "dc-1"})
	}
	owners := make(map[string]int)
	for _, self := range peers {
		preferred := PreferredEngines(engines, &blackboard.Roster{Self: self, Members: peers})
		if len(preferred) != 2 {
			t.Errorf("daemon %s has %d preferred engines, want 2", self.Name, len(preferred))
		}
		for id := range preferred {
			owners[id]++
		}
	}
	for _, e := range engines {
		if owners[e.ID] != 1 {
			t.Errorf("engine %s is preferred by %d daemons, want 1", e.ID, owners[e.ID])
		}
	}
}

func TestBatchItemsTakeOnlyFreeSlots(t *testing.T) {
	e := newEngine("a", 3, 4)
	q := &BatchQuery{Query: *query()}
	q.PreferredEngines = map[string]bool{"a": true}
	if got := ChooseForBatch([]*blackboard.Engine{e}, q); got != e {
		t.Error("the preferred engine with a free slot was not chosen")
	}
	for _, online := range []int64{4, 5} {
		e.Load.Online.Store(online)
		if got := ChooseForBatch([]*blackboard.Engine{e}, q); got != nil {
			t.Errorf("an engine with %d requests at 8 slots was chosen for an item", online+4)
		}
	}
}

func TestDaemonsPreemptInProportionToTheirItems(t *testing.T) {
	e := newEngine("a", 6, 2)
	e.Load.PeerOnline.Store(1)
	e.Load.PeerBatch.Store(2)
	sum := 0
	for i := range 100 {
		sum += ItemsToPreempt(e, float64(i)/100)
	}
	if mean := float64(sum) / 100; mean < 1.4 || mean > 1.6 {
		t.Errorf("a daemon with half of the items preempts %v of 3, want 1.5", mean)
	}
	e.Load.Online.Store(1)
	if n := ItemsToPreempt(e, 0); n != 0 {
		t.Errorf("%d items are preempted at an engine with free slots", n)
	}
}

func TestFreshReportOfAnEngineCounts(t *testing.T) {
	e := newEngine("a", 1, 0)
	e.Load.OwnReport.Record(7, clock.Now())
	if e.RequestCount() != 7 {
		t.Errorf("%d requests, want 7", e.RequestCount())
	}
	e.Load.OwnReport.Record(7, clock.Now().Add(-1e9))
	if e.RequestCount() != 1 {
		t.Errorf("%d requests after the report became old, want 1", e.RequestCount())
	}
}

// TestEngineThatLeavesByPeersIsTheLastChoice guards against one faulty daemon that takes the
// fleet's engines away, because they leave or fail according to it.
func TestEngineThatLeavesByPeersIsTheLastChoice(t *testing.T) {
	for _, fails := range []bool{false, true} {
		leaving, sound := newEngine("a", 0, 0), newEngine("b", 6, 0)
		leaving.Load.LeavingByPeers.Store(!fails)
		leaving.Load.Health.FailsByPeers.Store(fails)
		both, alone := []*blackboard.Engine{leaving, sound}, []*blackboard.Engine{leaving}
		if Choose(both, query()) != sound || Choose(alone, query()) != leaving {
			t.Error("an engine that leaves or fails by peers is not the last choice of a request")
		}
		q := &BatchQuery{Query: *query()}
		if ChooseForBatch(both, q) != sound || ChooseForBatch(alone, q) != leaving {
			t.Error("an engine that leaves or fails by peers is not the last choice of an item")
		}
	}
}
