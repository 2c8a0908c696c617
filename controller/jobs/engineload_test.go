package jobs

import (
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// TestItemsCountAtTheirEngine guards against daemons that run items only and know nothing of
// the load that the engines report, and against tokens of items that are not counted while
// these run, or still afterwards.
func TestItemsCountAtTheirEngine(t *testing.T) {
	c, o := newTestController(0)
	response := body(event(1) + event(2))
	response.Running, response.Waiting = 5, 2
	c.engines.Client = oneResponse{response}
	c.engines.Tokens = func(map[string]string) int64 { return 240 }
	c.itemsLoaded(o, o.items, nil)
	s := o.waiting[len(o.waiting)-1]
	engine := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Slots: 8}, Load: new(blackboard.EngineLoad)}
	engine.Load.Tokens.Store(1000)
	c.run(t.Context(), s, c.board.Catalog.Value().RouteByName("r"), engine)
	(<-c.events)()
	load := engine.Load
	if tokens, n := load.Tokens.Load(), load.OwnReport.Requests(clock.Now()); s.newRun("h", engine).message.Tokens != 240 || tokens != 1000 || n != 7 {
		t.Errorf("%d tokens after the run, want those of other requests, 1000; %d requests by the engine's report, want 7", tokens, n)
	}
}
