package relay

import (
	"io"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// forward passes the engine's response on to the sink. A response that is not a
// stream of events is read whole first, and cut off after maxBufferedBytes.
func (r *activeRequest) forward(response *Response, engine *blackboard.Engine, silenceTimer *time.Timer) error {
	if response.IsEventStream && response.Class == Succeeded {
		return r.forwardEvents(response, engine, silenceTimer)
	}
	silenceTimer.Stop()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return result.New(result.AnswerIncomplete, result.MayHaveRun)
	}
	if err := r.startResponse(response); err != nil {
		return err
	}
	return r.write(body)
}

// startResponse passes the status and headers on to the sink, unless it or an earlier
// attempt has done so.
func (r *activeRequest) startResponse(response *Response) error {
	if r.responseStarted {
		return nil
	}
	r.responseStarted, r.responseStartedAt = true, clock.Now()
	r.reportedRunning, r.reportedWaiting = response.Running, response.Waiting
	if err := r.sink.Start(response.Status, response.Header); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

func (r *activeRequest) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := r.sink.Write(data); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

// forwardEvents passes complete events on as they arrive, except those that the
// caller already has from an earlier attempt.
func (r *activeRequest) forwardEvents(response *Response, engine *blackboard.Engine, silenceTimer *time.Timer) error {
	reader := NewEventReader(response.Body)
	meter := IntervalMeter{Health: &engine.Load.Health}
	for {
		events, err := reader.Next()
		if err == io.EOF {
			if err := r.startResponse(response); err != nil {
				return err
			}
			return r.write(reader.Rest())
		}
		if err != nil {
			return result.New(result.AnswerIncomplete, result.MayHaveRun)
		}
		if err := r.startResponse(response); err != nil {
			return err
		}
		silenceTimer.Reset(eventTimeout)
		meter.Observe(len(events), clock.Now())
		if err := r.forwardNewEvents(events); err != nil {
			return err
		}
	}
}

// forwardNewEvents passes on the events without a number and those numbered above
// the last one that the caller has.
func (r *activeRequest) forwardNewEvents(events []Event) error {
	var data []byte
	for _, e := range events {
		if e.Number >= 0 && e.Number <= r.lastEvent {
			continue
		}
		data = append(data, e.Raw...)
		r.lastEvent = max(r.lastEvent, e.Number)
	}
	return r.write(data)
}
