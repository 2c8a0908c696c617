package jobs

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
)

// TestReserveFollowsARiseOfOnlineLoad guards against items that stay until engines are full
// while online load rises, and against a reserve in deployments that did not ask for one.
func TestReserveFollowsARiseOfOnlineLoad(t *testing.T) {
	for _, used := range []bool{false, true} {
		board := blackboard.NewEntryBoard()
		board.AdmissionQueue.Store(used)
		e := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Service: "s", Slots: 100}, Load: new(blackboard.EngineLoad)}
		board.Engines.Publish(blackboard.NewEngines([]*blackboard.Engine{e}))
		c := Controller{board: board}
		c.followOnlineLoad()
		e.Load.Online.Store(80)
		time.Sleep(40 * time.Millisecond)
		c.followOnlineLoad()
		if reserve := c.trends["s"].reserve; used != (reserve > 0) {
			t.Errorf("reserve %v while the queue is in use: %t", reserve, used)
		}
	}
}
