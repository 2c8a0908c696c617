package jobs

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/relay"
)

const (
	// itemIdleTimeout is how long an engine may send no data of an item. After that, the
	// run is cancelled and the item continues on another engine. The time doubles with each
	// run in a row that had no event, up to maxIdleDoublings times: an engine may need long
	// to the first one.
	itemIdleTimeout  = 1500 * time.Millisecond
	maxIdleDoublings = 3
	// itemMethod is the HTTP method of an item's request.
	itemMethod = "POST"
)

// logItem returns a log entry with the fields of an item's run.
func (c *Controller) logItem(s *itemState, engine *blackboard.Engine, err error) *log.Entry {
	return c.log.Warn().Str("item", s.item().ID).Str("job", s.job.key.ID).Str("engine", engine.ID).
		Int64("event", s.lastEvent()).Int("engine_busy", engine.RequestCount()).Err(err)
}

// runOutcome is how one run of an item ended. It is logged as a number.
type runOutcome int

const (
	completed     runOutcome = iota
	failed                   // counted as a failed attempt
	unprocessable            // no engine can run the request; not tried again
	notRun                   // rejected, not run
	interrupted              // the response broke off; the item can continue on another engine
	crashed                  // the engine crashed before it wrote a response
)

// errUnnumberedEvent reports an event whose place in the output is not known.
var errUnnumberedEvent = errors.New("event of an item has no number")

// itemRun is one run of an item at an engine. It belongs to the goroutine of the run.
type itemRun struct {
	*itemState
	message relay.Message
	engine  *blackboard.Engine
	events  int // received in this run
	tracker rollout.Tracker

	firstEventTimeout time.Duration
}

// newRun returns a run of the item at the engine.
func (s *itemState) newRun(host string, engine *blackboard.Engine) *itemRun {
	item := s.item()
	header := make(relay.Header, len(item.Header))
	for name, value := range item.Header {
		header[name] = []string{value}
	}
	timeout := itemIdleTimeout << min(s.emptyRuns, maxIdleDoublings)
	return &itemRun{itemState: s, engine: engine, firstEventTimeout: timeout, message: relay.Message{
		ID: item.ID, Host: host, Target: item.Path, Method: itemMethod, Header: header, Body: item.Body, Segments: s.gate.Segments,
		Tokens: s.tokens,
	}}
}

// written reports whether the engine has begun to write a response.
func (r *itemRun) written() bool { return r.events >= relay.WrittenEvents }

// run starts a goroutine that runs the item at the engine. The goroutine posts the
// outcome even if ctx is cancelled, as the count of running items depends on it.
func (c *Controller) run(ctx context.Context, s *itemState, route *catalog.Route, engine *blackboard.Engine) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.engine, s.startedAt, s.cancelled = engine.ID, clock.Now(), false
	s.job.running[s.index] = s
	c.running++
	engine.Load.Batch.Add(1)
	engine.Load.Tokens.Add(s.tokens)
	cancel := s.cancel
	r := s.newRun(route.Host, engine)
	r.tracker = rollout.NewView(c.board, engine.Service, s.startedAt).Track(engine, route.Name)
	tokens := s.tokens
	go func() {
		outcome, err := c.send(ctx, r)
		outcome = c.checkCrash(ctx, r, outcome, err)
		engine.Load.Batch.Add(-1)
		engine.Load.Tokens.Add(-tokens)
		cancel()
		c.post(context.WithoutCancel(ctx), func() {
			r.countEmptyRun(outcome)
			r.tracker.End(versionOutcome(outcome, s.cancelled), clock.Now())
			c.runEnded(s, engine, outcome, err)
		})
	}()
}

// countEmptyRun counts the runs in a row that ended because their first event did not come in
// time.
func (r *itemRun) countEmptyRun(outcome runOutcome) {
	switch {
	case r.events > 0:
		r.emptyRuns = 0
	case outcome == interrupted && !r.cancelled && clock.Since(r.startedAt) >= r.firstEventTimeout:
		r.emptyRuns++
	}
}

// send sends the item to the engine and collects the events of the response.
func (c *Controller) send(ctx context.Context, r *itemRun) (runOutcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(r.firstEventTimeout, cancel)
	defer idle.Stop()
	resp, err := c.engines.Client.Send(ctx, &relay.EngineRequest{
		Message: r.message, Workspace: r.job.key.Workspace, Engine: r.engine, AfterEvent: r.lastEvent(),
	})
	if err != nil {
		var noResponse *relay.NoResponseError
		if errors.As(err, &noResponse) && !noResponse.Sent {
			return notRun, err
		}
		return interrupted, err
	}
	defer resp.Body.Close()
	if resp.RecordLeaving(r.engine) {
		c.logItem(r.itemState, r.engine, nil).Int("status", resp.Status).Msg("engine shuts down and gets no more items")
	}
	resp.RecordPace(r.engine)
	if resp.NotRun || resp.Misdirected {
		return notRun, nil
	}
	switch {
	case resp.Class == relay.Unprocessable:
		return unprocessable, nil
	case resp.Class == relay.Failed:
		return failed, nil
	case resp.Class != relay.Succeeded:
		return interrupted, nil
	}
	return c.collect(r, resp, idle)
}

// collect appends the new events of the response to the item's output until the response
// ends. New events restart the idle timer.
func (c *Controller) collect(r *itemRun, resp *relay.Response, idle *time.Timer) (runOutcome, error) {
	reader := relay.NewEventReader(resp.Body)
	sequence := relay.EventSequence{Last: r.lastEvent()}
	intervals := relay.IntervalMeter{Health: &r.engine.Load.Health}
	for {
		events, err := reader.Next()
		if err == io.EOF {
			err = sequence.CheckEnd(resp)
			if err == nil {
				c.recordWhole(r, resp, &sequence)
				return completed, nil
			}
		}
		if err != nil {
			return interrupted, err
		}
		newEvents, err := r.appendNew(&sequence, events)
		if err != nil {
			return interrupted, err
		}
		if newEvents > 0 {
			idle.Reset(itemIdleTimeout)
			intervals.Observe(newEvents, clock.Now())
			c.countEvents(r, newEvents)
		}
	}
}

// countEvents counts events of the run. With the second one, the item's segments are sound.
func (c *Controller) countEvents(r *itemRun, n int) {
	before := r.written()
	r.events += n
	r.tracker.Observe(n, clock.Now())
	if !before && r.written() {
		c.engines.Crashes.RecordWritten(&r.message)
	}
}

// recordWhole records the item's segments as sound after a whole response of few events.
func (c *Controller) recordWhole(r *itemRun, resp *relay.Response, sequence *relay.EventSequence) {
	if sequence.HasNew && !resp.EndsWithConnection && !r.written() {
		c.engines.Crashes.RecordWritten(&r.message)
	}
}

// appendNew appends the events that the output lacks and returns their number. It stops with
// an error at the first event that cannot follow.
func (s *itemState) appendNew(sequence *relay.EventSequence, events []relay.Event) (newEvents int, err error) {
	for i := range events {
		e := &events[i]
		if e.IsComment {
			continue
		}
		if e.Number < 0 {
			return newEvents, errUnnumberedEvent
		}
		isNew, err := sequence.Accept(e)
		if err != nil {
			return newEvents, err
		}
		if !isNew {
			continue
		}
		if err := s.appendEvent(*e); err != nil {
			return newEvents, err
		}
		newEvents++
	}
	return newEvents, nil
}

// runEnded records the outcome of an item's run: the item gets a result or waits for an
// engine again.
func (c *Controller) runEnded(s *itemState, engine *blackboard.Engine, outcome runOutcome, err error) {
	o := s.job
	c.running--
	delete(o.running, s.index)
	s.earlierRuns = s.elapsed()
	s.cancel = nil
	c.endTrial(s, outcome)
	if c.owned[o.key] != o {
		return
	}
	switch outcome {
	case completed:
		engine.Load.Health.RecordSuccess()
		engine.Load.Health.RecordGoodAnswer(s.startedAt)
		c.runTime.Observe(s.earlierRuns)
		o.finished = append(o.finished, s.result(job.Completed))
		return
	case unprocessable:
		c.logItem(s, engine, err).Str("reason", "the engine cannot do it").Msg("item is given up")
		o.finished = append(o.finished, s.result(job.GivenUp))
		return
	case failed:
		now := clock.Now()
		s.recordFailedAttempt(engine.ID, now) // giveUpItems gives the item up after the last one that is allowed
		engine.Load.Health.RecordFailure(now)
	case crashed, notRun, interrupted:
		if outcome == crashed {
			s.crashedAt = clock.Now()
		}
		s.failedAt[engine.ID] = clock.Now()
		if !s.cancelled && err != nil {
			engine.Load.Health.RecordFailure(clock.Now())
		}
	}
	if !s.cancelled {
		c.logItem(s, engine, err).Int("ending", int(outcome)).Int("failed", s.failedAttempts).Msg("item runs again")
	}
	o.waiting = append([]*itemState{s}, o.waiting...)
}
