package loads

import (
	"strings"
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/peer"
)

// TestRolloutsAreReportedDuringAnOrderOnly guards against reports with more bytes where no
// order is carried out, and against counts that are lost between two daemons.
func TestRolloutsAreReportedDuringAnOrderOnly(t *testing.T) {
	board := blackboard.NewEntryBoard()
	board.Engines.Publish(blackboard.NewEngines([]*blackboard.Engine{
		{Engine: &catalog.Engine{ID: "new", Service: "svc", Version: "v2"}, Load: new(blackboard.EngineLoad)},
	}))
	c := &Controller{board: board}
	report := func() string {
		data, err := peer.EncodeLoadReport(peer.LoadReport{From: "a", Rollouts: encodeRollouts(c.ownRollouts())})
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	versions := &blackboard.ServiceVersions{InUse: "v1", To: "v2"}
	for name, rollouts := range map[string]*blackboard.Rollouts{
		"without the contract": nil,
		"without an order":     {ByService: map[string]*blackboard.ServiceVersions{"svc": versions}},
	} {
		board.Rollouts.Publish(rollouts)
		if got := report(); strings.Contains(got, "rollouts") {
			t.Errorf("%s: %s", name, got)
		}
	}
	counts := new(blackboard.RolloutCounts)
	route, engine := new(blackboard.RouteCounts), new(blackboard.AnswerCounts)
	counts.Routes.Store(&map[string]*blackboard.RouteCounts{"a": route})
	counts.Engines.Store(&map[string]*blackboard.AnswerCounts{"new": engine})
	for _, a := range []*blackboard.AnswerCounts{&route.Versions[blackboard.NewVersion], engine} {
		a.Answered.Store(5)
		a.Bad.Store(2)
	}
	ordered := *versions
	ordered.Order, ordered.Counts = 9, counts
	board.Rollouts.Publish(&blackboard.Rollouts{ByService: map[string]*blackboard.ServiceVersions{"svc": &ordered}})
	received, err := peer.DecodeLoadReport([]byte(report()))
	if err != nil {
		t.Fatal(err)
	}
	totals := make(map[string]*blackboard.RolloutTotals)
	addRollouts(totals, received.Rollouts)
	addRollouts(totals, received.Rollouts)
	got := totals["svc"]
	if got == nil || got.Order != 9 || got.Daemons != 2 || got.DaemonsWithBad != 2 || got.Engines["new"][2] != 4 || got.Routes["a"][blackboard.NewVersion][1] != 10 {
		t.Errorf("totals of two daemons: %+v", got)
	}
	older := map[string]peer.RolloutCounts{"svc": {Order: 8, Daemons: 1}}
	if addRollouts(totals, older); totals["svc"].Daemons != 2 {
		t.Error("counts of an earlier order were added")
	}
}
