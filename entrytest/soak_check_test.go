package entrytest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// quietTime is the time without faults after which their effects count as over.
const quietTime = 4 * time.Second

// plannedSilence is how long the engines send nothing, twice, during checkPlannedWork, and
// resumableAttempts the number of attempts that route resume allows.
const (
	plannedSilence    = 1100 * time.Millisecond
	resumableAttempts = 3
)

// checkPlannedWork shuts one daemon down gracefully while callers send, and drains one
// engine. Meanwhile the configuration changes and the engines, which are sound, are silent
// now and then. No fault is injected, so the daemon must cut no request that reached an
// engine, and the engine must receive none later than drainTime after it began to drain.
func (s *soak) checkPlannedWork(c *callers) {
	time.Sleep(quietTime)
	leaving := s.engines[0]
	s.fleet.register(leaving, "draining", 0)
	drained := time.Now()
	d := s.daemons[0]
	s.logf("planned stop of %s, %s drains, engines are silent, the configuration changes", d.name, leaving.id)
	begin := time.Now()
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		s.changeConfigAndSilence()
	}()
	d.stop()
	<-changed
	end := time.Now()
	d.process.start()
	time.Sleep(time.Second)
	s.mu.Lock()
	reached := make(map[string]int)
	for _, a := range s.arrivals {
		reached[a.id]++
		if a.engine == leaving.id && a.at.After(drained.Add(drainTime)) {
			defer s.fail("%s reached %s %v after the engine began to drain", a.id, leaving.id, a.at.Sub(drained))
		}
	}
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.requests {
		if a.sent.After(begin) && a.ended.Before(end) && a.wasCut(reached[a.id]) {
			s.fail("%s was cut at %s beside planned work: status %d after %v, %q", a.id, a.daemon.name, a.status, a.ended.Sub(a.sent), a.body)
		}
	}
}

// changeConfigAndSilence publishes configurations and lets the engines be silent twice.
func (s *soak) changeConfigAndSilence() {
	for range 2 {
		s.silentUntil.Store(time.Now().Add(plannedSilence).UnixNano())
		for range 4 {
			s.mu.Lock()
			s.fleet.publish()
			s.mu.Unlock()
			time.Sleep(plannedSilence / 2)
		}
	}
}

// wasCut reports whether the request, which reached engines as often as given, ended without
// a whole answer though another attempt was allowed.
func (a *callerRequest) wasCut(reached int) bool {
	switch a.kind {
	case "repeat":
		return reached > 0 && a.status == 0
	case "resume":
		return reached > 0 && reached < resumableAttempts && (a.status == 0 || a.status == http.StatusOK && !a.complete)
	default:
		return false
	}
}

// checkJobs waits until the accepted jobs are complete and checks their results. A job
// whose cancellation was sent need not become complete.
func (s *soak) checkJobs(c *callers) {
	for _, j := range c.jobs {
		if !j.accepted {
			continue
		}
		if j.cancelSent {
			s.checkResults(j)
			continue
		}
		for deadline := time.Now().Add(recoveryTime); len(j.results) < j.items && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			c.readJob(j, s.daemons[0])
		}
		if len(j.results) != j.items {
			s.fail("accepted job %s has %d of %d results", j.id, len(j.results), j.items)
		}
		s.checkResults(j)
	}
}

// checkResults checks that the results of the job are those of its own items, each
// completed once with the full output.
func (s *soak) checkResults(j *soakJob) {
	seen := make(map[string]bool)
	for _, line := range j.results {
		id, rest, _ := strings.Cut(line, " ")
		state, output, _ := strings.Cut(rest, " ")
		if seen[id] || !strings.HasPrefix(id, j.id+"-") {
			s.fail("job %s has a second result of item %s, or one of another job", j.id, id)
		}
		seen[id] = true
		var want []string
		for n := 1; n <= soakEventCount; n++ {
			want = append(want, fmt.Sprintf("%s part %d", id, n))
		}
		if state != "completed" || output != strings.Join(want, "\n") {
			s.fail("result of item %s is %s %q, want completed with all events", id, state, output)
		}
	}
}

// check compares the responses that callers got with the requests that engines received.
func (s *soak) check(c *callers) {
	s.mu.Lock()
	arrivals, keyWithdrawnAt := slices.Clone(s.arrivals), s.keyWithdrawnAt
	s.mu.Unlock()
	byID := make(map[string][]arrival)
	for _, a := range arrivals {
		byID[a.id] = append(byID[a.id], a)
	}
	for _, a := range c.requests {
		s.checkRequest(a, byID[a.id], keyWithdrawnAt)
	}
	for _, j := range c.jobs {
		for i := range j.items {
			s.checkItem(j, byID[fmt.Sprintf("%s-%d", j.id, i)])
		}
	}
	s.checkRate(arrivals)
}

// checkRequest checks one online request against its arrivals at engines: at most one on
// route once, none if the response says that the request was not run, and none revokeTime
// after its key was withdrawn.
func (s *soak) checkRequest(a callerRequest, runs []arrival, withdrawn time.Time) {
	if a.kind == "once" && len(runs) > 1 {
		s.fail("%s ran %d times, want at most once", a.id, len(runs))
	}
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			s.fail("%s was rejected with %d but ran on %s", a.id, a.status, runs[0].engine)
		}
	case http.StatusNotFound, http.StatusForbidden:
		s.fail("%s was rejected with %d, although its route and key exist", a.id, a.status)
	case http.StatusUnauthorized:
		if a.key == key || withdrawn.IsZero() || a.ended.Before(withdrawn) {
			s.fail("%s was rejected with %d although its key is valid", a.id, a.status)
		}
	case http.StatusOK:
		s.checkAnswer(a, runs)
	}
	if a.key != key && !withdrawn.IsZero() && a.sent.After(withdrawn.Add(revokeTime)) && len(runs) > 0 {
		s.fail("%s ran %v after its key was withdrawn", a.id, a.sent.Sub(withdrawn))
	}
}

// checkAnswer checks that a complete response of status 200 is that of the request.
func (s *soak) checkAnswer(a callerRequest, runs []arrival) {
	if !a.complete {
		return
	}
	want := soakStream(a.id, 1)
	if a.kind == "repeat" {
		want = "answer to " + a.id
	}
	if a.body != want || len(runs) == 0 {
		s.fail("%s got the wrong response after %d arrivals at engines: %q", a.id, len(runs), a.body)
	}
}

// checkItem checks that no item of a rejected job ran, and none later than cancelTime
// after its job was cancelled. The second check ignores arrivals before quietSince.
func (s *soak) checkItem(j *soakJob, runs []arrival) {
	if j.rejected && len(runs) > 0 {
		s.fail("an item of job %s ran although the job was rejected", j.id)
	}
	for _, r := range runs {
		if !j.cancelledAt.IsZero() && r.at.After(j.cancelledAt.Add(cancelTime)) && r.at.After(s.quietSince()) {
			s.fail("item %s ran %v after its job was cancelled", r.id, r.at.Sub(j.cancelledAt))
		}
	}
}

// quietSince returns the time from which the effects of all faults count as over:
// quietTime after the last line "ends:" of the log, or the start of the soak if there is
// none.
func (s *soak) quietSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.log) - 1; i >= 0; i-- {
		var at float64
		if _, err := fmt.Sscanf(s.log[i], "%f ends:", &at); err == nil && strings.Contains(s.log[i], "ends:") {
			return s.began.Add(time.Duration(at*float64(time.Second)) + quietTime)
		}
	}
	return s.began
}

// checkRate checks that in each window of rateWindow no more online requests ran than the
// rate, the burst, 10 percent and 20 requests allow.
func (s *soak) checkRate(arrivals []arrival) {
	var times []time.Time
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if !a.item && !seen[a.id] {
			seen[a.id] = true
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := int((soakRate*rateWindow.Seconds()+soakRate)*1.1 + 20)
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > rateWindow {
			first++
		}
		if last-first+1 > allowed {
			s.fail("%d requests ran within %v, want at most %d", last-first+1, rateWindow, allowed)
			return
		}
	}
}

// summary returns the numbers of requests by status and of accepted jobs.
func (c *callers) summary() string {
	counts := make(map[int]int)
	for _, a := range c.requests {
		counts[a.status]++
	}
	accepted := 0
	for _, j := range c.jobs {
		if j.accepted {
			accepted++
		}
	}
	return fmt.Sprintf("%d requests by status %v, %d of %d jobs accepted", len(c.requests), counts, accepted, len(c.jobs))
}
