package loads

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// TestFailedAnswersOfOthersCount guards against an engine that answers with failures and that
// each daemon must meet itself; against one faulty daemon that takes engines out of use; and
// against an engine that stays a last choice although it answers well again.
func TestFailedAnswersOfOthersCount(t *testing.T) {
	failed, well := peer.EngineFailures{Daemons: 1, FailedMs: 100}, peer.EngineFailures{Daemons: 1, FailedMs: 300, WellMs: 5}
	for _, pace := range []int64{0, 100} {
		c, engines := measured(pace, 40, 40, 40, 40, 40)
		roster := *c.board.Roster.Value()
		roster.Members = append(roster.Members, blackboard.Peer{Incarnation: "third"})
		c.board.Roster.Publish(&roster)
		for i, step := range []struct {
			from    string
			f       peer.EngineFailures
			engines string // last digits
			want    bool
		}{
			{"other", peer.EngineFailures{Daemons: 1, FailedMs: failureReportTime.Milliseconds() + 1}, "0", false},
			{"third", failed, "0", false},
			{"other", failed, "0", true},
			{"other", peer.EngineFailures{Daemons: 1, FailedMs: 150, WellMs: 120}, "0", false},
			{"other", failed, "0", true},
			{"third", well, "0", false},
			{"other", failed, "012", false},
			{"third", failed, "012", false}, // more than a third
		} {
			r := peer.LoadReport{From: step.from, Sequence: int64(i), Failing: make(map[string]peer.EngineFailures)}
			for _, digit := range step.engines {
				r.Failing["i-00"+string(digit)] = step.f
			}
			c.apply(r)
			c.applyTotals(&roster)
			if got := engines[0].Load.Health.FailsByPeers.Load(); got != (step.want && pace > 0) {
				t.Errorf("pace %d, after report %d the engine fails: %v", pace, i, got)
			}
		}
	}
}

// TestFailedAnswersAreToldWhileTheyMatter guards against reports that keep an engine out of use
// after it answered well, and against good answers that nobody hears of.
func TestFailedAnswersAreToldWhileTheyMatter(t *testing.T) {
	c, engines := measured(100, 40, 40, 40, 40, 40)
	health, now := &engines[0].Load.Health, clock.Now()
	health.RecordFailedAnswer(now.Add(-time.Second))
	failed := c.newReport(c.board.Roster.Value(), 1).Failing
	c.failures["i-000"] = []placement.FailureClaim{{Daemons: 1, FailedAt: now}}
	health.RecordGoodAnswer(now)
	well := c.newReport(c.board.Roster.Value(), 2).Failing
	sum := addFailing(addFailing(nil, failed, 0), well, time.Minute)["i-000"]
	if sum.Daemons != 1 || sum.FailedMs < 1000 || sum.FailedMs > 3000 || sum.WellMs < time.Minute.Milliseconds() {
		t.Errorf("told are %+v and, after a good answer, %+v; added up %+v", failed, well, sum)
	}
}
