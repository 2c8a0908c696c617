package loads

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

// measured returns a controller with engines whose streams have the given intervals, in ms,
// and which report the pace unless it is 0.
func measured(pace int64, intervals ...time.Duration) (*Controller, []*blackboard.Engine) {
	c, _ := newTestController()
	now := clock.Now()
	var engines []*blackboard.Engine
	for i, interval := range intervals {
		e := &blackboard.Engine{Engine: &catalog.Engine{ID: fmt.Sprintf("i-%03d", i), Service: "svc", Slots: 8}, Load: new(blackboard.EngineLoad)}
		e.Load.Online.Store(1)
		e.Load.Health.ObserveInterval(interval*time.Millisecond, now)
		if pace > 0 {
			e.Load.OwnPace.Record(pace, now)
		}
		engines = append(engines, e)
	}
	c.board.Engines.Publish(blackboard.NewEngines(engines))
	return c, engines
}

// slownessOf returns how slow the engine is with one request, or 0 if that is not known.
func slownessOf(e *blackboard.Engine) float64 {
	curve, known := e.Load.Slowness()
	if !known {
		return 0
	}
	return curve.Slowness(1, e.Slots)
}

// TestSpeedCountsOnlyWhereEnginesReportTheirPace guards against placement and load reports that
// change for engines that do not report their pace.
func TestSpeedCountsOnlyWhereEnginesReportTheirPace(t *testing.T) {
	for _, pace := range []int64{0, 100} {
		c, engines := measured(pace, 40, 40, 40, 40, 80)
		c.applyTotals(c.board.Roster.Value())
		states := c.newReport(c.board.Roster.Value(), 1).States
		if slow := slownessOf(engines[4]); (slow > 1.5) != (pace > 0) || (len(states) == 5) != (pace > 0) || (states == nil) != (pace == 0) {
			t.Errorf("pace %d: the slow engine counts as %v times slower, states %v", pace, slow, states)
		}
	}
}

// TestSlowDaemonFindsNoEngineSlow guards against a daemon that is slow itself and attributes
// that to engines.
func TestSlowDaemonFindsNoEngineSlow(t *testing.T) {
	c, engines := measured(100, 400, 420, 380, 410, 400)
	c.applyTotals(c.board.Roster.Value())
	for _, e := range engines {
		if slow := slownessOf(e); slow < 0.8 || slow > 1.2 {
			t.Errorf("engine %s counts as %v times slower", e.ID, slow)
		}
	}
}

// TestSpeedIsToldInFewBytes guards against an engine whose slowness each daemon must meet
// itself, and against reports that grow with the number of engines.
func TestSpeedIsToldInFewBytes(t *testing.T) {
	c, engines := measured(100, make([]time.Duration, 500)...)
	c.applyTotals(c.board.Roster.Value())
	told := make(map[string]bool)
	for i := range int64(63) {
		states := c.newReport(c.board.Roster.Value(), i).States
		if len(states) > maxStatesOfDaemon {
			t.Fatalf("a report holds the states of %d engines", len(states))
		}
		for id := range states {
			told[id] = true
		}
	}
	if len(told) != len(engines) {
		t.Errorf("the states of %d of %d engines were told", len(told), len(engines))
	}
	c.apply(peer.LoadReport{From: "other", Sequence: 1, States: map[string]peer.EngineState{"i-007": {250}, "gone": {250}}})
	c.applyTotals(c.board.Roster.Value())
	if slow := slownessOf(engines[7]); slow < 1.01 {
		t.Errorf("an engine that is slow by another daemon counts as %v times slower", slow)
	}
}

// TestStatesOfADataCentreAreAddedUp guards against sums in which one daemon's measurement hides
// another's.
func TestStatesOfADataCentreAreAddedUp(t *testing.T) {
	for _, c := range []struct{ a, b, want peer.EngineState }{
		{peer.EngineState{100}, peer.EngineState{200}, peer.EngineState{150}},
		{peer.EngineState{}, peer.EngineState{200, 2, 130}, peer.EngineState{200, 2, 130}},
		{peer.EngineState{100, 1, 90}, peer.EngineState{0, 3, 210}, peer.EngineState{100, 3, 210}},
		{peer.EngineState{100, 3, 190}, peer.EngineState{0, 3, 210}, peer.EngineState{100, 3, 200}},
	} {
		if got := addState(c.a, c.b); got != c.want {
			t.Errorf("%v and %v are %v, want %v", c.a, c.b, got, c.want)
		}
	}
}
