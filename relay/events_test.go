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

const testStream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata:\n\n"

// readAll returns all events of the stream, the bytes after the last one and the
// error that ended it.
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

func TestNextReturnsCompleteEvents(t *testing.T) {
	for name, r := range map[string]io.Reader{
		"at once":      strings.NewReader(testStream),
		"byte by byte": iotest.OneByteReader(strings.NewReader(testStream)),
		"with the end": iotest.DataErrReader(strings.NewReader(testStream)),
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

func TestNextOmitsIncompleteEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(0, len(testStream)).Draw(t, "cut")
		errReset := errors.New("connection reset")
		r := io.MultiReader(strings.NewReader(testStream[:cut]), iotest.ErrReader(errReset))
		events, rest, err := readAll(r)
		if !errors.Is(err, errReset) {
			t.Fatalf("error %v, want that of the connection", err)
		}
		var complete strings.Builder
		for _, e := range events {
			complete.Write(e.Raw)
		}
		if complete.String()+rest != testStream[:cut] || strings.Contains(rest, "\n\n") {
			t.Fatalf("events %q and rest %q of %q", complete.String(), rest, testStream[:cut])
		}
	})
}

func TestCommentsAndBlankLinesAreNoEvents(t *testing.T) {
	for raw, want := range map[string]bool{
		"\n\n": true, ": a\n\n": true, ": a\n:\n\n": true, ": a\ndata: b\n\n": false, "data: a\n\n": false, "HTTP/1.1 503 Busy\n\n": false,
	} {
		if got := parseEvent([]byte(raw)).IsComment; got != want {
			t.Errorf("%q is a comment: %v", raw, got)
		}
	}
}

func TestNextRejectsTooLargeEvent(t *testing.T) {
	_, _, err := readAll(strings.NewReader("data: " + strings.Repeat("x", 3*maxEventBytes)))
	if !errors.Is(err, errEventTooLarge) {
		t.Errorf("error %v, want errEventTooLarge", err)
	}
}
