// Command slowmodel plays a case: a batch route is moved to a service whose model is slower than that
// of the other service, while that one is busy.
package main

import (
	"fmt"
	"time"

	"github.com/baobablanding/baobablanding/review/standins-3/bed"
)

const (
	fastInterval = 75 * time.Millisecond  // between two events of an engine of asistente
	slowInterval = 210 * time.Millisecond // of an engine of redactor

	jobID       = "9f00000000000001"
	jobSize     = 3
	smallEvents = 60  // of an item of that job
	longJobs    = 5   // of 10 items, as on the sheet
	longEvents  = 255 // of their items: the longest on the sheet

	// afterJudge is the time after which the record shows that the job goes on.
	afterJudge = 30 * time.Second
)

func main() { bed.Play(play) }

// putConfig writes a configuration in which the route of the small job leads to the service.
func putConfig(s *bed.Script, version int, service string) {
	s.Store.PutConfig(version, []bed.Object{bed.NewService("asistente"), bed.NewService("redactor")}, []bed.Object{
		bed.NewBatchRoute("r-lote", "/sobi118/", "asistente", 18000), bed.NewBatchRoute("r-avisos", "/pule252/", service, 18000),
	})
}

func play(s *bed.Script) int {
	putConfig(s, 1, "asistente")
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for i := range 8 {
		c := bed.EngineConfig{
			ID: fmt.Sprintf("i-fast-%d", i), Service: "asistente", Zone: zones[i%len(zones)], Slots: 8, Queue: 24, First: 100 * time.Millisecond, Interval: fastInterval,
		}
		if i >= 6 {
			c.ID, c.Service, c.Interval = fmt.Sprintf("i-slow-%d", i), "redactor", slowInterval
		}
		s.StartEngine(c)
	}
	if !s.StartDaemons(bed.GarrafonContracts, zones...) {
		return bed.NotRun
	}
	service := "asistente"
	if bed.Troubled() {
		service = "redactor"
		putConfig(s, 4, service)
		s.Add("configuration 4 is acknowledged: it moves the route /pule252/ to the service redactor")
		time.Sleep(2500 * time.Millisecond) // configApplyMs and more
	}
	items := bed.NewItems(jobID, "/pule252/", jobSize, smallEvents)
	if !s.Submit(s.Daemons[0], jobID, "/pule252/", items) {
		return bed.NotRun
	}
	time.Sleep(200 * time.Millisecond)
	for i := range longJobs {
		id := fmt.Sprintf("7c%014x", i)
		if !s.Submit(s.Daemons[0], id, "/sobi118/", bed.NewItems(id, "/sobi118/", 10, longEvents)) {
			return bed.NotRun
		}
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(bed.FinishTime)
	code := s.JudgeLying(s.Daemons[1], service, map[string][]bed.Item{jobID: items}, func(bed.Item) bool { return false })
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			if bed.JobOf(r.ID) == jobID {
				s.Add("engine %s ran item %s after event %d from %s for %v: %d events, whole: %v, cut by its sender: %v",
					e.ID, r.ID, r.After, s.At(r.Start), r.End.Sub(r.Start).Round(time.Millisecond), r.Events, r.Whole, r.Cut)
			}
		}
	}
	time.Sleep(afterJudge)
	states, _ := s.Listed(s.Daemons[1], jobID)
	s.Add("for the record only: %d of %d items of job %s are listed %v later", len(states), jobSize, jobID, afterJudge)
	return code
}
