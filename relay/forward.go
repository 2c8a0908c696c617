package relay

import (
	"bytes"
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
	if a.response.IsEventStream && a.response.Class == Succeeded {
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
	if a.response.Class == Succeeded {
		r.recordWritten(a)
	}
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

// forwardEvents passes complete events on as they arrive, except those that the
// caller already has from an earlier attempt. A stream that ends within an event is
// incomplete.
func (r *activeRequest) forwardEvents(a *attempt, silence *silenceWatch) error {
	reader := NewEventReader(a.response.Body)
	meter := IntervalMeter{Health: &a.engine.Load.Health}
	for {
		events, err := reader.Next()
		if err == io.EOF && len(bytes.TrimSpace(reader.Rest())) == 0 {
			return r.startResponse(a.response)
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return a.incomplete(err)
		}
		if err := r.startResponse(a.response); err != nil {
			return err
		}
		meter.Observe(len(events), clock.Now())
		r.countEvents(a, len(events))
		if err := r.forwardNewEvents(events); err != nil {
			return err
		}
		silence.eventArrived(r.lastEvent)
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
