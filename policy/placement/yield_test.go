package placement

import (
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
)

// TestItemsLeaveBeforeAPeak guards against items that keep the slots of online requests that
// are expected, and against items that leave, or are not started, without such.
func TestItemsLeaveBeforeAPeak(t *testing.T) {
	e := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Service: "s", Slots: 8}, Load: new(blackboard.EngineLoad)}
	e.Load.Online.Store(2)
	e.Load.Batch.Store(4)
	for reserve, want := range map[float64]int{0: 0, 2: 0, 3: 1, 20: 4} {
		if got := ItemsToYield(e, reserve, 0.5); got != want {
			t.Errorf("%d items leave for %v expected requests, want %d", got, reserve, want)
		}
	}
	q := &BatchQuery{Query: Query{Roster: new(blackboard.Roster), Random: func() float64 { return 0.5 }, PreferredEngines: map[string]bool{"e": true}}}
	if q.Reserve = 2; q.spareSlots(e) != 0 {
		t.Errorf("%d slots for items with 2 expected requests, want none", q.spareSlots(e))
	}
}
