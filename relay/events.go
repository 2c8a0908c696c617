package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is one complete event of a stream (text/event-stream).
type Event struct {
	// Raw holds the bytes of the event as sent, with its closing blank line.
	Raw []byte
	// Number is the event's id, or -1 if it has no numeric id.
	Number int64
	// IsComment reports whether the event has nothing but comments and blank lines.
	IsComment bool
	// Data is the content of the event's data lines, joined by newlines.
	Data []byte
}

const (
	readBufferBytes = 16 << 10
	// maxEventBytes bounds the bytes that may arrive without the end of an event.
	maxEventBytes = 256 << 10
)

var errEventTooLarge = errors.New("relay: event is larger than 256 KiB")

// EventReader reads complete events from a stream. It never returns an event that
// was cut off. It must not be used by several goroutines at once.
type EventReader struct {
	src        io.Reader
	buf        []byte // bytes that were not returned as events yet
	readBuffer []byte
	err        error // of the last read from src
}

// NewEventReader returns a reader of the stream src.
func NewEventReader(src io.Reader) *EventReader {
	return &EventReader{src: src, readBuffer: make([]byte, readBufferBytes)}
}

// Next waits for at least one event and returns all that have arrived. At the end
// of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream ended within an
// event; after a failed read it returns the error of that read. Rest then returns the
// bytes after the last event. Next fails once more than 256 KiB have arrived without the
// end of an event.
func (r *EventReader) Next() ([]Event, error) {
	for {
		if events := r.takeEvents(); len(events) > 0 {
			return events, nil
		}
		if r.err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if r.err != nil {
			return nil, r.err
		}
		if len(r.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		n, err := r.src.Read(r.readBuffer)
		r.buf = append(r.buf, r.readBuffer[:n]...)
		r.err = err
	}
}

// Rest returns the bytes after the last complete event.
func (r *EventReader) Rest() []byte { return r.buf }

// takeEvents removes the complete events from the buffer and returns them.
func (r *EventReader) takeEvents() []Event {
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
	e := Event{Raw: raw, Number: -1, IsComment: true}
	first := true
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		e.IsComment = e.IsComment && (len(line) == 0 || line[0] == ':')
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
