package loads

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// measured returns a controller with engines whose streams have the given intervals, in ms,
// and which report the pace unless it is 0.
func measured(pace int64, intervals ...time.Duration) (*Controller, []*blackboard.Engine) {
	c, _ := newTestController()
	var engines []*blackboard.Engine
	for i, interval := range intervals {
		e := &blackboard.Engine{Engine: &catalog.Engine{ID: fmt.Sprintf("i-%03d", i), Service: "svc", Slots: 8}, Load: new(blackboard.EngineLoad)}
		e.Load.Health.ObserveInterval(interval*time.Millisecond, clock.Now())
		if pace > 0 {
			e.Load.OwnPace.Record(pace, clock.Now())
		}
		engines = append(engines, e)
	}
	c.board.Engines.Publish(blackboard.NewEngines(engines))
	c.applyTotals(c.board.Roster.Value())
	return c, engines
}

// TestSpeedCountsOnlyWhereEnginesReportTheirPace guards against placement and load reports that
// change for engines that do not report their pace, and against a daemon that is slow itself
// and attributes that to engines.
func TestSpeedCountsOnlyWhereEnginesReportTheirPace(t *testing.T) {
	for _, pace := range []int64{0, 100} {
		c, engines := measured(pace, 400, 400, 400, 400, 800)
		r := c.newReport(c.board.Roster.Value(), 1)
		usual, known := engines[0].Load.Slowness()
		slow, _ := engines[4].Load.Slowness()
		if known != (pace > 0) || (r.States != nil) != known || known && (usual.Slowness(1, 8) != 1 || slow.Slowness(1, 8) < 1.5) {
			t.Errorf("pace %d: curves %v and %v, states %v", pace, usual, slow, r.States)
		}
	}
}

// TestSpeedIsToldInFewBytes guards against an engine whose slowness each daemon must meet
// itself, and against reports that grow with the number of engines.
func TestSpeedIsToldInFewBytes(t *testing.T) {
	c, engines := measured(100, make([]time.Duration, 500)...)
	told := make(map[string]peer.EngineState)
	for i := range int64(63) {
		states := c.newReport(c.board.Roster.Value(), i).States
		if maps.Copy(told, states); len(states) > maxStatesOfDaemon || i == 62 && len(told) != len(engines) {
			t.Fatalf("a report holds the states of %d engines; of %d they were told", len(states), len(told))
		}
	}
	c.apply(peer.LoadReport{From: "other", Sequence: 1, States: map[string]peer.EngineState{"i-007": {250}, "gone": {250}}})
	c.applyTotals(c.board.Roster.Value())
	if slow, _ := engines[7].Load.Slowness(); slow.Slowness(1, 8) <= 1 {
		t.Errorf("an engine that is slow by another daemon has the curve %v", slow)
	}
	if merged := addState(peer.EngineState{100, 1, 90}, peer.EngineState{0, 3, 210}); merged != (peer.EngineState{100, 3, 210}) {
		t.Errorf("states of two daemons are added up to %v", merged)
	}
}

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

// TestPlacedTokensAreKnownToAll guards against engines that daemons fill together because the
// tokens placed by others are counted twice, kept after they are gone, or not known in another
// data centre; and against reports that change where engines have no known capacity
// or report no pace.
func TestPlacedTokensAreKnownToAll(t *testing.T) {
	for given, want := range map[[2]int64]int64{{72_000, 100}: 1800, {0, 100}: 100, {72_000, 0}: 100} {
		capacity, pace := given[0], given[1]
		n := newNetwork(3, 6)
		for _, d := range n.daemons {
			d.board.Catalog.Publish(catalog.New(catalog.Content{Services: []*catalog.Service{{MemoryTokens: capacity}}}))
			load := d.board.Engines.Value().ByID("i-1").Load
			load.Tokens.Store(100)
			load.OwnPace.Record(pace, clock.Now())
		}
		n.run(time.Second)
		for _, d := range n.daemons {
			age := time.Duration(d.board.PeerReportAge.Load())
			if placed := d.board.Engines.Value().ByID("i-1").PlacedTokens(); placed != want || age <= 0 || age > maxReportAge {
				t.Fatalf("capacity %d, pace %d: %s knows of %d tokens, want %d; its knowledge is %v old", capacity, pace, d.peer.Name, placed, want, age)
			}
		}
	}
	c, e := newTestController()
	for i, want := range []int64{500, 200, 0} {
		c.apply(peer.LoadReport{From: "other", Sequence: int64(i + 1), Tokens: map[string]int64{"i-1": want, "gone": 3}})
		if e.PlacedTokens() != want {
			t.Errorf("%d tokens by the last report, want %d", e.PlacedTokens(), want)
		}
	}
}
