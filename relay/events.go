package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is one whole event of a stream (text/event-stream).
type Event struct {
	// Raw is the event as it was sent, with its closing blank line.
	Raw []byte
	// Number is the event's id, or -1 without one.
	Number int64
	// Data is the content of its data lines.
	Data []byte
}

const (
	readSize = 16 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errEventTooLarge = errors.New("relay: event is larger than 1 MiB")

// EventReader reads whole events. Bytes of an event that was cut are never
// returned as an event.
type EventReader struct {
	from io.Reader
	buf  []byte
	read []byte
	err  error
}

// NewEventReader returns a reader of the stream.
func NewEventReader(from io.Reader) *EventReader {
	return &EventReader{from: from, read: make([]byte, readSize)}
}

// Next returns the events that have arrived, at least one. Its error is io.EOF
// at the proper end of the stream. Rest then holds what follows the last event.
func (r *EventReader) Next() ([]Event, error) {
	for {
		if events := r.take(); len(events) > 0 {
			return events, nil
		}
		if r.err != nil {
			return nil, r.err
		}
		if len(r.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		n, err := r.from.Read(r.read)
		r.buf = append(r.buf, r.read[:n]...)
		r.err = err
	}
}

// Rest returns the bytes after the last whole event.
func (r *EventReader) Rest() []byte { return r.buf }

// take removes the whole events from the buffer.
func (r *EventReader) take() []Event {
	var events []Event
	for {
		end := bytes.Index(r.buf, []byte("\n\n"))
		if end < 0 {
			return events
		}
		raw := r.buf[:end+2]
		events = append(events, parseEvent(raw))
		r.buf = r.buf[end+2:]
	}
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw, Number: -1}
	first := true
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if n, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.Number = n
			}
		case "data":
			if !first {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			first = false
		}
	}
	return e
}
