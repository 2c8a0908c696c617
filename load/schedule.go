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
	// Workspace is the index of the workspace.
	Workspace int
	// Prompt is the number of the prompt.
	Prompt int
}

// Schedule returns the arrivals of the scenario in order of their times. It
// depends on nothing but the scenario.
func Schedule(s *Scenario) []Arrival {
	var all []Arrival
	for i := range s.Workspaces {
		all = append(all, arrivals(s, i)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// arrivals returns a Poisson process whose rate follows the bursts. It draws at
// the highest rate and drops arrivals where the rate is lower.
func arrivals(s *Scenario, index int) []Arrival {
	w := &s.Workspaces[index]
	peak := w.Offered * peakFactor(s, w.Name)
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
		if keep < w.Offered*s.factor(w.Name, at-s.Warmup) {
			list = append(list, Arrival{At: at, Workspace: index, Prompt: prompt})
		}
	}
	return list
}

// factor returns the multiplier of the workspace's offered rate at a time of
// the counted part.
func (s *Scenario) factor(workspace string, at time.Duration) float64 {
	f := 1.0
	for i := range s.Bursts {
		if s.Bursts[i].covers(workspace, at) {
			f *= s.Bursts[i].Factor
		}
	}
	return f
}

func peakFactor(s *Scenario, workspace string) float64 {
	peak := 1.0
	for i := range s.Bursts {
		if b := &s.Bursts[i]; b.Factor > 1 && (b.Workspace == "" || b.Workspace == workspace) {
			peak *= b.Factor
		}
	}
	return peak
}

// bucket admits requests by a rate and a burst, as one limiter for the whole
// fleet would.
type bucket struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

func newBucket(w *Workspace) *bucket {
	return &bucket{rate: w.Rate, burst: float64(w.Burst), tokens: float64(w.Burst)}
}

// take admits a request at the time if there is a token for it.
func (b *bucket) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WithinRate returns, for each arrival, whether it is within its workspace's
// rate and burst over the whole fleet. Arrivals above the rate use up nothing.
func WithinRate(s *Scenario, schedule []Arrival) []bool {
	buckets := make([]*bucket, len(s.Workspaces))
	for i := range s.Workspaces {
		buckets[i] = newBucket(&s.Workspaces[i])
	}
	within := make([]bool, len(schedule))
	for i, a := range schedule {
		within[i] = buckets[a.Workspace].take(a.At)
	}
	return within
}
