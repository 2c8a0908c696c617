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

// newTestController returns a controller in a fleet of two daemons, and the only engine
// of its board.
func newTestController() (*Controller, *blackboard.Engine) {
	board := blackboard.NewEntryBoard()
	e := &blackboard.Engine{Engine: &catalog.Engine{ID: "i-1", Slots: 8}, Load: new(blackboard.EngineLoad)}
	board.Engines.Publish(blackboard.NewEngines([]*blackboard.Engine{e}))
	self, other := blackboard.Peer{Incarnation: "self"}, blackboard.Peer{Incarnation: "other"}
	board.Roster.Publish(&blackboard.Roster{Self: self, Members: []blackboard.Peer{self, other}, Loaded: true})
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return New(board, nil, logger), e
}

func loadReport(sequence int64, counts peer.EngineCounts) peer.LoadReport {
	return peer.LoadReport{From: "other", Sequence: sequence, Engines: map[string]peer.EngineCounts{"i-1": counts}}
}

func TestReportsOfPeersCountOnceAndAtOnce(t *testing.T) {
	c, e := newTestController()
	c.apply(loadReport(1, peer.EngineCounts{3, 2, 0}))
	if e.RequestCount() != 5 {
		t.Errorf("request count %d, want 5", e.RequestCount())
	}
	c.apply(loadReport(3, peer.EngineCounts{1, 0, 0}))
	c.apply(loadReport(2, peer.EngineCounts{7, 7, 0})) // overtaken by report 3
	if e.RequestCount() != 1 {
		t.Errorf("request count %d, want 1", e.RequestCount())
	}
	c.applyTotals(c.board.Roster.Value())
	if e.RequestCount() != 1 {
		t.Errorf("request count %d after adding up the reports, want 1", e.RequestCount())
	}
	c.apply(peer.LoadReport{From: "other", Sequence: 4})
	if e.RequestCount() != 0 {
		t.Errorf("request count %d, want 0", e.RequestCount())
	}
}

func TestDaemonThatLeftDoesNotCount(t *testing.T) {
	c, e := newTestController()
	c.apply(loadReport(1, peer.EngineCounts{3, 2, 0}))
	roster := *c.board.Roster.Value()
	roster.Members = roster.Members[:1]
	c.applyTotals(&roster)
	if e.RequestCount() != 0 {
		t.Errorf("request count %d, want 0", e.RequestCount())
	}
}

// TestReportsOfEnginesDoNotCirculate checks that a daemon reports only what an engine
// reported to it directly. Otherwise two daemons would keep an old report alive by
// sending it to each other.
func TestReportsOfEnginesDoNotCirculate(t *testing.T) {
	c, e := newTestController()
	c.apply(loadReport(1, peer.EngineCounts{0, 0, 8}))
	if e.RequestCount() != 8 {
		t.Errorf("request count %d, want 8", e.RequestCount())
	}
	if sent := c.newReport(c.board.Roster.Value(), 1); len(sent.Engines) != 0 {
		t.Errorf("report repeats what another daemon reported: %v", sent.Engines)
	}
	e.Load.OwnReport.Record(6, clock.Now())
	if sent := c.newReport(c.board.Roster.Value(), 2); sent.Engines["i-1"][2] != 6 {
		t.Errorf("report lacks what the engine reported to this daemon: %v", sent.Engines)
	}
}

func TestAdmissionsOfPeersCountOnce(t *testing.T) {
	c, _ := newTestController()
	limiter := blackboard.NewRateLimiter()
	c.board.RateLimiters.Publish(&blackboard.RateLimiters{ByWorkspace: map[string]*blackboard.RateLimiter{"w": limiter}})
	for i, r := range []struct{ count, want int64 }{{40, 1}, {40, 1}, {43, 4}, {2, 5}, {3, 6}} {
		c.apply(peer.LoadReport{From: "other", Sequence: int64(i + 1), Admitted: map[string]int64{"w": r.count}})
		if got := limiter.AdmittedByPeers.Load(); got != r.want {
			t.Errorf("after report %d: %d admissions of peers, want %d", i, got, r.want)
		}
	}
	c.applyTotals(c.board.Roster.Value())
	if reporting := c.board.ReportingDaemons.Load(); reporting != 2 {
		t.Errorf("reports of %d daemons count, want 2", reporting)
	}
}

func TestAdmissionsAreSentInAFewReports(t *testing.T) {
	c, _ := newTestController()
	limiter := blackboard.NewRateLimiter()
	c.board.RateLimiters.Publish(&blackboard.RateLimiters{ByWorkspace: map[string]*blackboard.RateLimiter{"w": limiter}})
	limiter.AdmittedHere.Store(7)
	for i := range sendsPerCount + 2 {
		sent, ok := c.newReport(c.board.Roster.Value(), int64(i)).Admitted["w"]
		if ok != (i < sendsPerCount) || ok && sent != 7 {
			t.Errorf("report %d carries count %d: %v", i, sent, ok)
		}
	}
	limiter.AdmittedHere.Store(8)
	if sent := c.newReport(c.board.Roster.Value(), 9).Admitted["w"]; sent != 8 {
		t.Errorf("report carries %d after the count changed to 8", sent)
	}
}

func TestSuspicionsOfTwoDaemonsEjectAnEngine(t *testing.T) {
	c, e := newTestController()
	roster := &blackboard.Roster{Loaded: true, Self: blackboard.Peer{Incarnation: "self", DataCentre: "dc"}}
	for _, name := range []string{"self", "other", "third"} {
		roster.Members = append(roster.Members, blackboard.Peer{Incarnation: name, DataCentre: "dc"})
	}
	suspicion := peer.EngineCounts{0, 0, 0, 1}
	c.apply(loadReport(1, suspicion))
	c.applyTotals(roster)
	if e.Load.Health.IsEjected(clock.Now()) {
		t.Error("the suspicion of one daemon ejected the engine")
	}
	third := loadReport(1, suspicion)
	third.From = "third"
	c.apply(third)
	c.applyTotals(roster)
	if !e.Load.Health.IsEjected(clock.Now()) {
		t.Error("the suspicions of two daemons did not eject the engine")
	}
	if sent := c.newReport(roster, 1); len(sent.Engines) != 0 {
		t.Errorf("report repeats the suspicions of other daemons: %v", sent.Engines)
	}
	e.Load.Health.RecordFailure(clock.Now())
	if sent := c.newReport(roster, 2); sent.Engines["i-1"] != suspicion {
		t.Errorf("report lacks this daemon's own suspicion: %v", sent.Engines)
	}
}

// TestLeavingEngineIsReportedAsAHint guards against other daemons that go on choosing an
// engine first that leaves, and against a report that is passed on as an own observation.
func TestLeavingEngineIsReportedAsAHint(t *testing.T) {
	c, e := newTestController()
	c.apply(loadReport(1, peer.EngineCounts{4: 1}))
	c.applyTotals(c.board.Roster.Value())
	if !e.Load.LeavingByPeers.Load() || !e.IsUsable() {
		t.Errorf("leaves according to peers: %v, usable: %v; want both", e.Load.LeavingByPeers.Load(), e.IsUsable())
	}
	if sent := c.newReport(c.board.Roster.Value(), 1); len(sent.Engines) != 0 {
		t.Errorf("the report repeats that of another daemon: %v", sent.Engines)
	}
	e.Load.Leaving.Store(true)
	if sent := c.newReport(c.board.Roster.Value(), 2); sent.Engines["i-1"] != (peer.EngineCounts{4: 1}) {
		t.Errorf("reported %v", sent.Engines)
	}
	c.apply(peer.LoadReport{From: "other", Sequence: 2})
	c.applyTotals(c.board.Roster.Value())
	if e.Load.LeavingByPeers.Load() {
		t.Error("the engine still leaves according to peers after none of them says so")
	}
}
