package jobs

import (
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// TestItemsRecordTheLoadOfTheirEngine guards against daemons that run items only and know
// nothing of the load that the engines report.
func TestItemsRecordTheLoadOfTheirEngine(t *testing.T) {
	for notRun, want := range map[bool]int64{false: 7, true: 0} {
		c, o := newTestController(0)
		response := body(event(1) + event(2))
		response.Running, response.Waiting, response.NotRun = 5, 2, notRun
		c.engines.Client = oneResponse{response}
		engine := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Slots: 8}, Load: new(blackboard.EngineLoad)}
		if _, err := c.send(t.Context(), o.waiting[0].newRun("h", engine)); err != nil {
			t.Fatal(err)
		}
		if n := engine.Load.OwnReport.Requests(clock.Now()); n != want {
			t.Errorf("rejected %v: the engine has %d requests by its report, want %d", notRun, n, want)
		}
	}
}
