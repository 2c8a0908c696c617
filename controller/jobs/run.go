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
	"github.com/baobablanding/baobablanding/relay"
)

const (
	// itemSilence is how long an engine may send nothing of an item before the
	// item goes on elsewhere.
	itemSilence = 1500 * time.Millisecond
	// itemMethod is the method of an item's request.
	itemMethod = "POST"
)

// logItem starts a log line about a run of the item.
func (c *Controller) logItem(p *progress, engine *blackboard.Engine, err error) *log.Entry {
	return c.log.Warn().Str("item", p.item().ID).Str("job", p.job.key.ID).Str("engine", engine.ID).
		Int64("event", p.last()).Int("engine_busy", engine.Busy()).Err(err)
}

// ending is how one run of an item ended.
type ending int

const (
	completed ending = iota
	failed           // counts as a failed attempt
	hopeless         // can never be done
	refused          // was not run
	broken           // broke off and may go on
)

// run runs the item at the engine, beside the controller.
func (c *Controller) run(ctx context.Context, p *progress, route *catalog.Route, engine *blackboard.Engine) {
	ctx, p.cancel = context.WithCancel(ctx)
	p.engine, p.started, p.cut = engine.ID, clock.Now(), false
	p.job.running[p.index] = p
	c.running++
	engine.Load.Batch.Add(1)
	cancel := p.cancel
	go func() {
		end, err := c.exchange(ctx, p, route.Host, engine)
		engine.Load.Batch.Add(-1)
		cancel()
		c.post(context.WithoutCancel(ctx), func() { c.ended(p, route, engine, end, err) })
	}()
}

// exchange sends the item and collects its events.
func (c *Controller) exchange(ctx context.Context, p *progress, host string, engine *blackboard.Engine) (ending, error) {
	item := p.item()
	header := make(relay.Header, len(item.Header))
	for name, value := range item.Header {
		header[name] = []string{value}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(itemSilence, cancel)
	defer silence.Stop()
	answer, err := c.engines.Call(ctx, &relay.Call{
		Message:   relay.Message{ID: item.ID, Host: host, Target: item.Path, Method: itemMethod, Header: header, Body: item.Body},
		Workspace: p.job.key.Workspace, Engine: engine, After: p.last(),
	})
	if err != nil {
		var call *relay.CallError
		if errors.As(err, &call) && !call.Sent {
			return refused, err
		}
		return broken, err
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun || answer.Misdirected:
		return refused, nil
	case answer.Class == relay.Hopeless:
		return hopeless, nil
	case answer.Class == relay.Failed:
		return failed, nil
	case answer.Class != relay.Succeeded:
		return broken, nil
	}
	return p.collect(answer, engine, silence)
}

// collect appends the events of the answer to the item's output.
func (p *progress) collect(answer *relay.Answer, engine *blackboard.Engine, silence *time.Timer) (ending, error) {
	reader := relay.NewEventReader(answer.Body)
	pace := relay.Pace{Health: &engine.Load.Health}
	for {
		events, err := reader.Next()
		if err == io.EOF && len(reader.Rest()) == 0 {
			return completed, nil
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return broken, err
		}
		silence.Reset(itemSilence)
		pace.Note(len(events), clock.Now())
		for _, e := range events {
			p.add(e)
		}
	}
}

// ended takes in how a run of an item ended.
func (c *Controller) ended(p *progress, route *catalog.Route, engine *blackboard.Engine, end ending, err error) {
	o := p.job
	c.running--
	delete(o.running, p.index)
	p.ran = p.soFar()
	p.cancel = nil
	if c.owned[o.key] != o {
		return
	}
	switch end {
	case completed:
		engine.Load.Health.Succeeded()
		c.runTime.Note(p.ran)
		o.finished = append(o.finished, p.result(job.Completed))
		return
	case hopeless:
		c.logItem(p, engine, err).Str("reason", "the engine cannot do it").Msg("item is given up")
		o.finished = append(o.finished, p.result(job.GivenUp))
		return
	case failed:
		p.failed++
		if p.failed >= route.Attempts {
			c.logItem(p, engine, err).Int("failed", p.failed).Str("reason", "every attempt failed").Msg("item is given up")
			o.finished = append(o.finished, p.result(job.GivenUp))
			return
		}
	case refused, broken:
		p.refused[engine.ID] = clock.Now()
		if !p.cut && err != nil {
			engine.Load.Health.Failed(clock.Now())
		}
	}
	if !p.cut {
		c.logItem(p, engine, err).Int("ending", int(end)).Msg("item runs again")
	}
	o.waiting = append([]*progress{p}, o.waiting...)
}
