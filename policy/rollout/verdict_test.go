package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
)

// simulation is the canary stage of a service: requests arrive at daemons and go to engines,
// and the evidence is looked at after each tenth of a second.
type simulation struct {
	requests  int // in a second
	daemons   int
	newPerSec int                              // of the requests, sent to the new version
	canaries  int                              // new engines that get requests
	oldBad    float64                          // probability of a bad answer of the old version
	newBad    func(engine, second int) float64 // the same for one engine of the new version
}

// run returns whether the new version was found bad within 4 s, and after how many answers.
func (s *simulation) run(random *rand.Rand) (isBad bool, answers int) {
	var old, new blackboard.AnswerFigures
	engines := make(map[string]blackboard.AnswerFigures)
	withAnswers, withBad := make(map[int]bool), make(map[int]bool)
	for tick := range 40 {
		for range s.requests / 10 {
			old[sent]++
			old[answered]++
			if random.Float64() < s.oldBad {
				old[bad]++
			}
		}
		for range s.newPerSec / 10 {
			e, d := random.IntN(s.canaries), random.IntN(s.daemons)
			name := fmt.Sprint(e)
			figures := engines[name]
			new[sent]++
			new[answered]++
			figures[answered]++
			withAnswers[d] = true
			if random.Float64() < s.newBad(e, tick/10) {
				new[bad]++
				figures[bad]++
				withBad[d] = true
			}
			engines[name] = figures
		}
		evidence := Evidence{
			Routes: map[string][2]blackboard.AnswerFigures{"a": {old, new}}, Engines: engines, NewEngines: 12,
			Daemons: s.daemons, DaemonsWithAnswers: len(withAnswers), DaemonsWithBad: len(withBad),
		}
		if evidence.IsBad() {
			return true, int(new[answered])
		}
	}
	return false, int(new[answered])
}

// TestVerdicts guards against good versions that are reverted because of engines that fail,
// and bad versions that are not found within the few requests of the canary stage.
func TestVerdicts(t *testing.T) {
	all := func(p float64) func(int, int) float64 { return func(int, int) float64 { return p } }
	for name, c := range map[string]struct {
		simulation
		atLeast, atMost float64 // fraction of the runs in which the version is found bad
	}{
		"good":                    {simulation{100, 20, 20, 4, 0.01, all(0.01)}, 0, 0.005},
		"as bad as the old one":   {simulation{100, 20, 20, 4, 0.10, all(0.10)}, 0, 0.005},
		"one engine fails always": {simulation{100, 20, 20, 4, 0.01, func(e, _ int) float64 { return map[bool]float64{true: 1, false: 0.01}[e == 0] }}, 0, 0.01},
		"one engine of two flaps": {simulation{100, 20, 20, 2, 0.01, func(e, s int) float64 { return map[bool]float64{true: 1, false: 0.01}[e == 0 && s%2 == 0] }}, 0, 0.01},
		"fails a third":           {simulation{100, 20, 20, 4, 0.01, all(0.33)}, 0.99, 1},
		"fails a fifth":           {simulation{100, 20, 20, 4, 0.01, all(0.2)}, 0.85, 1},
		"slow later":              {simulation{100, 20, 20, 4, 0.01, func(_, s int) float64 { return map[bool]float64{true: 0.8, false: 0.01}[s >= 2] }}, 0.98, 1},
		"few requests":            {simulation{40, 20, 10, 2, 0.01, all(0.5)}, 0.98, 1},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		const runs = 1000
		found, answers := 0, 0
		for range runs {
			if isBad, n := c.run(random); isBad {
				found++
				answers += n
			}
		}
		fraction := float64(found) / runs
		t.Logf("%s: found bad in %.1f%%, after %d answers on average", name, 100*fraction, answers/max(found, 1))
		if fraction < c.atLeast || fraction > c.atMost {
			t.Errorf("%s: found bad in %.1f%% of the runs", name, 100*fraction)
		}
	}
}
