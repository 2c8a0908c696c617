package load

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/timer"
)

// requestTimeout bounds one request of a caller.
const requestTimeout = 30 * time.Second

// Target is a running fleet.
type Target struct {
	// Gateways are the base addresses of the gateways.
	Gateways []string
	// Engines are the base addresses of the engines, for direct runs.
	Engines []string
	// Keys maps a workspace to its key.
	Keys map[string]string
	// Model is the model that callers name.
	Model string
	// TakeOut takes a data centre out or returns it. It may be nil.
	TakeOut func(ctx context.Context, dataCentre string, out bool) error
	// Kill ends the named process without a planned stop. It may be nil.
	Kill func(process string) error

	usage *usageProbe // nil for a fleet that the run did not start
}

// runner is one run of a scenario.
type runner struct {
	scenario *Scenario
	schedule []Arrival
	within   []bool
	sender   *sender
	target   *Target
	start    time.Time
	wg       sync.WaitGroup
	results  []outcome
	starts   []time.Time
	notes    notes
}

// Run sends the scenario's load to the target and returns what callers saw.
func Run(ctx context.Context, s *Scenario, target *Target) (*Result, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := newRunner(s, target)
	job, err := r.startBatch(ctx)
	if err != nil {
		return nil, err
	}
	r.start = time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.start.Add(s.Warmup+s.Duration+requestTimeout))
	defer cancel()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.events(ctx)
	}()
	done := r.countBatch(ctx, job)
	used := r.countUsage(ctx)
	r.send(ctx)
	r.wg.Wait()
	result := r.result(<-done)
	result.Usage = <-used
	return result, ctx.Err()
}

// countUsage watches the processes through the counted part and sends what
// they used.
func (r *runner) countUsage(ctx context.Context) <-chan []UsageSummary {
	out := make(chan []UsageSummary, 1)
	go func() {
		defer close(out)
		first := r.start.Add(r.scenario.Warmup)
		if r.target.usage == nil || !sleepUntil(ctx, first) {
			return
		}
		usages := r.target.usage.usages()
		if sleepUntil(ctx, first.Add(r.scenario.Duration)) {
			out <- r.target.usage.summary(usages, r.scenario.Duration)
		}
	}()
	return out
}

func newRunner(s *Scenario, target *Target) *runner {
	schedule := Schedule(s)
	addresses, keys := target.Gateways, target.Keys
	if s.Direct {
		addresses, keys = target.Engines, nil
	}
	return &runner{
		scenario: s,
		schedule: schedule,
		within:   WithinRate(s, schedule),
		target:   target,
		results:  make([]outcome, len(schedule)),
		starts:   make([]time.Time, len(schedule)),
		sender: &sender{
			http:    httpserve.NewClient("load"),
			targets: newTargets(addresses, keys),
			model:   target.Model,
			shape:   s.Request,
		},
	}
}

// send starts each request at its intended time, whatever became of earlier
// ones.
func (r *runner) send(ctx context.Context) {
	for i := range r.schedule {
		if !sleepUntil(ctx, r.start.Add(r.schedule[i].At)) {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.starts[i] = time.Now()
			workspace := r.scenario.Workspaces[r.schedule[i].Workspace].Name
			r.results[i] = r.sender.send(ctx, &r.schedule[i], workspace)
		}()
	}
}

// sleepUntil waits until the time and returns whether ctx still runs.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return timer.Sleep(ctx, d)
}

// result counts the requests of the counted part.
func (r *runner) result(batch *BatchResult) *Result {
	stats := make([]*Stats, len(r.scenario.Workspaces))
	for i := range stats {
		stats[i] = NewStats()
	}
	r.countAboveRate(stats)
	lag := newHistogram()
	for i := range r.schedule {
		if r.schedule[i].At < r.scenario.Warmup {
			continue
		}
		intended := r.start.Add(r.schedule[i].At)
		record(lag, r.starts[i].Sub(intended))
		stats[r.schedule[i].Workspace].add(&r.results[i], intended, r.within[i])
	}
	res := newResult(r.scenario, stats, batch)
	res.SendLag = quantiles(lag)
	res.Notes = r.notes.all()
	return res
}

// countAboveRate finds each workspace's worst window, by the times at which
// requests were sent.
func (r *runner) countAboveRate(stats []*Stats) {
	sent := make([][]time.Time, len(stats))
	for i := range r.schedule {
		if r.results[i].kind != refused {
			w := r.schedule[i].Workspace
			sent[w] = append(sent[w], r.starts[i])
		}
	}
	for w := range stats {
		stats[w].AboveRate = aboveRate(&r.scenario.Workspaces[w], sent[w])
	}
}

// sendJitter is the number of requests by which send times may exceed a limit
// that admission times keep.
const sendJitter = 1

// aboveRate returns by how many requests a window of the times holds more than
// the burst and what the rate earns, at worst.
func aboveRate(w *Workspace, times []time.Time) int64 {
	slices.SortFunc(times, time.Time.Compare)
	var debt, worst float64
	for i, t := range times {
		if i > 0 {
			debt = max(0, debt-w.Rate*t.Sub(times[i-1]).Seconds())
		}
		debt++
		worst = max(worst, debt)
	}
	return max(0, int64(math.Ceil(worst))-int64(w.Burst)-sendJitter)
}

// add counts one request that was meant to be sent at the intended time.
func (s *Stats) add(o *outcome, intended time.Time, within bool) {
	s.Sent++
	if within {
		s.Within++
	}
	switch o.kind {
	case refused:
		s.Refused[o.code]++
		return
	case failed:
		s.Errors++
		return
	case incomplete:
		s.Incomplete++
		return
	}
	s.Answered++
	record(s.FirstToken, o.firstToken.Sub(intended))
	record(s.Total, o.end.Sub(intended))
	for _, gap := range o.gaps {
		record(s.BetweenTokens, gap)
	}
}
