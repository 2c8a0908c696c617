// Command oversize plays a case: a batch job with one item that is larger than an engine's memory.
package main

import (
	"fmt"
	"time"

	"github.com/baobablanding/baobablanding/review/standins-3/bed"
)

const (
	jobID    = "7c41e09b52d6a3f8"
	jobSize  = 10    // items, as on the sheet
	events   = 145   // of an item, as on the sheet
	tooLarge = 80000 // tokens of the prompt of the large item
)

func main() { bed.Play(play) }

func play(s *bed.Script) int {
	s.Store.PutConfig(1, []bed.Object{bed.NewService("redactor")}, []bed.Object{bed.NewBatchRoute("r-briefing", "/pule252/", "redactor", 18000)})
	zones := []string{"stgo-a", "stgo-b", "rancagua"}
	for i, zone := range zones {
		s.StartEngine(bed.EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "redactor", Zone: zone, Slots: 8, Queue: 24, Memory: bed.MemoryTokens,
			First: 100 * time.Millisecond, Interval: 30 * time.Millisecond,
		})
	}
	if !s.StartDaemons(bed.SnadContracts, zones...) {
		return bed.NotRun
	}
	items := bed.NewItems(jobID, "/pule252/", jobSize, events)
	if bed.Troubled() {
		items[0].Headers["Token-Count"] = fmt.Sprintf("%d,%d", tooLarge, events)
		items[0].Headers["Prompt-Prefix"] = fmt.Sprintf("a0:100,%s:%d", items[0].ID, tooLarge-100)
		items[0].Tokens = tooLarge + events
	}
	if !s.Submit(s.Daemons[0], jobID, "/pule252/", items) {
		return bed.NotRun
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(bed.FinishTime)
	return s.JudgeLying(s.Daemons[1], "redactor", map[string][]bed.Item{jobID: items}, func(item bed.Item) bool {
		return item.Tokens > bed.MemoryTokens // no engine can do it
	})
}
