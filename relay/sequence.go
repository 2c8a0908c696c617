package relay

import "errors"

// Errors of EventSequence.Accept.
var (
	errEventsMissing   = errors.New("relay: stream does not go on after the last event")
	errNoNewEvents     = errors.New("relay: response ended with its connection before any content")
	errUnnumberedEvent = errors.New("relay: event without a number in a numbered stream")
)

// EventSequence follows the numbers of the events of one response.
type EventSequence struct {
	// Last is the number of the last event that the receiver has, or -1.
	Last int64
	// HasNew reports whether the response had an event that the receiver did not have.
	HasNew bool
	// HasUnnumbered reports whether one of these had no number.
	HasUnnumbered bool
}

// Accept reports whether the receiver lacks the event. It fails if the event cannot follow
// those that the receiver has: events are missing before the first new one of the
// response, or the event has no number although the others have one.
func (s *EventSequence) Accept(e *Event) (isNew bool, err error) {
	switch {
	case e.Number < 0 && s.Last >= 0:
		return false, errUnnumberedEvent
	case e.Number >= 0 && e.Number <= s.Last:
		return false, nil
	case !s.HasNew && s.Last >= 0 && e.Number > s.Last+1:
		return false, errEventsMissing
	}
	s.HasNew, s.Last = true, max(s.Last, e.Number)
	s.HasUnnumbered = s.HasUnnumbered || e.Number < 0
	return true, nil
}

// take returns the bytes of the comments and of the events that the receiver lacks, and the
// number of these events. It stops with an error at the first event that cannot follow.
func (s *EventSequence) take(events []Event) (data []byte, newEvents int, err error) {
	for i := range events {
		if events[i].IsComment {
			data = append(data, events[i].Raw...)
			continue
		}
		isNew, err := s.Accept(&events[i])
		if err != nil {
			return data, newEvents, err
		}
		if isNew {
			data = append(data, events[i].Raw...)
			newEvents++
		}
	}
	return data, newEvents, nil
}

// CheckEnd returns an error if the response, which ended without an error, may not be all
// that the receiver lacks: it had no event, and no engine has said that there are none left.
func (s *EventSequence) CheckEnd(response *Response) error {
	saysSo := s.Last >= 0 && response.IsEventStream && !response.EndsWithConnection
	if !s.HasNew && !saysSo {
		return errNoNewEvents
	}
	return nil
}
