package admission

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// simulation is one daemon whose service has a number of places, in steps of 1 ms.
type simulation struct {
	places           func(ms int) int // at a time
	run              int              // ms that a request is at an engine
	known            time.Duration    // UsualRun
	started, refused map[string]int   // by workspace
	longest, latest  time.Duration    // until a request began, and until one was refused
}

// simulate runs the requests that arrivals returns for each millisecond.
func (s *simulation) simulate(duration int, arrivals func(ms int) []Arrival) {
	s.started, s.refused = make(map[string]int), make(map[string]int)
	var queue Queue[*Arrival]
	var running []int // times at which requests end
	for ms := range duration {
		now := clock.Instant(ms) * clock.Instant(time.Millisecond)
		start := func(a *Arrival) {
			running = append(running, ms+s.run)
			s.started[a.Workspace]++
			s.longest = max(s.longest, now.Sub(a.Now))
		}
		refuse := func(a *Arrival) {
			s.refused[a.Workspace]++
			s.latest = max(s.latest, now.Sub(a.Now))
		}
		for len(running) > 0 && running[0] <= ms {
			running = running[1:]
		}
		for _, a := range queue.All() {
			if a.Until <= now {
				queue.Left(a)
				refuse(a)
			}
		}
		for len(running) < s.places(ms) && queue.Len() > 0 {
			a, _ := queue.Next()
			queue.Served(a)
			start(a)
		}
		for _, a := range arrivals(ms) {
			a.Now, a.Until = now, WaitLimit(now, now.Add(5*time.Second), 300*time.Millisecond, s.known)
			if queue.Len() == 0 && len(running) < s.places(ms) {
				start(&a)
				continue
			}
			for _, r := range queue.Join(a, Capacity{Places: s.places(ms), UsualRun: s.known, Share: 1, OwnRunning: len(running)}, &a) {
				refuse(r.Value)
			}
		}
	}
}

// every returns an arrival of the workspace if it sends at the time.
func every(ms, interval int, workspace string) []Arrival {
	if ms%interval != 0 {
		return nil
	}
	return []Arrival{{Workspace: workspace, Weight: 1}}
}

// TestHotWorkspaceAmongManyIsRefusedAlone guards against a workspace whose excess delays or
// refuses the requests of others.
func TestHotWorkspaceAmongManyIsRefusedAlone(t *testing.T) {
	s := simulation{places: func(int) int { return 20 }, run: 200, known: 200 * time.Millisecond} // 100 places a second
	others := []string{"a", "b", "c", "d", "e"}
	s.simulate(10_000, func(ms int) (all []Arrival) {
		if ms >= 9500 {
			return nil // all that wait have ended at the end
		}
		for i, name := range others {
			all = append(all, every(ms+7*i, 100, name)...) // 10 a second each
		}
		return append(all, every(ms, 5, "hot")...) // 200 a second
	})
	for _, name := range others {
		if s.refused[name] > 0 || s.started[name] != 95 {
			t.Errorf("workspace %s: %d served, %d refused; want all served", name, s.started[name], s.refused[name])
		}
	}
	if got := s.started["hot"]; got < 430 {
		t.Errorf("the hot workspace got %d places of the 475 that others left", got)
	}
}

// TestLoads guards, load by load, against refusals of requests that could begin in time, and
// against requests that are held although they can't.
func TestLoads(t *testing.T) {
	const unbounded = 1 << 30
	constant := func(places int) func(int) int { return func(int) int { return places } }
	steady := func(interval int) func(int) []Arrival {
		return func(ms int) []Arrival { return every(ms, interval, "") }
	}
	for name, c := range map[string]struct {
		simulation
		arrivals               func(ms int) []Arrival
		minRefused, maxRefused int
		heldAtMost             time.Duration
	}{
		"a peak after a valley": {simulation{places: constant(10), run: 100, known: 100 * time.Millisecond}, func(ms int) []Arrival {
			if ms == 1000 {
				return make([]Arrival, 20) // twice the places at once
			}
			return every(ms, 20, "")
		}, 0, 2, 150 * time.Millisecond},
		"a fleet that is full for longer than any deadline": {simulation{places: constant(10), run: 20_000, known: 20 * time.Second}, steady(10), 490, 490, 0},
		"a rolling stop": {simulation{places: func(ms int) int {
			if ms%1000 < 60 { // an engine stops
				return 8
			}
			return 12
		}, run: 100, known: 100 * time.Millisecond}, steady(10), 0, 0, 0},
		"a start of all daemons, nothing is known": {simulation{places: constant(10), run: 100}, steady(9), 0, 56, 150 * time.Millisecond},
		"engines that became slower than is known": {simulation{places: constant(10), run: 1000, known: 100 * time.Millisecond}, steady(50), 0, unbounded, 150 * time.Millisecond},
	} {
		s := c.simulation
		s.simulate(5000, c.arrivals)
		if s.refused[""] < c.minRefused || s.refused[""] > c.maxRefused || s.latest > c.heldAtMost || s.longest > 150*time.Millisecond {
			t.Errorf("%s: %d began, after up to %v, %d were refused after up to %v; want %d to %d within %v",
				name, s.started[""], s.longest, s.refused[""], s.latest, c.minRefused, c.maxRefused, c.heldAtMost)
		}
	}
}

// TestOrderOfPlaces guards against less urgent routes that delay urgent ones or starve, and
// against a workspace that uses all of its rate on other daemons and as much here as others.
func TestOrderOfPlaces(t *testing.T) {
	var routes, workspaces order[int]
	for range 20 {
		routes.push(2, "w", 1, 0)
		routes.push(0, "w", 1, 1)
		workspaces.push(0, "hot", Weight(0, true), 0)
		workspaces.push(0, "quiet", Weight(0, false), 1)
	}
	for _, c := range []struct {
		order *order[int]
		want  int
	}{{&routes, 16}, {&workspaces, 12}} {
		preferred := 0
		for range 18 {
			p, _ := c.order.next()
			c.order.serve(p)
			preferred += p.entry.Value
		}
		if preferred != c.want {
			t.Errorf("%d of 18 places went to the preferred one, want %d", preferred, c.want)
		}
	}
}
