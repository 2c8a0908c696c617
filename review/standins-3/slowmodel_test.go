//go:build review

package cases

import (
	"fmt"
	"time"
)

const (
	slowmodelFastInterval = 75 * time.Millisecond  // between two events of an engine of asistente
	slowmodelSlowInterval = 210 * time.Millisecond // of an engine of redactor

	slowmodelJobID       = "9f00000000000001"
	slowmodelJobSize     = 3
	slowmodelSmallEvents = 60  // of an item of that job
	slowmodelLongJobs    = 5   // of 10 items, as on the sheet
	slowmodelLongEvents  = 255 // of their items: the longest on the sheet

	// slowmodelAfterJudge is the time after which the record shows that the job goes on.
	slowmodelAfterJudge = 30 * time.Second
)

// slowmodelPutConfig writes a configuration in which the route of the small job leads to the service.
func slowmodelPutConfig(s *Script, version int, service string) {
	s.Store.PutConfig(version, []Object{NewService("asistente"), NewService("redactor")}, []Object{
		NewBatchRoute("r-lote", "/sobi118/", "asistente", 18000), NewBatchRoute("r-avisos", "/pule252/", service, 18000),
	})
}

// slowmodelPlay plays the move of a batch route to a service whose model is slower than that of the other
// service, while that one is busy.
func slowmodelPlay(s *Script) int {
	slowmodelPutConfig(s, 1, "asistente")
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for i := range 8 {
		c := EngineConfig{
			ID: fmt.Sprintf("i-fast-%d", i), Service: "asistente", Zone: zones[i%len(zones)], Slots: 8, Queue: 24, First: 100 * time.Millisecond, Interval: slowmodelFastInterval,
		}
		if i >= 6 {
			c.ID, c.Service, c.Interval = fmt.Sprintf("i-slow-%d", i), "redactor", slowmodelSlowInterval
		}
		s.StartEngine(c)
	}
	if !s.StartDaemons(GarrafonContracts, zones...) {
		return NotRun
	}
	service := "asistente"
	if Troubled() {
		service = "redactor"
		slowmodelPutConfig(s, 4, service)
		s.Add("configuration 4 is acknowledged: it moves the route /pule252/ to the service redactor")
		time.Sleep(2500 * time.Millisecond) // configApplyMs and more
	}
	items := NewItems(slowmodelJobID, "/pule252/", slowmodelJobSize, slowmodelSmallEvents)
	if !s.Submit(s.Daemons[0], slowmodelJobID, "/pule252/", items) {
		return NotRun
	}
	time.Sleep(200 * time.Millisecond)
	for i := range slowmodelLongJobs {
		id := fmt.Sprintf("7c%014x", i)
		if !s.Submit(s.Daemons[0], id, "/sobi118/", NewItems(id, "/sobi118/", 10, slowmodelLongEvents)) {
			return NotRun
		}
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(FinishTime)
	code := s.JudgeLying(s.Daemons[1], service, map[string][]Item{slowmodelJobID: items}, func(Item) bool { return false })
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			if JobOf(r.ID) == slowmodelJobID {
				s.Add("engine %s ran item %s after event %d from %s for %v: %d events, whole: %v, cut by its sender: %v",
					e.ID, r.ID, r.After, s.At(r.Start), r.End.Sub(r.Start).Round(time.Millisecond), r.Events, r.Whole, r.Cut)
			}
		}
	}
	time.Sleep(slowmodelAfterJudge)
	states, _ := s.Listed(s.Daemons[1], slowmodelJobID)
	s.Add("for the record only: %d of %d items of job %s are listed %v later", len(states), slowmodelJobSize, slowmodelJobID, slowmodelAfterJudge)
	return code
}
