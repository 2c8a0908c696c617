package relay

import (
	"errors"
	"io"

	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

const (
	// maxHeldBytes is the size up to which a response that is not a stream is held until
	// it is complete, so that another engine may be tried if it breaks off.
	maxHeldBytes = 256 << 10
	// maxResponseBytes bounds a response that is not a stream. A longer one is incomplete.
	maxResponseBytes = 16 << 20
)

// forward passes the engine's response on to the sink. A response that is not a
// successful stream cannot follow a part of an earlier one.
func (r *activeRequest) forward(a *attempt, silence *silenceWatch) error {
	if a.response.IsEventStream && a.response.Class == Succeeded && !r.unnumbered {
		return r.forwardEvents(a, silence)
	}
	silence.stop()
	if r.responseStarted {
		return a.incomplete(errNoStream)
	}
	return r.forwardBody(a)
}

// Reasons for which a response is incomplete.
var (
	errNoStream        = errors.New("relay: response is no stream that can follow the events before it")
	errResponseTooLong = errors.New("relay: response is larger than 16 MiB")
)

// incomplete keeps the reason for which the response of the attempt is incomplete, and
// returns the error of the request.
func (a *attempt) incomplete(cause error) error {
	a.cause = cause
	return result.New(result.AnswerIncomplete, result.MayHaveRun)
}

// forwardBody passes a body on to the sink: as a whole if it is short, otherwise as it
// arrives. It fails, so that the caller's response is visibly incomplete, if the body
// breaks off or is longer than maxResponseBytes.
func (r *activeRequest) forwardBody(a *attempt) error {
	body := io.LimitReader(a.response.Body, maxResponseBytes+1)
	held, err := io.ReadAll(io.LimitReader(body, maxHeldBytes))
	if err != nil {
		return a.incomplete(err)
	}
	if len(held) == 0 && a.response.EndsWithConnection && a.response.Class == Succeeded {
		return a.incomplete(errNoNewEvents)
	}
	if a.response.Class == Succeeded && !a.response.EndsWithConnection {
		r.recordWritten(a)
	}
	r.bodyStarted = true
	if err := r.startResponse(a.response); err != nil {
		return err
	}
	if err := r.write(held); err != nil || len(held) < maxHeldBytes {
		return err
	}
	return r.forwardRest(a, body)
}

// forwardRest passes on the part of a long body that was not held.
func (r *activeRequest) forwardRest(a *attempt, body io.Reader) error {
	buf := make([]byte, readBufferBytes)
	total := maxHeldBytes
	for {
		n, err := body.Read(buf)
		total += n
		if total > maxResponseBytes {
			return a.incomplete(errResponseTooLong)
		}
		if err != nil && err != io.EOF {
			return a.incomplete(err)
		}
		if writeErr := r.write(buf[:n]); writeErr != nil || err == io.EOF {
			return writeErr
		}
	}
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

// forwardEvents passes complete events on as they arrive, except those that the caller
// already has from an earlier attempt. A stream that ends within an event, or does not go
// on after the caller's last event, is incomplete.
func (r *activeRequest) forwardEvents(a *attempt, silence *silenceWatch) error {
	reader := NewEventReader(a.response.Body)
	sequence := EventSequence{Last: r.lastEvent}
	meter := IntervalMeter{Health: &a.engine.Load.Health}
	for {
		events, err := reader.Next()
		if err == io.EOF {
			return r.endEvents(a, &sequence)
		}
		if err != nil {
			return a.incomplete(err)
		}
		newEvents, err := r.forwardNewEvents(a, &sequence, events)
		if err != nil {
			return err
		}
		if newEvents > 0 {
			r.countEvents(a, newEvents)
			meter.Observe(newEvents, clock.Now())
			silence.eventArrived(r)
			if err := r.checkMove(a); err != nil {
				return err
			}
		}
	}
}

// endEvents ends a stream that the engine ended after a complete event.
func (r *activeRequest) endEvents(a *attempt, sequence *EventSequence) error {
	if err := sequence.CheckEnd(a.response); err != nil {
		return a.incomplete(err)
	}
	if sequence.HasNew && !a.response.EndsWithConnection && !a.written {
		r.recordWritten(a)
	}
	return r.startResponse(a.response)
}

// forwardNewEvents passes on the comments and the events that the caller lacks, up to the
// first one that cannot follow. It returns the number of these events.
func (r *activeRequest) forwardNewEvents(a *attempt, sequence *EventSequence, events []Event) (newEvents int, err error) {
	data, newEvents, invalid := sequence.take(events)
	if len(data) > 0 {
		if err := r.startResponse(a.response); err != nil {
			return 0, err
		}
	}
	r.lastEvent, r.unnumbered = sequence.Last, r.unnumbered || sequence.HasUnnumbered
	if err := r.write(data); err != nil {
		return 0, err
	}
	if invalid != nil {
		return 0, a.incomplete(invalid)
	}
	return newEvents, nil
}
