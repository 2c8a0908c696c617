package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
)

const someEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata:\n\n"

// readAll returns the events of a stream that arrives in pieces.
func readAll(r io.Reader) (events []Event, rest string, err error) {
	reader := NewEventReader(r)
	for {
		next, err := reader.Next()
		if err != nil {
			return events, string(reader.Rest()), err
		}
		for _, e := range next {
			e.Raw = append([]byte(nil), e.Raw...)
			events = append(events, e)
		}
	}
}

func TestEventsAreWholeHoweverTheyArrive(t *testing.T) {
	for name, r := range map[string]io.Reader{
		"at once":      strings.NewReader(someEvents),
		"byte by byte": iotest.OneByteReader(strings.NewReader(someEvents)),
		"with the end": iotest.DataErrReader(strings.NewReader(someEvents)),
	} {
		events, rest, err := readAll(r)
		if err != io.EOF || rest != "" || len(events) != 3 {
			t.Fatalf("%s: %d events, rest %q, %v", name, len(events), rest, err)
		}
		if events[1].Number != 2 || string(events[1].Data) != "b\nc" || string(events[1].Raw) != "id: 2\ndata: b\ndata: c\n\n" {
			t.Errorf("%s: event %+v", name, events[1])
		}
	}
}

func TestCutEventsAreNotReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(0, len(someEvents)).Draw(t, "cut")
		broken := errors.New("connection reset")
		r := io.MultiReader(strings.NewReader(someEvents[:cut]), iotest.ErrReader(broken))
		events, rest, err := readAll(r)
		if !errors.Is(err, broken) {
			t.Fatalf("error %v", err)
		}
		var whole strings.Builder
		for _, e := range events {
			whole.Write(e.Raw)
		}
		if whole.String()+rest != someEvents[:cut] || strings.Contains(rest, "\n\n") {
			t.Fatalf("events %q and rest %q of %q", whole.String(), rest, someEvents[:cut])
		}
	})
}

func TestEndlessEventIsRefused(t *testing.T) {
	_, _, err := readAll(strings.NewReader("data: " + strings.Repeat("x", 3*maxEventBytes)))
	if !errors.Is(err, errEventTooLarge) {
		t.Errorf("error %v", err)
	}
}
