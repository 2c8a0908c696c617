// Command unseenend plays a case: a batch job is accepted by a daemon that was just started again, and
// ended at another daemon.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/review/standins-3/bed"
)

const (
	tenants  = 1400 // "1,400 workspaces ... in steady use"
	parallel = 24   // clients that submit at once

	jobID  = "7c41e09b52d6a3f8"
	items  = 10  // of the job, as on the sheet
	events = 160 // of an item, as on the sheet

	waveInterval = 1200 * time.Millisecond // between two waves of streams
	waveStreams  = 22                      // of 24 slots
	waveEvents   = 23                      // of a stream, as on the sheet

	restartDelay = time.Second            // from the kill to the next start
	endAfter     = 300 * time.Millisecond // from the acceptance to the end of the job
	contact      = 3 * time.Second        // contactMs
	cancelTime   = 3 * time.Second        // cancelMs
	watchTime    = 12 * time.Second
)

func main() { bed.Play(play) }

func play(s *bed.Script) int {
	s.Store.PutConfigOf(tenants, 1, []bed.Object{bed.NewService("asistente")}, []bed.Object{
		bed.NewBatchRoute("r-lote", "/pule252/", "asistente", 18000), bed.NewStreamRoute("r-chofer", "/lohu930/", "asistente"),
	})
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for i, zone := range zones {
		s.StartEngine(bed.EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: zone, Slots: 8, Queue: 24, First: 20 * time.Millisecond, Interval: 30 * time.Millisecond,
		})
	}
	if !s.StartDaemons(bed.GarrafonContracts, zones...) {
		return bed.NotRun
	}
	if !submitSmallJobs(s) {
		return bed.NotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	go sendWaves(s, stop)
	d := s.Daemons[0]
	started := time.Now()
	if bed.Troubled() {
		d.Kill()
		s.Add("%s was killed", d.Name)
		time.Sleep(restartDelay)
		d.Start()
		started = time.Now()
		if !d.AwaitReady(5 * time.Second) {
			return bed.NotRun
		}
		s.Add("%s was started %v ago and is ready", d.Name, time.Since(started).Round(time.Millisecond))
	}
	if !s.Submit(d, jobID, "/pule252/", bed.NewItems(jobID, "/pule252/", items, events)) {
		return bed.NotRun
	}
	time.Sleep(endAfter)
	answer := bed.Call{Method: "DELETE", Front: s.Daemons[1].Front, Host: bed.HostName, Path: "/v1/lots/" + jobID, Key: bed.Key, Timeout: 4 * time.Second}.Do()
	ended := time.Now()
	s.Add("the end of job %s is asked at %s: %d", jobID, s.Daemons[1].Name, answer.Status)
	if answer.Status != 200 {
		return bed.NotRun
	}
	time.Sleep(watchTime)
	return judge(s, started, ended)
}

// submitSmallJobs submits a job with one short item for each tenant and waits until engines have run
// all of them.
func submitSmallJobs(s *bed.Script) bool {
	var next, refused atomic.Int64
	var all sync.WaitGroup
	for range parallel {
		all.Go(func() {
			for n := int(next.Add(1)); n < tenants; n = int(next.Add(1)) {
				id := fmt.Sprintf("5a%014x", n)
				for try := 0; bed.SubmitAs(bed.TenantKey(n), s.Daemons[n%len(s.Daemons)], id, "/pule252/", bed.NewItems(id, "/pule252/", 1, 2)).Status != 202; try++ {
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
	s.Add("a small job of each of %d tenants was submitted; %d were refused", tenants, refused.Load())
	for range 300 {
		whole := 0
		for _, e := range s.Engines {
			for _, r := range e.Runs() {
				if r.Whole {
					whole++
				}
			}
		}
		if whole >= tenants-1-int(refused.Load()) {
			s.Add("engines have run %d small items", whole)
			time.Sleep(2 * time.Second)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.Add("the small items were not run in time")
	return false
}

// sendWaves sends streams to the other daemons until stop is closed.
func sendWaves(s *bed.Script, stop chan struct{}) {
	for n := 0; ; n++ {
		for i := range waveStreams {
			id := fmt.Sprintf("9c%010x%04x", n, i)
			go bed.Call{
				Method: "POST", Front: s.Daemons[1+i%2].Front, Host: bed.HostName, Path: "/lohu930/2f", Key: bed.TenantKey(1 + i), ID: id, Timeout: 5 * time.Second,
				Header: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("450,%d", waveEvents), "Prompt-Prefix": "a0:200," + id + ":250", "Deadline-Ms": "5000"},
				Body:   []byte("question " + id),
			}.Do()
		}
		select {
		case <-time.After(waveInterval):
		case <-stop:
			return
		}
	}
}

// judge checks the rule: no item reaches an engine later than cancelMs after the acknowledgement of
// the end, from a machine that has run for contactMs.
func judge(s *bed.Script, started, ended time.Time) int {
	late, before := 0, 0
	var first, last time.Time
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			if bed.JobOf(r.ID) != jobID {
				continue
			}
			if r.Reached.Sub(ended) <= cancelTime || r.Reached.Sub(started) <= contact {
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
		return bed.Broken
	}
	s.Add("held")
	return bed.Held
}
