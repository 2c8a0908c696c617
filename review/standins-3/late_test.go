//go:build review

package cases

import (
	"fmt"
	"time"
)

const (
	lateEvents  = 160 // of an item, as on the sheet
	lateJobSize = 10  // items of a job, as on the sheet
	lateJobs    = 8   // of the burst

	// lateTrafficTime is how long the clients read on after the last submission.
	lateTrafficTime = 14 * time.Second
	// lateAfterJudge is the time after which the record shows the effect of the end of the other job.
	lateAfterJudge = 20 * time.Second
)

// latePlay plays batch jobs that are past their due time, beside a job for a service that has no engine yet.
func latePlay(s *Script) int {
	services := []Object{NewService("asistente")}
	routes := []Object{NewBatchRoute("r-lote", "/pule252/", "asistente", 18000)}
	s.Store.PutConfig(1, services, routes)
	for i, zone := range []string{"bajio-a", "bajio-c"} {
		s.StartEngine(EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: zone, Slots: 8, Queue: 24, First: 100 * time.Millisecond, Interval: 30 * time.Millisecond,
		})
	}
	if !s.StartDaemons(GarrafonContracts, "bajio-a", "bajio-b", "bajio-c") {
		return NotRun
	}
	waiting := "9f00000000000001"
	if Troubled() {
		s.Store.PutConfig(4, append(services, NewService("redactor")), append(routes, NewBatchRoute("r-nuevo", "/sobi118/", "redactor", 600000)))
		s.Add("configuration 4 is acknowledged: it adds the service redactor, which has no engine yet, and a batch route to it")
		time.Sleep(2500 * time.Millisecond) // configApplyMs and more
		if !s.Submit(s.Daemons[1], waiting, "/sobi118/", NewItems(waiting, "/sobi118/", 1, lateEvents)) {
			return NotRun
		}
	}
	all := make(map[string][]Item)
	for i := range lateJobs {
		id := fmt.Sprintf("7c%014x", i)
		all[id] = NewItems(id, "/pule252/", lateJobSize, lateEvents)
		if !s.Submit(s.Daemons[2*(i%2)], id, "/pule252/", all[id]) {
			return NotRun
		}
	}
	for end := time.Now().Add(lateTrafficTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for id := range all {
			s.Listed(s.Daemons[0], id)
		}
	}
	s.Add("the clients' traffic has ended")
	time.Sleep(FinishTime)
	code := s.JudgeLying(s.Daemons[0], "asistente", all, func(Item) bool { return false })
	if Troubled() {
		answer := Call{Method: "DELETE", Front: s.Daemons[1].Front, Host: HostName, Path: "/v1/lots/" + waiting, Key: Key, Timeout: 4 * time.Second}.Do()
		s.Add("for the record only: the job of the service without engines is ended: %d", answer.Status)
		time.Sleep(lateAfterJudge)
		for id, items := range all {
			states, _ := s.Listed(s.Daemons[0], id)
			s.Add("for the record only: %d of %d items of job %s are listed %v later", len(states), len(items), id, lateAfterJudge)
		}
	}
	return code
}
