//go:build review

package cases

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

// batchRoute returns a batch route.
func batchRoute(name, prefix string) map[string]any {
	return route(name, prefix, "batch", map[string]any{
		"timeoutMs": 15000, "maxAttempts": 3, "completionTargetMs": 18000, "maxWaitS": 60, "maxCount": 980000, "resumable": true,
	})
}

const (
	// daemonCount is the number of daemons. Before the first round they are stopped and started
	// in turn, one each rollInterval.
	daemonCount  = 8
	rollInterval = 400 * time.Millisecond
	// rounds is how often the operator adds a route, roundTime the time from one to the next.
	rounds    = 18
	roundTime = 4700 * time.Millisecond
	// maxRoundDelay is the longest random delay before a round, so that rounds do not keep step
	// with what daemons do at intervals.
	maxRoundDelay = 600 * time.Millisecond
	// submitInterval and submitTime are how often and how long clients submit jobs on a route
	// that was just added.
	submitInterval = 65 * time.Millisecond
	submitTime     = time.Second
)

// newRoute adds batch routes while daemons are stopped and started in turn. In each round one
// daemon is stopped by SIGTERM, the operator adds a route, and clients begin to submit jobs on
// it at the daemon that stops. No item may be listed as dead_letter: its route is in the newest
// configuration, no engine fails, no job is ended, and maxWaitS is far away.
func newRoute(f *fleet) (bool, error) {
	routes := []map[string]any{batchRoute("jobs-0", "/jobs0/")}
	f.config = newConfig(routes...)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if err := f.begin(os.Args[2], dir, 4, daemonCount); err != nil {
		return false, err
	}
	if f.trouble {
		if err := f.roll(); err != nil {
			return false, err
		}
	}
	accepted, dead := 0, 0
	for n := 1; n <= rounds; n++ {
		time.Sleep(rand.N(maxRoundDelay))
		started := time.Now()
		d := f.daemons[n%len(f.daemons)]
		if f.trouble {
			d.terminate()
		}
		name, prefix := fmt.Sprintf("jobs-%d", n), fmt.Sprintf("/jobs%d/", n)
		routes = append(routes, batchRoute(name, prefix))
		f.change(routes...)
		jobs := f.submitJobs(d, n, prefix)
		accepted += len(jobs)
		if f.trouble {
			<-d.ended
			if err := d.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(started.Add(roundTime)))
		for _, job := range jobs { // a few seconds after they were sent, long before maxWaitS
			dead += f.countDead(f.daemons[(n+1)%len(f.daemons)], job)
		}
	}
	f.rec.say("%d jobs were accepted on new routes; %d of their items are listed as dead_letter", accepted, dead)
	if accepted == 0 {
		return false, fmt.Errorf("no job was accepted")
	}
	return dead == 0, nil
}

// submitJobs submits jobs at the daemon and returns the ids of those that it accepts. A job
// that is answered with 404 is not sent again.
func (f *fleet) submitJobs(d *daemon, round int, prefix string) (accepted []string) {
	started := time.Now()
	for n := 0; time.Since(started) < submitTime; n++ {
		job := fmt.Sprintf("job%02d%02d", round, n)
		if submit(f.rec, d, job, prefix, newItems(job, prefix, 4, 40)) == http.StatusAccepted {
			accepted = append(accepted, job)
		}
		time.Sleep(time.Until(started.Add(time.Duration(n+1) * submitInterval)))
	}
	return accepted
}

// countDead reads the job's results and returns how many items are listed as dead_letter.
func (f *fleet) countDead(d *daemon, job string) int {
	list, total, ok := results(d, job)
	dead := 0
	for _, r := range list {
		if r.State == "dead_letter" {
			dead++
		}
	}
	f.rec.log("job %s read at %s: %v, %d of %d items listed, %d as dead_letter", job, d.Name, ok, len(list), total, dead)
	if dead > 0 {
		f.rec.say("job %s: %d of %d items are listed as dead_letter", job, dead, total)
	}
	return dead
}

// roll stops and starts all daemons in turn and waits until all are ready.
func (f *fleet) roll() error {
	ends := make(chan error)
	for _, d := range f.daemons {
		d.terminate()
		go func() {
			<-d.ended
			ends <- d.start()
		}()
		time.Sleep(rollInterval)
	}
	for range f.daemons {
		if err := <-ends; err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if !d.awaitReady(readyLimit) {
			return fmt.Errorf("daemon %s does not become ready", d.Name)
		}
	}
	return nil
}
