//go:build review

package cases

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	unseenendTenants  = 1400 // "1,400 workspaces ... in steady use"
	unseenendParallel = 24   // clients that submit at once

	unseenendJobID  = "7c41e09b52d6a3f8"
	unseenendItems  = 10  // of the job, as on the sheet
	unseenendEvents = 160 // of an item, as on the sheet

	unseenendWaveInterval = 1200 * time.Millisecond // between two waves of streams
	unseenendWaveStreams  = 22                      // of 24 slots
	unseenendWaveEvents   = 23                      // of a stream, as on the sheet

	unseenendRestartDelay = time.Second            // from the kill to the next start
	unseenendEndAfter     = 300 * time.Millisecond // from the acceptance to the end of the job
	unseenendContact      = 3 * time.Second        // contactMs
	unseenendCancelTime   = 3 * time.Second        // cancelMs
	unseenendWatchTime    = 12 * time.Second
)

// unseenendPlay plays a batch job that a daemon accepts just after its start, and that is ended at
// another daemon.
func unseenendPlay(s *Script) int {
	s.Store.PutConfigOf(unseenendTenants, 1, []Object{NewService("asistente")}, []Object{
		NewBatchRoute("r-lote", "/pule252/", "asistente", 18000), NewStreamRoute("r-chofer", "/lohu930/", "asistente"),
	})
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for i, zone := range zones {
		s.StartEngine(EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: zone, Slots: 8, Queue: 24, First: 20 * time.Millisecond, Interval: 30 * time.Millisecond,
		})
	}
	if !s.StartDaemons(GarrafonContracts, zones...) {
		return NotRun
	}
	if !unseenendSubmitSmallJobs(s) {
		return NotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	go unseenendSendWaves(s, stop)
	d := s.Daemons[0]
	started := time.Now()
	if Troubled() {
		d.Kill()
		s.Add("%s was killed", d.Name)
		time.Sleep(unseenendRestartDelay)
		d.Start()
		started = time.Now()
		if !d.AwaitReady(5 * time.Second) {
			return NotRun
		}
		s.Add("%s was started %v ago and is ready", d.Name, time.Since(started).Round(time.Millisecond))
	}
	if !s.Submit(d, unseenendJobID, "/pule252/", NewItems(unseenendJobID, "/pule252/", unseenendItems, unseenendEvents)) {
		return NotRun
	}
	time.Sleep(unseenendEndAfter)
	answer := Call{Method: "DELETE", Front: s.Daemons[1].Front, Host: HostName, Path: "/v1/lots/" + unseenendJobID, Key: Key, Timeout: 4 * time.Second}.Do()
	ended := time.Now()
	s.Add("the end of job %s is asked at %s: %d", unseenendJobID, s.Daemons[1].Name, answer.Status)
	if answer.Status != 200 {
		return NotRun
	}
	time.Sleep(unseenendWatchTime)
	return unseenendJudge(s, started, ended)
}

// unseenendSubmitSmallJobs submits a job with one short item for each tenant and waits until engines have run
// all of them.
func unseenendSubmitSmallJobs(s *Script) bool {
	var next, refused atomic.Int64
	var all sync.WaitGroup
	for range unseenendParallel {
		all.Go(func() {
			for n := int(next.Add(1)); n < unseenendTenants; n = int(next.Add(1)) {
				id := fmt.Sprintf("5a%014x", n)
				for try := 0; SubmitAs(TenantKey(n), s.Daemons[n%len(s.Daemons)], id, "/pule252/", NewItems(id, "/pule252/", 1, 2)).Status != 202; try++ {
					if try == 5 {
						refused.Add(1)
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	s.Add("a small job of each of %d tenants was submitted; %d were refused", unseenendTenants, refused.Load())
	for range 300 {
		whole := 0
		for _, e := range s.Engines {
			for _, r := range e.Runs() {
				if r.Whole {
					whole++
				}
			}
		}
		if whole >= unseenendTenants-1-int(refused.Load()) {
			s.Add("engines have run %d small items", whole)
			time.Sleep(2 * time.Second)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.Add("the small items were not run in time")
	return false
}

// unseenendSendWaves sends streams to the other daemons until stop is closed.
func unseenendSendWaves(s *Script, stop chan struct{}) {
	for n := 0; ; n++ {
		for i := range unseenendWaveStreams {
			id := fmt.Sprintf("9c%010x%04x", n, i)
			go Call{
				Method: "POST", Front: s.Daemons[1+i%2].Front, Host: HostName, Path: "/lohu930/2f", Key: TenantKey(1 + i), ID: id, Timeout: 5 * time.Second,
				Header: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("450,%d", unseenendWaveEvents), "Prompt-Prefix": "a0:200," + id + ":250", "Deadline-Ms": "5000"},
				Body:   []byte("question " + id),
			}.Do()
		}
		select {
		case <-time.After(unseenendWaveInterval):
		case <-stop:
			return
		}
	}
}

// unseenendJudge checks the rule: no item reaches an engine later than cancelMs after the acknowledgement of
// the end, from a machine that has run for contactMs.
func unseenendJudge(s *Script, started, ended time.Time) int {
	late, before := 0, 0
	var first, last time.Time
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			if JobOf(r.ID) != unseenendJobID {
				continue
			}
			if r.Reached.Sub(ended) <= unseenendCancelTime || r.Reached.Sub(started) <= unseenendContact {
				before++
				continue
			}
			if late == 0 || r.Reached.Before(first) {
				first = r.Reached
			}
			if r.Reached.After(last) {
				last = r.Reached
			}
			late++
			s.Add("item %s reached engine %s at %s, %v after the end was acknowledged, and ran", r.ID, e.ID, s.At(r.Reached), r.Reached.Sub(ended).Round(time.Millisecond))
		}
	}
	s.Add("engines ran items of the job %d times up to then", before)
	if late > 0 {
		s.Add("UNASKED: %d times an item reached an engine later than cancelMs after the acknowledgement, from %s to %s, at a machine that had run for more than contactMs", late, s.At(first), s.At(last))
		return Broken
	}
	s.Add("held")
	return Held
}
