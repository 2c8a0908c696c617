package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/capacity"
)

// speedWorkload is a workload on engines whose speed differs.
type speedWorkload struct {
	workload
	// reportsPace reports whether the engines' pace tells their speed, apart from that which
	// comes from the number of their requests and from permanent differences.
	reportsPace bool
	// vm is how many times slower the engine's VM makes it at a time, permanent how many times
	// slower it always is, and crowded how many times slower from half of its slots on.
	vm        func(engine int, at time.Duration) float64
	permanent func(engine int) float64
	crowded   func(engine int) float64
}

// factor returns how many times slower the engine is than the fastest.
func (w *speedWorkload) factor(engine int, at time.Duration, running int) float64 {
	f := w.vm(engine, at) * w.permanent(engine)
	if running > simulatedSlots/2 {
		f *= w.crowded(engine)
	}
	return f
}

// A way is what placement knows of the speed.
type way int

const (
	byCount way = iota
	byFixedWeights
	byLimit        // additive increase and multiplicative decrease of a limit for each engine
	byMeanInterval // the mean interval, whatever the number of requests
	byPaceAlone
	byLearning
)

var wayNames = []string{"count", "fixed weights", "limit", "mean interval", "pace alone", "learned"}

// limitCurve returns the curve of an engine that gets requests up to the limit first.
func limitCurve(limit float64) (c capacity.Curve) {
	for b := range c {
		if c[b] = 100; b > capacity.Band(int(limit), simulatedSlots) {
			c[b] = 400
		}
	}
	return c
}

// learner is what the daemons of a speedWorkload learn together in one way.
type learner struct {
	*speedWorkload
	how       way
	rng       *rand.Rand
	estimates []capacity.Estimate
	limits    []float64
	told      []func() // measurements that are told with the next reports
}

// learn measures the engines, and applies what was measured one interval before.
func (l *learner) learn(at time.Duration, engines []simulatedEngine, views [][]*blackboard.Engine) {
	now := clock.Instant(time.Hour + at)
	for _, tell := range l.told {
		tell()
	}
	l.told = nil
	var paces, intervals []float64
	for i := range engines {
		paces = append(paces, l.estimates[i].Pace(now))
		if engines[i].running > 0 {
			intervals = append(intervals, l.factor(i, at, engines[i].running))
		}
	}
	medianPace, _ := capacity.Median(paces)
	usual, measured := capacity.Median(intervals)
	for i := range engines {
		if running := engines[i].running; running > 0 && measured {
			percent := 100 * (0.8 + 0.4*l.rng.Float64()) * l.factor(i, at, running) / usual
			l.told = append(l.told, func() { l.observe(i, at, running, percent, medianPace) })
		}
		for d := range views {
			views[d][i].Load.SetSlowness(l.curve(i, medianPace, now))
		}
	}
}

// observe records what was measured of an engine.
func (l *learner) observe(i int, at time.Duration, running int, percent, medianPace float64) {
	now := clock.Instant(time.Hour + at)
	sample := capacity.Sample{Band: capacity.Band(running, simulatedSlots), Percent: percent}
	if l.how >= byPaceAlone && l.reportsPace {
		l.estimates[i].ObservePace(100*l.vm(i, at), now)
	}
	switch l.how {
	case byLimit:
		l.limits[i] = min(l.limits[i]+0.1, simulatedSlots)
		if percent > 150 {
			l.limits[i] = max(0.8*min(l.limits[i], float64(running)), 1)
		}
	case byMeanInterval:
		sample.Band = 0
		l.estimates[i].ObserveInterval(sample, medianPace, now)
	case byLearning:
		l.estimates[i].ObserveInterval(sample, medianPace, now)
	}
}

// curve returns what the daemons know of an engine.
func (l *learner) curve(i int, medianPace float64, now clock.Instant) (c capacity.Curve) {
	switch l.how {
	case byCount:
		return c
	case byFixedWeights:
		for b := range c {
			c[b] = uint16(100 * l.permanent(i))
		}
		return c
	case byLimit:
		return limitCurve(l.limits[i])
	}
	return l.estimates[i].Curve(medianPace, now)
}

// play plays the workload three times with the given way to learn: the arrivals with one seed
// depend on the choices.
func (w *speedWorkload) play(how way) outcome {
	var sum outcome
	for seed := range uint64(3) {
		engines := w.dataCentres * w.enginesEach
		l := &learner{speedWorkload: w, how: how, rng: rand.New(rand.NewPCG(7, seed)), estimates: make([]capacity.Estimate, engines), limits: make([]float64, engines)}
		for i := range l.limits {
			l.limits[i] = simulatedSlots
		}
		w.workload.slowness, w.workload.learn = w.factor, l.learn
		out := w.run(seed + 1)
		sum.requests, sum.queued, sum.rejected = sum.requests+out.requests, sum.queued+out.queued, sum.rejected+out.rejected
		sum.slow, sum.stretch = sum.slow+out.slow, sum.stretch+out.stretch
	}
	return sum
}

// speedWorkloads are fleets of 8 daemons and 16 engines of which every second is 1.3 times
// slower, named after what is wrong in them.
func speedWorkloads() map[string]*speedWorkload {
	fleet := func(rate float64, reportsPace bool, vm func(int, time.Duration) float64, crowded func(int) float64) *speedWorkload {
		return &speedWorkload{workload: workload{
			dataCentres: 4, daemonsEach: 2, enginesEach: 4, rate: rate, runTime: 600 * time.Millisecond,
			nearDelay: 20 * time.Millisecond, farDelay: 20 * time.Millisecond, length: 20 * time.Second,
		}, reportsPace: reportsPace, vm: vm, crowded: crowded, permanent: func(engine int) float64 { return 1 + 0.3*float64(engine%2) }}
	}
	steady := func(int, time.Duration) float64 { return 1 }
	sound := func(int) float64 { return 1 }
	slowThird := func(engine int, at time.Duration) float64 {
		if engine%3 == 0 && at > 6*time.Second && at < 12*time.Second {
			return 2.5
		}
		return 1
	}
	return map[string]*speedWorkload{
		"a slow third, by its pace":      fleet(90, true, slowThird, sound),
		"a slow third, without its pace": fleet(90, false, slowThird, sound),
		"a quarter slows from half its slots": fleet(100, false, steady, func(engine int) float64 {
			if engine%4 == 0 {
				return 2.2
			}
			return 1
		}),
		"speed flips each second": fleet(90, true, func(engine int, at time.Duration) float64 {
			if engine%4 == 0 && int(at.Seconds())%2 == 1 {
				return 2.5
			}
			return 1
		}, sound),
		"permanent differences only": fleet(110, true, steady, sound),
		"the whole fleet slows down": fleet(50, true, func(_ int, at time.Duration) float64 {
			if at > 6*time.Second && at < 12*time.Second {
				return 2.5
			}
			return 1
		}, sound),
	}
}

// TestPlacementFollowsTheSpeedOfEngines guards against engines that get as many requests as
// others although they are slower, and against a way to learn that does worse than counting
// when nothing can be gained.
func TestPlacementFollowsTheSpeedOfEngines(t *testing.T) {
	// maxSlow is the largest part of the requests that may take twice as long, compared with
	// placement by count.
	maxSlow := map[string]float64{
		"a slow third, by its pace": 0.5, "a slow third, without its pace": 0.5, "a quarter slows from half its slots": 0.6, "speed flips each second": 0.7,
	}
	for name, w := range speedWorkloads() {
		var outs []outcome
		for how := byCount; how <= byLearning; how++ {
			out := w.play(how)
			t.Logf("%s, %s: %d requests, %.1f%% slow, %.2f times as long, %d queued, %d rejected",
				name, wayNames[how], out.requests, 100*float64(out.slow)/float64(out.requests), out.stretch/float64(out.requests), out.queued, out.rejected)
			outs = append(outs, out)
		}
		count, learned := outs[byCount], outs[byLearning]
		if bound, ok := maxSlow[name]; ok && float64(learned.slow) > bound*float64(count.slow) {
			t.Errorf("%s: %d slow requests, %d by count", name, learned.slow, count.slow)
		}
		if learned.queued+learned.rejected > count.queued+count.rejected+learned.requests/100 {
			t.Errorf("%s: %d requests queued or rejected, %d by count", name, learned.queued+learned.rejected, count.queued+count.rejected)
		}
		if learned.stretch/float64(learned.requests) > 1.02*count.stretch/float64(count.requests) {
			t.Errorf("%s: requests take %.2f times as long, %.2f by count", name, learned.stretch/float64(learned.requests), count.stretch/float64(count.requests))
		}
	}
}
