package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/policy/capacity"
)

// speeds describes engines of which every second is 1.3 times slower. Some are 2.5 times slower
// at times, if they are crowded only with more than half of their slots taken; their pace tells
// it or not. By learning, requests at slow engines must be at most maxSlow times those by count.
type speeds struct {
	slow            func(engine int, at time.Duration) bool
	crowded, noPace bool
	maxSlow         float64
}

func (s *speeds) vm(engine int, at time.Duration, running int) float64 {
	if s.slow(engine, at) && (!s.crowded || running > simulatedSlots/2) {
		return 2.5
	}
	return 1
}

func (s *speeds) factor(engine int, at time.Duration, running int) float64 {
	return s.vm(engine, at, running) * (1 + 0.3*float64(engine%2))
}

// learner returns a function that measures the engines each learnInterval and lets all daemons
// know what was measured one interval before.
func (s *speeds) learner(rng *rand.Rand) func(time.Duration, []simulatedEngine, [][]*blackboard.Engine) {
	estimates := make([]capacity.Estimate, 16)
	return func(at time.Duration, engines []simulatedEngine, views [][]*blackboard.Engine) {
		now := simulationStart.Add(at)
		var paces, intervals []float64
		for i := range engines {
			paces = append(paces, estimates[i].Pace(now))
			if engines[i].running > 0 {
				intervals = append(intervals, s.factor(i, at, engines[i].running))
			}
		}
		pace, _ := capacity.Median(paces)
		usual, measured := capacity.Median(intervals)
		for i := range engines {
			for _, view := range views {
				view[i].Load.SetSlowness(estimates[i].Curve(pace, now))
			}
			running := engines[i].running
			if running == 0 || !measured {
				continue
			}
			if !s.noPace {
				estimates[i].ObservePace(100*s.vm(i, at, running), now)
			}
			percent := 100 * (0.8 + 0.4*rng.Float64()) * s.factor(i, at, running) / usual
			estimates[i].ObserveInterval(capacity.Sample{Band: capacity.Band(running, simulatedSlots), Percent: percent}, pace, now)
		}
	}
}

// TestPlacementFollowsTheSpeedOfEngines guards against engines that get as many requests as
// others although they are slower, and against learning that does worse than counting.
func TestPlacementFollowsTheSpeedOfEngines(t *testing.T) {
	sixSeconds := func(at time.Duration) bool { return at > 6*time.Second && at < 12*time.Second }
	slowThird := func(engine int, at time.Duration) bool { return engine%3 == 0 && sixSeconds(at) }
	for name, s := range map[string]*speeds{
		"a slow third":                  {slowThird, false, false, 0.5},
		"a slow third without pace":     {slowThird, false, true, 0.5},
		"the whole fleet slows down":    {func(_ int, at time.Duration) bool { return sixSeconds(at) }, false, false, 1.1},
		"speed that flips each second":  {func(engine int, at time.Duration) bool { return engine%4 == 0 && int(at.Seconds())%2 == 1 }, false, false, 0.7},
		"one slows from half its slots": {func(engine int, _ time.Duration) bool { return engine%4 == 0 }, true, true, 0.6},
	} {
		var outs [2]outcome // by count, as learned
		for seed := range uint64(6) {
			w := workload{
				dataCentres: 4, daemonsEach: 2, enginesEach: 4, rate: 90, runTime: 600 * time.Millisecond,
				nearDelay: 20 * time.Millisecond, farDelay: 20 * time.Millisecond, length: 20 * time.Second, slowness: s.factor,
			}
			if s.maxSlow > 1 {
				w.rate = 50 // the slow fleet is nearly full
			}
			if seed%2 == 1 {
				w.learn = s.learner(rand.New(rand.NewPCG(7, seed)))
			}
			out, sum := w.run(seed/2+1), &outs[seed%2]
			sum.requests, sum.slow, sum.queued = sum.requests+out.requests, sum.slow+out.slow, sum.queued+out.queued+out.rejected
		}
		count, learned := outs[0], outs[1]
		t.Logf("%s: %+v, by count %+v", name, learned, count)
		if float64(learned.slow) > s.maxSlow*float64(count.slow) || learned.queued > count.queued+learned.requests/100 {
			t.Errorf("%s: %d requests are slow, %d queued or rejected; by count %d and %d", name, learned.slow, learned.queued, count.slow, count.queued)
		}
	}
}

// TestFailingEnginesThatLookIdle guards against a fleet in which each daemon must meet each
// engine that answers with failures at once, and looks idle, itself. Daemons learn of each
// other's answers after 100 to 200 ms.
func TestFailingEnginesThatLookIdle(t *testing.T) {
	play := func(shares bool) outcome {
		w := workload{
			dataCentres: 3, daemonsEach: 12, enginesEach: 19, rate: 300, runTime: 700 * time.Millisecond,
			nearDelay: 40 * time.Millisecond, farDelay: 200 * time.Millisecond, length: 16 * time.Second,
		}
		w.fails = func(engine int, at time.Duration) bool {
			return engine%15 == 0 && at > 3*time.Second && at < 9*time.Second
		}
		claims, fresh := make(map[int][]FailureClaim), make(map[int][]FailureClaim) // by engine
		w.answered = func(engine int, e *blackboard.Engine, sent, at time.Duration, failed bool) {
			if failed {
				e.Load.Health.RecordFailure(simulationStart.Add(at))
				fresh[engine] = append(fresh[engine], FailureClaim{Daemons: 1, FailedAt: simulationStart.Add(at)})
			} else if len(claims[engine]) > 0 {
				fresh[engine] = append(fresh[engine], FailureClaim{WellAt: simulationStart.Add(sent)})
			}
		}
		w.learn = func(at time.Duration, _ []simulatedEngine, views [][]*blackboard.Engine) {
			for engine, c := range claims {
				for _, view := range views {
					view[engine].Load.Health.FailsByPeers.Store(shares && FailsByAnswers(c, simulationStart.Add(at)))
				}
			}
			for engine, c := range fresh {
				claims[engine] = append(claims[engine], c...)
			}
			clear(fresh)
		}
		return w.run(1)
	}
	alone, shared := play(false), play(true)
	t.Logf("%d of %d requests failed; %d of %d when daemons tell each other", alone.failed, alone.requests, shared.failed, shared.requests)
	if 2*shared.failed > alone.failed || shared.rejected > 0 {
		t.Errorf("%d requests failed, %d when each daemon meets the engines itself; %d rejected", shared.failed, alone.failed, shared.rejected)
	}
}
