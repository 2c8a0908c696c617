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
