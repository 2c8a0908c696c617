package relay

import (
	"io"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// pass hands the answer to the sink.
func (r *run) pass(answer *Answer, engine *blackboard.Engine, watch *time.Timer) error {
	if answer.Events && answer.Class == Succeeded {
		return r.passEvents(answer, engine, watch)
	}
	watch.Stop()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes))
	if err != nil {
		return result.New(result.AnswerIncomplete, result.MayHaveRun)
	}
	if err := r.start(answer); err != nil {
		return err
	}
	return r.write(body)
}

func (r *run) start(answer *Answer) error {
	if r.started {
		return nil
	}
	r.started, r.first = true, clock.Now()
	r.running, r.waiting = answer.Running, answer.Waiting
	if err := r.sink.Start(answer.Status, answer.Header); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

func (r *run) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := r.sink.Write(data); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

// passEvents passes whole events on as they arrive. Events that the caller has
// already are left out.
func (r *run) passEvents(answer *Answer, engine *blackboard.Engine, watch *time.Timer) error {
	reader := NewEventReader(answer.Body)
	pace := Pace{Health: &engine.Load.Health}
	for {
		events, err := reader.Next()
		if err == io.EOF {
			if err := r.start(answer); err != nil {
				return err
			}
			return r.write(reader.Rest())
		}
		if err != nil {
			return result.New(result.AnswerIncomplete, result.MayHaveRun)
		}
		if err := r.start(answer); err != nil {
			return err
		}
		watch.Reset(eventSilence)
		pace.Note(len(events), clock.Now())
		if err := r.passNew(events); err != nil {
			return err
		}
	}
}

func (r *run) passNew(events []Event) error {
	var data []byte
	for _, e := range events {
		if e.Number >= 0 && e.Number <= r.last {
			continue
		}
		data = append(data, e.Raw...)
		r.last = max(r.last, e.Number)
	}
	return r.write(data)
}
