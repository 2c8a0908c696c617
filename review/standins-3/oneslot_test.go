//go:build review

package cases

import (
	"fmt"
	"time"
)

const (
	oneslotJobID  = "7c41e09b52d6a3f8"
	oneslotItems  = 10  // of the job, as on the sheet
	oneslotEvents = 160 // of an item, as on the sheet
)

// oneslotPlay plays the addition of a daemon, so that a zone has more daemons than engines, which run
// one request at a time.
func oneslotPlay(s *Script) int {
	s.Store.PutConfig(1, []Object{NewService("asistente")}, []Object{NewBatchRoute("r-lote", "/pule252/", "asistente", 18000)})
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for i, zone := range zones {
		s.StartEngine(EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: zone, Slots: 1, Queue: 24, First: 50 * time.Millisecond, Interval: 20 * time.Millisecond,
		})
	}
	if !s.StartDaemons(GarrafonContracts, zones...) {
		return NotRun
	}
	target := s.Daemons[0]
	if Troubled() {
		target = s.AddDaemon(GarrafonContracts, "edge-bajio-a-2", "bajio-a")
		if !target.AwaitReady(10 * time.Second) {
			return NotRun
		}
		s.Add("%s was added", target.Name)
		time.Sleep(4 * time.Second) // the daemons know each other
	}
	all := map[string][]Item{oneslotJobID: NewItems(oneslotJobID, "/pule252/", oneslotItems, oneslotEvents)}
	if !s.Submit(target, oneslotJobID, "/pule252/", all[oneslotJobID]) {
		return NotRun
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(FinishTime)
	return s.JudgeLying(s.Daemons[1], "asistente", all, func(Item) bool { return false })
}
