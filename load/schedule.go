package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended send time since the start of the warm-up.
	At time.Duration
	// Workspace is the index in Scenario.Workspaces.
	Workspace int
	// Prompt is the number of the prompt, below RequestShape.Prompts.
	Prompt int
}

// Schedule returns the arrivals of the scenario in order of their times, warm-up included.
// The same scenario always gives the same schedule.
func Schedule(s *Scenario) []Arrival {
	var all []Arrival
	for i := range s.Workspaces {
		all = append(all, arrivals(s, i)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// arrivals draws the arrivals of one workspace from a Poisson process whose rate follows the
// bursts, by thinning: it draws at the highest rate and drops arrivals where the rate is
// lower. Each workspace has its own random generator, so its arrivals do not depend on the
// load of the rest.
func arrivals(s *Scenario, index int) []Arrival {
	w := &s.Workspaces[index]
	peak := w.Offered * peakBurstFactor(s, w.Name)
	if peak <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(s.Seed, uint64(index)+1))
	var list []Arrival
	end := (s.Warmup + s.Duration).Seconds()
	for t := random.ExpFloat64() / peak; t < end; t += random.ExpFloat64() / peak {
		at := time.Duration(t * float64(time.Second))
		keep := random.Float64() * peak
		prompt := random.IntN(max(1, s.Request.Prompts))
		if keep < w.Offered*s.burstFactor(w.Name, at-s.Warmup) {
			list = append(list, Arrival{At: at, Workspace: index, Prompt: prompt})
		}
	}
	return list
}

// burstFactor returns the multiplier of the workspace's offered rate at a time since the
// start of the measured period. The time is negative in the warm-up.
func (s *Scenario) burstFactor(workspace string, at time.Duration) float64 {
	f := 1.0
	for i := range s.Bursts {
		if s.Bursts[i].appliesTo(workspace, at) {
			f *= s.Bursts[i].Factor
		}
	}
	return f
}

// peakBurstFactor returns a bound of burstFactor: the product of all factors above 1, as if
// all bursts overlapped.
func peakBurstFactor(s *Scenario, workspace string) float64 {
	peak := 1.0
	for i := range s.Bursts {
		if b := &s.Bursts[i]; b.Factor > 1 && (b.Workspace == "" || b.Workspace == workspace) {
			peak *= b.Factor
		}
	}
	return peak
}

// tokenBucket models a single limiter for the whole fleet. It starts full.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

func newTokenBucket(w *Workspace) *tokenBucket {
	return &tokenBucket{rate: w.Rate, burst: float64(w.Burst), tokens: float64(w.Burst)}
}

// take takes a token at the time and reports whether there was one. Times must not go back.
func (b *tokenBucket) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MarkWithinRate reports, for each arrival, whether it is within the rate and burst of its
// workspace over the whole fleet. Arrivals above the rate take no token.
func MarkWithinRate(s *Scenario, schedule []Arrival) []bool {
	buckets := make([]*tokenBucket, len(s.Workspaces))
	for i := range s.Workspaces {
		buckets[i] = newTokenBucket(&s.Workspaces[i])
	}
	within := make([]bool, len(schedule))
	for i, a := range schedule {
		within[i] = buckets[a.Workspace].take(a.At)
	}
	return within
}
