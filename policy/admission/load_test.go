package admission

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// simulation is one daemon whose service has a number of places, in steps of 1 ms.
type simulation struct {
	queue   Queue[*simRequest]
	places  func(ms int) int // at a time
	run     int              // ms that a request is at an engine
	known   time.Duration    // UsualRun
	running []int            // times at which requests end
	started map[string][]int // waits of the started requests in ms, by workspace
	refused map[string]int
	latest  int // longest time from an arrival to its refusal, in ms
}

type simRequest struct {
	Arrival
}

const simTarget = 300 * time.Millisecond

func newSimulation(places, run int) *simulation {
	return &simulation{
		places: func(int) int { return places }, run: run, known: time.Duration(run) * time.Millisecond,
		started: make(map[string][]int), refused: make(map[string]int),
	}
}

// simulate runs the requests that arrivals returns for each millisecond.
func (s *simulation) simulate(ms int, arrivals func(ms int) []Arrival) {
	for now := range ms {
		ended := 0
		for ended < len(s.running) && s.running[ended] <= now {
			ended++
		}
		s.running = s.running[ended:]
		s.giveUp(now)
		s.fill(now)
		for _, a := range arrivals(now) {
			a.Now = clock.Instant(now) * clock.Instant(time.Millisecond)
			a.Until = WaitLimit(a.Now, a.Now.Add(5*time.Second), simTarget, s.known)
			s.arrive(now, &simRequest{a})
		}
	}
}

func (s *simulation) arrive(now int, r *simRequest) {
	if s.queue.Len() == 0 && len(s.running) < s.places(now) {
		s.start(now, r)
		return
	}
	capacity := Capacity{Places: s.places(now), UsualRun: s.known, Share: 1, OwnRunning: len(s.running)}
	for _, refused := range s.queue.Join(r.Arrival, capacity, r) {
		s.refuse(now, refused.Value)
	}
}

func (s *simulation) giveUp(now int) {
	for _, r := range s.queue.All() {
		if int(r.Until/clock.Instant(time.Millisecond)) <= now {
			s.queue.Left(r)
			s.refuse(now, r)
		}
	}
}

func (s *simulation) fill(now int) {
	for len(s.running) < s.places(now) {
		r, ok := s.queue.Next()
		if !ok {
			return
		}
		s.queue.Served(r)
		s.start(now, r)
	}
}

func (s *simulation) start(now int, r *simRequest) {
	s.running = append(s.running, now+s.run)
	s.started[r.Workspace] = append(s.started[r.Workspace], now-int(r.Now/clock.Instant(time.Millisecond)))
}

func (s *simulation) refuse(now int, r *simRequest) {
	s.refused[r.Workspace]++
	s.latest = max(s.latest, now-int(r.Now/clock.Instant(time.Millisecond)))
}

// every returns the arrival of the workspace if it sends at the time.
func every(ms, interval int, workspace string, priority int) []Arrival {
	if ms%interval != 0 {
		return nil
	}
	return []Arrival{{Workspace: workspace, Weight: 1, Priority: priority}}
}

// TestHotWorkspaceAmongManyIsRefusedAlone guards against a workspace whose excess delays or
// refuses the requests of others.
func TestHotWorkspaceAmongManyIsRefusedAlone(t *testing.T) {
	s := newSimulation(20, 200) // 100 places a second
	s.simulate(10_000, func(ms int) (all []Arrival) {
		if ms >= 9500 {
			return nil // all that wait have ended at the end
		}
		for i, name := range []string{"a", "b", "c", "d", "e"} {
			all = append(all, every(ms+7*i, 100, name, 0)...) // 10 a second each
		}
		return append(all, every(ms, 5, "hot", 0)...) // 200 a second
	})
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		if s.refused[name] > 0 || len(s.started[name]) != 95 {
			t.Errorf("workspace %s: %d served, %d refused; want all served", name, len(s.started[name]), s.refused[name])
		}
	}
	if got := len(s.started["hot"]); got < 430 {
		t.Errorf("the hot workspace got %d places of the 475 that others left", got)
	}
}

// TestPeakAfterValleyWaitsOnlyAsLongAsItMay guards against requests that wait beyond their
// limit, and against refusals in a short burst that the queue could take.
func TestPeakAfterValleyWaitsOnlyAsLongAsItMay(t *testing.T) {
	s := newSimulation(10, 100)
	s.simulate(3000, func(ms int) []Arrival {
		if ms == 1000 {
			return make([]Arrival, 20) // twice the places at once
		}
		return every(ms, 20, "", 0)
	})
	if s.refused[""] > 2 {
		t.Errorf("%d refused, want nearly all to wait for the next places", s.refused[""])
	}
	for _, wait := range s.started[""] {
		if wait > 150 {
			t.Errorf("one began after %d ms, half of the target is 150", wait)
		}
	}
}

// TestFleetFullForLongerThanAnyDeadlineRefusesAtOnce guards against requests that are held
// although no place becomes free in their time.
func TestFleetFullForLongerThanAnyDeadlineRefusesAtOnce(t *testing.T) {
	s := newSimulation(10, 20_000)
	s.simulate(5000, func(ms int) []Arrival { return every(ms, 10, "a", 0) })
	if s.refused["a"] != 490 || s.latest != 0 {
		t.Errorf("%d refused after up to %d ms, want 490 at once", s.refused["a"], s.latest)
	}
}

// TestRollingStopShiftsLoadWithoutLoss guards against refusals while a third of the places is
// away for short times, which the queue can bridge.
func TestRollingStopShiftsLoadWithoutLoss(t *testing.T) {
	s := newSimulation(0, 100)
	s.places = func(ms int) int {
		if ms%1000 < 60 { // an engine stops
			return 8
		}
		return 12
	}
	s.simulate(5000, func(ms int) []Arrival { return every(ms, 10, "a", 0) })
	if s.refused["a"] > 0 {
		t.Errorf("%d refused of %d", s.refused["a"], len(s.started["a"]))
	}
}

// TestStartOfAllDaemonsServesOnDefaults guards against a start at which every request is
// refused because no run was seen yet.
func TestStartOfAllDaemonsServesOnDefaults(t *testing.T) {
	s := newSimulation(10, 100)
	s.known = 0
	s.simulate(1000, func(ms int) []Arrival { return every(ms, 9, "a", 0) })
	if served := len(s.started["a"]); served < 95 {
		t.Errorf("%d served, %d refused; want nearly 100 places used", served, s.refused["a"])
	}
}

// TestUrgentRoutesComeFirstAndNoneStarves guards against less urgent routes that delay urgent
// ones, or that get no place as long as urgent ones wait.
func TestUrgentRoutesComeFirstAndNoneStarves(t *testing.T) {
	var o order[int]
	for i := range 40 {
		o.push(2, "w", 1, 200+i)
		o.push(0, "w", 1, i)
	}
	urgent := 0
	for range 18 {
		p, _ := o.next()
		o.serve(p)
		if p.class.priority == 0 {
			urgent++
		}
	}
	if urgent != 16 {
		t.Errorf("%d of 18 places went to the urgent route, want 16", urgent)
	}
}

// TestExcessOnOtherDaemonsCountsHere guards against a workspace that uses all of its rate over
// the fleet and delays others on a daemon that sees few of its requests.
func TestExcessOnOtherDaemonsCountsHere(t *testing.T) {
	var o order[string]
	for range 12 {
		o.push(0, "hot", Weight(0, true), "hot")
		o.push(0, "quiet", Weight(0, false), "quiet")
	}
	quiet := 0
	for range 9 {
		p, _ := o.next()
		if o.serve(p); p.entry.Value == "quiet" {
			quiet++
		}
	}
	if quiet != 6 {
		t.Errorf("%d of 9 places went to the quiet workspace, want 6", quiet)
	}
}
