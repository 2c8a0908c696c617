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

// TestTokensOfItemsAreCounted guards against items that engines have no memory for, because
// the tokens of an item are not counted while it runs, or are still counted afterwards.
func TestTokensOfItemsAreCounted(t *testing.T) {
	c, o := newTestController(0)
	c.engines.Client = oneResponse{body(event(1) + event(2))}
	c.engines.Tokens = func(map[string]string) int64 { return 240 }
	c.itemsLoaded(o, o.items, nil)
	s := o.waiting[len(o.waiting)-1]
	engine := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Slots: 8}, Load: new(blackboard.EngineLoad)}
	if message := s.newRun("h", engine).message; message.Tokens != 240 {
		t.Errorf("an item of %d tokens, want 240", message.Tokens)
	}
	engine.Load.Tokens.Store(1000)
	c.run(t.Context(), s, c.board.Catalog.Value().RouteByName("r"), engine)
	(<-c.events)()
	if n := engine.Load.Tokens.Load(); n != 1000 {
		t.Errorf("%d tokens after the run, want those of other requests, 1000", n)
	}
}
