// Command late plays a case: batch jobs that are past their due time, beside a job for a service that
// has no engine yet.
package main

import (
	"fmt"
	"time"

	"github.com/baobablanding/baobablanding/review/standins-3/bed"
)

const (
	events  = 160 // of an item, as on the sheet
	jobSize = 10  // items of a job, as on the sheet
	jobs    = 8   // of the burst

	// trafficTime is how long the clients read on after the last submission.
	trafficTime = 14 * time.Second
	// afterJudge is the time after which the record shows the effect of the end of the other job.
	afterJudge = 20 * time.Second
)

func main() { bed.Play(play) }

func play(s *bed.Script) int {
	services := []bed.Object{bed.NewService("asistente")}
	routes := []bed.Object{bed.NewBatchRoute("r-lote", "/pule252/", "asistente", 18000)}
	s.Store.PutConfig(1, services, routes)
	for i, zone := range []string{"bajio-a", "bajio-c"} {
		s.StartEngine(bed.EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: zone, Slots: 8, Queue: 24, First: 100 * time.Millisecond, Interval: 30 * time.Millisecond,
		})
	}
	if !s.StartDaemons(bed.GarrafonContracts, "bajio-a", "bajio-b", "bajio-c") {
		return bed.NotRun
	}
	waiting := "9f00000000000001"
	if bed.Troubled() {
		s.Store.PutConfig(4, append(services, bed.NewService("redactor")), append(routes, bed.NewBatchRoute("r-nuevo", "/sobi118/", "redactor", 600000)))
		s.Add("configuration 4 is acknowledged: it adds the service redactor, which has no engine yet, and a batch route to it")
		time.Sleep(2500 * time.Millisecond) // configApplyMs and more
		if !s.Submit(s.Daemons[1], waiting, "/sobi118/", bed.NewItems(waiting, "/sobi118/", 1, events)) {
			return bed.NotRun
		}
	}
	all := make(map[string][]bed.Item)
	for i := range jobs {
		id := fmt.Sprintf("7c%014x", i)
		all[id] = bed.NewItems(id, "/pule252/", jobSize, events)
		if !s.Submit(s.Daemons[2*(i%2)], id, "/pule252/", all[id]) {
			return bed.NotRun
		}
	}
	for end := time.Now().Add(trafficTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for id := range all {
			s.Listed(s.Daemons[0], id)
		}
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(bed.FinishTime)
	code := s.JudgeLying(s.Daemons[0], "asistente", all, func(bed.Item) bool { return false })
	if bed.Troubled() {
		answer := bed.Call{Method: "DELETE", Front: s.Daemons[1].Front, Host: bed.HostName, Path: "/v1/lots/" + waiting, Key: bed.Key, Timeout: 4 * time.Second}.Do()
		s.Add("for the record only: the job of the service without engines is ended: %d", answer.Status)
		time.Sleep(afterJudge)
		for id, items := range all {
			states, _ := s.Listed(s.Daemons[0], id)
			s.Add("for the record only: %d of %d items of job %s are listed %v later", len(states), len(items), id, afterJudge)
		}
	}
	return code
}
