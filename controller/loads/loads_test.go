package loads

import (
	"io"
	"testing"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

// newPair returns a controller on a board with one engine and a peer.
func newPair() (*Controller, *blackboard.Engine) {
	board := blackboard.NewEntry()
	e := &blackboard.Engine{Engine: &catalog.Engine{ID: "i-1", Slots: 8}, Load: new(blackboard.EngineLoad)}
	board.Engines.Publish(blackboard.NewEngines([]*blackboard.Engine{e}))
	self, other := blackboard.Peer{Incarnation: "self"}, blackboard.Peer{Incarnation: "other"}
	board.Roster.Publish(&blackboard.Roster{Self: self, Peers: []blackboard.Peer{self, other}, Known: true})
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return New(board, nil, logger), e
}

func loadReport(sequence int64, counts peer.EngineCounts) peer.LoadReport {
	return peer.LoadReport{From: "other", Sequence: sequence, Engines: map[string]peer.EngineCounts{"i-1": counts}}
}

func TestReportsOfPeersCountOnceAndAtOnce(t *testing.T) {
	c, e := newPair()
	c.take(loadReport(1, peer.EngineCounts{3, 2, 0}))
	if e.Busy() != 5 {
		t.Errorf("busy %d, want 5", e.Busy())
	}
	c.take(loadReport(3, peer.EngineCounts{1, 0, 0}))
	c.take(loadReport(2, peer.EngineCounts{7, 7, 0})) // overtaken
	if e.Busy() != 1 {
		t.Errorf("busy %d, want 1", e.Busy())
	}
	c.sum(c.board.Roster.Value())
	if e.Busy() != 1 {
		t.Errorf("busy %d after the sum, want 1", e.Busy())
	}
	c.take(peer.LoadReport{From: "other", Sequence: 4})
	if e.Busy() != 0 {
		t.Errorf("busy %d, want 0", e.Busy())
	}
}

func TestDaemonThatLeftDoesNotCount(t *testing.T) {
	c, e := newPair()
	c.take(loadReport(1, peer.EngineCounts{3, 2, 0}))
	roster := *c.board.Roster.Value()
	roster.Peers = roster.Peers[:1]
	c.sum(&roster)
	if e.Busy() != 0 {
		t.Errorf("busy %d, want 0", e.Busy())
	}
}

// TestReportsOfEnginesDoNotCirculate checks that a daemon tells only what an
// engine reported to it itself: otherwise two daemons would keep an old report
// alive by telling each other.
func TestReportsOfEnginesDoNotCirculate(t *testing.T) {
	c, e := newPair()
	c.take(loadReport(1, peer.EngineCounts{0, 0, 8}))
	if e.Busy() != 8 {
		t.Errorf("busy %d, want 8", e.Busy())
	}
	if told := c.report(c.board.Roster.Value(), 1); len(told.Engines) != 0 {
		t.Errorf("daemon passes on what it was told: %v", told.Engines)
	}
	e.Load.Own.Set(6, clock.Now())
	if told := c.report(c.board.Roster.Value(), 2); told.Engines["i-1"][2] != 6 {
		t.Errorf("daemon does not tell what the engine reported: %v", told.Engines)
	}
}

func TestAdmissionsOfPeersCountOnce(t *testing.T) {
	c, _ := newPair()
	share := blackboard.NewShare()
	c.board.Shares.Publish(&blackboard.Shares{ByWorkspace: map[string]*blackboard.Share{"w": share}})
	for i, r := range []struct{ count, want int64 }{{40, 1}, {40, 1}, {43, 4}, {2, 5}, {3, 6}} {
		c.take(peer.LoadReport{From: "other", Sequence: int64(i + 1), Admitted: map[string]int64{"w": r.count}})
		if got := share.PeersAdmitted.Load(); got != r.want {
			t.Errorf("report %d: %d admissions of peers, want %d", i, got, r.want)
		}
	}
	c.sum(c.board.Roster.Value())
	if heard := c.board.Heard.Load(); heard != 2 {
		t.Errorf("%d daemons are heard, want 2", heard)
	}
}

func TestAdmissionsAreToldUntilTheyAreOld(t *testing.T) {
	c, _ := newPair()
	share := blackboard.NewShare()
	c.board.Shares.Publish(&blackboard.Shares{ByWorkspace: map[string]*blackboard.Share{"w": share}})
	share.Admitted.Store(7)
	for i := range repeats + 2 {
		told, ok := c.report(c.board.Roster.Value(), int64(i)).Admitted["w"]
		if ok != (i < repeats) || ok && told != 7 {
			t.Errorf("report %d tells %d, %v", i, told, ok)
		}
	}
	share.Admitted.Store(8)
	if told := c.report(c.board.Roster.Value(), 9).Admitted["w"]; told != 8 {
		t.Errorf("a new count is told as %d", told)
	}
}

func TestDaemonsAgreeOnABadEngine(t *testing.T) {
	c, e := newPair()
	roster := &blackboard.Roster{Known: true, Self: blackboard.Peer{Incarnation: "self", DataCentre: "dc"}}
	for _, name := range []string{"self", "other", "third"} {
		roster.Peers = append(roster.Peers, blackboard.Peer{Incarnation: name, DataCentre: "dc"})
	}
	suspicion := peer.EngineCounts{0, 0, 0, 1}
	c.take(loadReport(1, suspicion))
	c.sum(roster)
	if e.Load.Health.Avoided(clock.Now()) {
		t.Error("one daemon's bad path became everybody's verdict")
	}
	third := loadReport(1, suspicion)
	third.From = "third"
	c.take(third)
	c.sum(roster)
	if !e.Load.Health.Avoided(clock.Now()) {
		t.Error("an engine that two daemons avoid is not avoided")
	}
	if told := c.report(roster, 1); len(told.Engines) != 0 {
		t.Errorf("daemon passes on a verdict as its own: %v", told.Engines)
	}
	e.Load.Health.Failed(clock.Now())
	if told := c.report(roster, 2); told.Engines["i-1"] != suspicion {
		t.Errorf("daemon does not tell what it saw: %v", told.Engines)
	}
}
