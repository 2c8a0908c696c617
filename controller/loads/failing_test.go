package loads

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

// failedBy applies the report of another daemon whose requests failed at the engines.
func failedBy(c *Controller, daemon string, sequence int64, f peer.EngineFailures, engines ...string) {
	r := peer.LoadReport{From: daemon, Sequence: sequence, Failing: make(map[string]peer.EngineFailures)}
	for _, id := range engines {
		r.Failing[id] = f
	}
	c.apply(r)
	c.applyTotals(c.board.Roster.Value())
}

// withThreeDaemons lets the controller know of two other daemons.
func withThreeDaemons(c *Controller) {
	roster := *c.board.Roster.Value()
	roster.Members = append(roster.Members, blackboard.Peer{Incarnation: "third"})
	c.board.Roster.Publish(&roster)
}

// TestFailedAnswersOfOthersCount guards against an engine that answers with failures and that
// each daemon must meet itself; against one faulty daemon that takes engines out of use; and
// against an engine that stays a last choice although it answers well again.
func TestFailedAnswersOfOthersCount(t *testing.T) {
	for _, pace := range []int64{0, 100} {
		c, engines := measured(pace, 40, 40, 40, 40, 40)
		withThreeDaemons(c)
		c.applyTotals(c.board.Roster.Value())
		fails := func() bool { return engines[0].Load.Health.FailsByPeers.Load() }
		failed := peer.EngineFailures{Daemons: 1, FailedMs: 100}
		failedBy(c, "other", 1, failed, "i-000")
		if fails() {
			t.Fatal("one daemon makes an engine the last choice")
		}
		failedBy(c, "third", 1, failed, "i-000")
		if fails() != (pace > 0) {
			t.Fatalf("pace %d: two daemons had failures, and the engine fails: %v", pace, fails())
		}
		failedBy(c, "third", 2, peer.EngineFailures{Daemons: 1, FailedMs: 300, WellMs: 5}, "i-000")
		if fails() {
			t.Error("an engine that answered well again is the last choice")
		}
		failedBy(c, "other", 2, failed, "i-000", "i-001", "i-002")
		failedBy(c, "third", 3, failed, "i-000", "i-001", "i-002")
		if fails() {
			t.Error("more than a third of the engines are the last choice")
		}
	}
}

// TestFailedAnswersAreToldWhileTheyMatter guards against reports that keep an engine out of use
// for longer than its failures are recent, and against good answers that nobody hears of.
func TestFailedAnswersAreToldWhileTheyMatter(t *testing.T) {
	c, engines := measured(100, 40, 40, 40, 40, 40)
	withThreeDaemons(c)
	c.applyTotals(c.board.Roster.Value())
	told := func() peer.EngineFailures { return c.newReport(c.board.Roster.Value(), 1).Failing["i-000"] }
	health, now := &engines[0].Load.Health, clock.Now()
	health.RecordGoodAnswer(now.Add(-2 * time.Second))
	if f := told(); f != (peer.EngineFailures{}) {
		t.Errorf("good answers are told though nobody had a failure: %+v", f)
	}
	health.RecordFailedAnswer(now.Add(-time.Second))
	if f := told(); f.Daemons != 1 || f.FailedMs < 1000 || f.FailedMs > 2000 {
		t.Errorf("a failure a second ago is told as %+v", f)
	}
	failedBy(c, "other", 1, peer.EngineFailures{Daemons: 1, FailedMs: 1200}, "i-000")
	health.RecordGoodAnswer(now.Add(-time.Second / 2))
	if f := told(); f.Daemons != 0 || f.WellMs < 500 {
		t.Errorf("a good answer after a failure is told as %+v", f)
	}
	health.RecordFailedAnswer(now.Add(-failureReportTime))
	if f := told(); f.Daemons != 0 {
		t.Errorf("an old failure is told as %+v", f)
	}
	sum := addFailing(nil, map[string]peer.EngineFailures{"a": {Daemons: 1, FailedMs: 200}}, 50*time.Millisecond)
	sum = addFailing(sum, map[string]peer.EngineFailures{"a": {Daemons: 1, FailedMs: 300, WellMs: 900}}, 0)
	if want := (peer.EngineFailures{Daemons: 2, FailedMs: 250, WellMs: 900}); sum["a"] != want {
		t.Errorf("added up: %+v, want %+v", sum["a"], want)
	}
}
