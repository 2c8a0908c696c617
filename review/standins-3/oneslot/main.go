// Command oneslot plays a case: a daemon is added, so that a zone has more daemons than engines, whose
// engines run one request at a time.
package main

import (
	"fmt"
	"time"

	"github.com/baobablanding/baobablanding/review/standins-3/bed"
)

const (
	jobID  = "7c41e09b52d6a3f8"
	items  = 10  // of the job, as on the sheet
	events = 160 // of an item, as on the sheet
)

func main() { bed.Play(play) }

func play(s *bed.Script) int {
	s.Store.PutConfig(1, []bed.Object{bed.NewService("asistente")}, []bed.Object{bed.NewBatchRoute("r-lote", "/pule252/", "asistente", 18000)})
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for i, zone := range zones {
		s.StartEngine(bed.EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: zone, Slots: 1, Queue: 24, First: 50 * time.Millisecond, Interval: 20 * time.Millisecond,
		})
	}
	if !s.StartDaemons(bed.GarrafonContracts, zones...) {
		return bed.NotRun
	}
	target := s.Daemons[0]
	if bed.Troubled() {
		target = s.AddDaemon(bed.GarrafonContracts, "edge-bajio-a-2", "bajio-a")
		if !target.AwaitReady(10 * time.Second) {
			return bed.NotRun
		}
		s.Add("%s was added", target.Name)
		time.Sleep(4 * time.Second) // the daemons know each other
	}
	all := map[string][]bed.Item{jobID: bed.NewItems(jobID, "/pule252/", items, events)}
	if !s.Submit(target, jobID, "/pule252/", all[jobID]) {
		return bed.NotRun
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(bed.FinishTime)
	return s.JudgeLying(s.Daemons[1], "asistente", all, func(bed.Item) bool { return false })
}
