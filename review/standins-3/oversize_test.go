//go:build review

package cases

import (
	"fmt"
	"time"
)

const (
	oversizeJobID    = "7c41e09b52d6a3f8"
	oversizeJobSize  = 10    // items, as on the sheet
	oversizeEvents   = 145   // of an item, as on the sheet
	oversizeTooLarge = 80000 // tokens of the prompt of the large item
)

// oversizePlay plays a batch job with one item that is larger than an engine's memory.
func oversizePlay(s *Script) int {
	s.Store.PutConfig(1, []Object{NewService("redactor")}, []Object{NewBatchRoute("r-briefing", "/pule252/", "redactor", 18000)})
	zones := []string{"stgo-a", "stgo-b", "rancagua"}
	for i, zone := range zones {
		s.StartEngine(EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "redactor", Zone: zone, Slots: 8, Queue: 24, Memory: MemoryTokens,
			First: 100 * time.Millisecond, Interval: 30 * time.Millisecond,
		})
	}
	if !s.StartDaemons(SnadContracts, zones...) {
		return NotRun
	}
	items := NewItems(oversizeJobID, "/pule252/", oversizeJobSize, oversizeEvents)
	if Troubled() {
		items[0].Headers["Token-Count"] = fmt.Sprintf("%d,%d", oversizeTooLarge, oversizeEvents)
		items[0].Headers["Prompt-Prefix"] = fmt.Sprintf("a0:100,%s:%d", items[0].ID, oversizeTooLarge-100)
		items[0].Tokens = oversizeTooLarge + oversizeEvents
	}
	if !s.Submit(s.Daemons[0], oversizeJobID, "/pule252/", items) {
		return NotRun
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(FinishTime)
	return s.JudgeLying(s.Daemons[1], "redactor", map[string][]Item{oversizeJobID: items}, func(item Item) bool {
		return item.Tokens > MemoryTokens // no engine can do it
	})
}
