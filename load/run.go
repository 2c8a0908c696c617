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

// requestTimeout is the time that a run waits for requests after the end of the measured
// period. It then cancels the requests that still run and fails.
const requestTimeout = 30 * time.Second

// Target is a running fleet.
type Target struct {
	// Gateways are the base URLs of the gateways.
	Gateways []string
	// Engines are the base URLs of the engines. Only direct runs need them.
	Engines []string
	// Keys maps the name of a workspace to its API key.
	Keys map[string]string
	// Model is the model that requests name.
	Model string
	// SetTakenOut takes a data centre out, or puts it back in service if out is false. If
	// it is nil, the scenario's outage of a data centre fails.
	SetTakenOut func(ctx context.Context, dataCentre string, out bool) error
	// Kill ends the named process without a planned stop. If it is nil, the scenario's
	// gateway cannot be killed.
	Kill func(process string) error

	usage *usageReader // nil for a fleet that the run did not start
}

// runner runs a scenario once. The goroutine of the request with index i alone writes
// outcomes[i] and sendTimes[i]; they are read after wg.Wait.
type runner struct {
	scenario   *Scenario
	schedule   []Arrival
	withinRate []bool
	sender     *sender
	target     *Target
	start      time.Time
	wg         sync.WaitGroup
	outcomes   []outcome
	sendTimes  []time.Time
	notes      notes
}

// Run sends the scenario's load to the target and returns the result as callers saw it. It
// fails if the scenario is invalid, if the batch job cannot be submitted, if ctx ends before
// the run does or if requests still run requestTimeout after the measured period. In the
// last two cases the result is not nil, but incomplete.
func Run(ctx context.Context, s *Scenario, target *Target) (*Result, error) {
	if err := s.validate(); err != nil {
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
		r.runEvents(ctx)
	}()
	done := r.startBatchMeasurement(ctx, job)
	used := r.startUsageMeasurement(ctx)
	r.send(ctx)
	r.wg.Wait()
	result := r.result(<-done)
	result.Usage = <-used
	return result, ctx.Err()
}

// startUsageMeasurement starts a goroutine that measures what the processes use in the
// measured period. The channel gets at most one value and is then closed; it gets none if
// the target reports no usage or ctx ends before the period does.
func (r *runner) startUsageMeasurement(ctx context.Context) <-chan []UsageSummary {
	out := make(chan []UsageSummary, 1)
	go func() {
		defer close(out)
		first := r.start.Add(r.scenario.Warmup)
		if r.target.usage == nil || !sleepUntil(ctx, first) {
			return
		}
		usageByProcess := r.target.usage.usageByProcess()
		if sleepUntil(ctx, first.Add(r.scenario.Duration)) {
			out <- r.target.usage.summary(usageByProcess, r.scenario.Duration)
		}
	}()
	return out
}

// newRunner prepares a run against the gateways, or against the engines if it is direct.
func newRunner(s *Scenario, target *Target) *runner {
	schedule := Schedule(s)
	addresses, keys := target.Gateways, target.Keys
	if s.Direct {
		addresses, keys = target.Engines, nil
	}
	return &runner{
		scenario:   s,
		schedule:   schedule,
		withinRate: MarkWithinRate(s, schedule),
		target:     target,
		outcomes:   make([]outcome, len(schedule)),
		sendTimes:  make([]time.Time, len(schedule)),
		sender: &sender{
			http:        httpserve.NewClient("load"),
			addressPool: newAddressPool(addresses, keys),
			model:       target.Model,
			request:     s.Request,
		},
	}
}

// send starts each request at its intended time, whether or not earlier requests have
// ended. It returns when the last one was started or ctx ended.
func (r *runner) send(ctx context.Context) {
	for i := range r.schedule {
		if !sleepUntil(ctx, r.start.Add(r.schedule[i].At)) {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendTimes[i] = time.Now()
			workspace := r.scenario.Workspaces[r.schedule[i].Workspace].Name
			r.outcomes[i] = r.sender.send(ctx, &r.schedule[i], workspace)
		}()
	}
}

// sleepUntil waits until the time or until ctx ends. It reports whether ctx still runs.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return timer.Sleep(ctx, d)
}

// result returns the result of the run: the requests whose intended send time is in the
// measured period, and the rate excess over the whole run.
func (r *runner) result(batch *BatchResult) *Result {
	stats := make([]*Stats, len(r.scenario.Workspaces))
	for i := range stats {
		stats[i] = NewStats()
	}
	r.countRateExcess(stats)
	lag := newHistogram()
	for i := range r.schedule {
		if r.schedule[i].At < r.scenario.Warmup {
			continue
		}
		intended := r.start.Add(r.schedule[i].At)
		recordLatency(lag, r.sendTimes[i].Sub(intended))
		stats[r.schedule[i].Workspace].add(&r.outcomes[i], intended, r.withinRate[i])
	}
	res := newResult(r.scenario, stats, batch)
	res.SendLag = quantiles(lag)
	res.Notes = r.notes.all()
	return res
}

// countRateExcess sets the rate excess of each workspace. It counts the requests that were
// not rejected, by their send times, warm-up included.
func (r *runner) countRateExcess(stats []*Stats) {
	sent := make([][]time.Time, len(stats))
	for i := range r.schedule {
		if r.outcomes[i].kind != rejected {
			w := r.schedule[i].Workspace
			sent[w] = append(sent[w], r.sendTimes[i])
		}
	}
	for w := range stats {
		stats[w].RateExcess = rateExcess(&r.scenario.Workspaces[w], sent[w])
	}
}

// sendJitterRequests is subtracted from the excess: limits apply to admission times, and
// jitter between sending and admission can push send times one request over the limit.
const sendJitterRequests = 1

// rateExcess returns the largest number of requests by which any window of the times
// exceeds the burst plus the rate times the window, less sendJitterRequests; at least 0. It
// sorts times.
func rateExcess(w *Workspace, times []time.Time) int64 {
	slices.SortFunc(times, time.Time.Compare)
	var debt, worst float64
	for i, t := range times {
		if i > 0 {
			debt = max(0, debt-w.Rate*t.Sub(times[i-1]).Seconds())
		}
		debt++
		worst = max(worst, debt)
	}
	return max(0, int64(math.Ceil(worst))-int64(w.Burst)-sendJitterRequests)
}

// add counts the outcome of one request. Within says whether the request was within the
// workspace's rate; latencies count from the intended send time.
func (s *Stats) add(o *outcome, intended time.Time, within bool) {
	s.Sent++
	if within {
		s.WithinRate++
	}
	switch o.kind {
	case rejected:
		s.Rejected[o.code]++
		return
	case failed:
		s.Errors++
		return
	case incomplete:
		s.Incomplete++
		return
	}
	s.Answered++
	recordLatency(s.FirstToken, o.firstToken.Sub(intended))
	recordLatency(s.Total, o.end.Sub(intended))
	for _, gap := range o.intervals {
		recordLatency(s.InterEvent, gap)
	}
}
