package jobs

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/relay"
)

// oneResponse is an EngineClient that answers each request with the response. Its body
// fails when the context of the request ends.
type oneResponse struct{ response relay.Response }

func (c oneResponse) Send(ctx context.Context, _ *relay.EngineRequest) (*relay.Response, error) {
	response := c.response
	response.Body = cancelledBody{Reader: response.Body, ctx: ctx}
	return &response, nil
}

func (oneResponse) Refuses(context.Context, *blackboard.Engine) bool { return false }

type cancelledBody struct {
	io.Reader
	ctx context.Context
}

func (b cancelledBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

func (cancelledBody) Close() error { return nil }

// repeated is a body that repeats a text without end, with a pause before each.
type repeated struct {
	next  func(n int) string
	pause time.Duration
	n     int
}

func (r *repeated) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	r.n++
	return copy(p, r.next(r.n)), nil
}

// event returns one event of an item's stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

// runItem runs an item that has the events 1 to known, by one response of an engine, and
// returns the outcome and the output after it.
func runItem(t *testing.T, known int, response relay.Response) (runOutcome, string, error) {
	t.Helper()
	c, o := newTestController(0)
	c.engines.Client = oneResponse{response}
	s := o.waiting[0]
	for n := 1; n <= known; n++ {
		if err := s.appendEvent(relay.Event{Number: int64(n), Data: fmt.Appendf(nil, "event %d", n)}); err != nil {
			t.Fatal(err)
		}
	}
	engine := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Slots: 8}, Load: new(blackboard.EngineLoad)}
	outcome, err := c.send(t.Context(), s.newRun("h", engine))
	return outcome, s.result(job.Completed).Result.Output, err
}

// body returns a response whose body is the text.
func body(text string) relay.Response {
	return relay.Response{IsEventStream: true, Body: io.NopCloser(strings.NewReader(text))}
}

// TestOnlyWholeStreamsCompleteItems guards against items that are completed with an output
// that lacks events, or with none, because an engine answered with something else.
func TestOnlyWholeStreamsCompleteItems(t *testing.T) {
	open := func(r relay.Response) relay.Response { r.EndsWithConnection = true; return r }
	noStream := func(r relay.Response) relay.Response { r.IsEventStream = false; return r }
	for name, c := range map[string]struct {
		known    int
		response relay.Response
		want     runOutcome
		output   string
	}{
		"whole":                        {0, body(event(1) + event(2)), completed, "event 1\nevent 2"},
		"whole without length":         {0, open(body(event(1) + event(2))), completed, "event 1\nevent 2"},
		"rest":                         {1, body(event(2)), completed, "event 1\nevent 2"},
		"from the start":               {1, body(event(1) + event(2)), completed, "event 1\nevent 2"},
		"nothing left":                 {2, body(""), completed, "event 1\nevent 2"},
		"comments":                     {1, body(": a\n\n" + event(2) + ": b\n\n"), completed, "event 1\nevent 2"},
		"without length, in an event":  {0, open(body(event(1) + "id: 2\ndata: ev")), interrupted, "event 1"},
		"gap":                          {1, body(event(3)), interrupted, "event 1"},
		"event without a number":       {1, body("data: error\n\n" + event(2)), interrupted, "event 1"},
		"first event without a number": {0, body("data: error\n\n"), interrupted, ""},
		"head of an error":             {1, body("HTTP/1.1 503 Busy\r\nNot-Run: 1\n\nbusy\n\n"), interrupted, "event 1"},
		"no events":                    {0, body(""), interrupted, ""},
		"no events, without length":    {1, open(body("")), interrupted, "event 1"},
		"empty, no stream":             {0, noStream(body("")), interrupted, ""},
		"nothing left, no stream":      {1, noStream(body("")), interrupted, "event 1"},
		"text, no stream":              {0, noStream(body("done\n\n")), interrupted, ""},
	} {
		outcome, output, err := runItem(t, c.known, c.response)
		if outcome != c.want || output != c.output || (outcome == interrupted) != (err != nil) {
			t.Errorf("%s: outcome %d, output %q, %v; want outcome %d, output %q", name, outcome, output, err, c.want, c.output)
		}
	}
}

// TestEndlessEventsDoNotFillTheMemory guards against an output that grows until the memory
// of the VM is used up. The item must then run from its start, since none of the events can
// be trusted.
func TestEndlessEventsDoNotFillTheMemory(t *testing.T) {
	for name, data := range map[string]string{"long events": strings.Repeat("a", 1000), "empty events": ""} {
		endless := &repeated{next: func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data) }}
		bounded := io.LimitReader(endless, 64<<20)
		outcome, output, err := runItem(t, 0, relay.Response{IsEventStream: true, Body: io.NopCloser(bounded)})
		if outcome != interrupted || output != "" || err == nil || endless.n > 2*job.MaxOutputBytes {
			t.Errorf("%s: outcome %d, output of %d bytes after %d events, %v", name, outcome, len(output), endless.n, err)
		}
	}
}

// TestRepeatedEventsDoNotKeepAnItemRunning guards against an item that stays at an engine
// that sends the same event, or comments, without end.
func TestRepeatedEventsDoNotKeepAnItemRunning(t *testing.T) {
	for name, text := range map[string]string{"same event": event(1), "comments": ": a\n\n"} {
		endless := &repeated{next: func(int) string { return text }, pause: 20 * time.Millisecond}
		ended := make(chan runOutcome, 1)
		go func() {
			outcome, _, _ := runItem(t, 1, relay.Response{IsEventStream: true, Body: io.NopCloser(endless)})
			ended <- outcome
		}()
		select {
		case outcome := <-ended:
			if outcome != interrupted {
				t.Errorf("%s: outcome %d", name, outcome)
			}
		case <-time.After(3 * itemIdleTimeout):
			t.Errorf("%s: the item still runs after %v", name, 3*itemIdleTimeout)
		}
	}
}

// TestItemsCountAtTheirEngine guards against daemons that run items only and know nothing of
// the pace that the engines report, against items that are preempted again because an engine's
// number of requests is kept from the start of a run, and against tokens of items that are not
// counted while these run, or still afterwards.
func TestItemsCountAtTheirEngine(t *testing.T) {
	c, o := newTestController(0)
	response := body(event(1) + event(2))
	response.Running, response.Waiting, response.Pace = 5, 2, 120
	c.engines.Client = oneResponse{response}
	c.engines.Tokens = func(map[string]string) int64 { return 240 }
	c.itemsLoaded(o, o.items, nil)
	s := o.waiting[len(o.waiting)-1]
	engine := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Slots: 8}, Load: new(blackboard.EngineLoad)}
	engine.Load.Tokens.Store(1000)
	c.run(t.Context(), s, c.board.Catalog.Value().RouteByName("r"), engine)
	(<-c.events)()
	load := engine.Load
	now := clock.Now()
	if tokens := load.Tokens.Load(); s.newRun("h", engine).message.Tokens != 240 || tokens != 1000 {
		t.Errorf("%d tokens after the run, want those of other requests, 1000", tokens)
	}
	if n, pace := load.OwnReport.Requests(now), load.OwnPace.Requests(now); n != 0 || pace != 120 {
		t.Errorf("%d requests and pace %d by the engine's report, want 0 and 120", n, pace)
	}
}
