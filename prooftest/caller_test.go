package prooftest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/history"
	"github.com/baobablanding/baobablanding/standin"
)

// callTimeout is the longest time of one request of a caller.
const callTimeout = 10 * time.Second

// callerStartInterval is the time between the starts of two callers of a group. It keeps
// their requests out of step, so that at any time some request is running.
const callerStartInterval = 53 * time.Millisecond

// answerTokens is the number of tokens of each chat answer.
const answerTokens = 4

// requestKind is the kind of the requests that a caller sends.
type requestKind int

const (
	wholeChat requestKind = iota
	streamedChat
	nonIdempotentCall // a POST to a service that is not an engine
)

// caller sends the requests of one workspace to one gateway and records them.
type caller struct {
	url         string // base URL of the gateway
	model       string
	routePrefix string // path prefix of the route to services
	workspace   string
	key         string // API key; none is sent if it is empty
	recorder    *history.Recorder
	http        *http.Client // nil for http.DefaultClient
}

func (c *caller) client() *http.Client {
	if c.http == nil {
		return http.DefaultClient
	}
	return c.http
}

// call sends a request with the token as its content, waits until it has ended, records
// it and returns the record.
func (c *caller) call(ctx context.Context, kind requestKind, token string) history.Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := history.Call{Token: token, Workspace: c.workspace, NonIdempotent: kind == nonIdempotentCall, Sent: time.Now()}
	call.Outcome, call.Answer = c.send(ctx, kind, token)
	call.Ended = time.Now()
	c.recorder.Add(call)
	return call
}

// send sends one request and returns its outcome with the content of the answer, or with
// the name or text of the error.
func (c *caller) send(ctx context.Context, kind requestKind, token string) (history.Outcome, string) {
	path, body := "/v1/chat/completions", c.chatBody(kind == streamedChat, token)
	if kind == nonIdempotentCall {
		path, body = c.routePrefix+"/new", token
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, strings.NewReader(body))
	if err != nil {
		return history.Unknown, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return history.Unknown, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return history.Unknown, err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		return outcomeOfError(data)
	}
	return parseAnswer(kind, data)
}

func (c *caller) chatBody(stream bool, token string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		c.model, stream, answerTokens, token)
}

// outcomeOfError returns the outcome stated by the body of an error response, and the name
// of the error. The outcome of a body in another format is Unknown.
func outcomeOfError(data []byte) (history.Outcome, string) {
	var body gateway.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == 0 {
		return history.Unknown, string(data)
	}
	if body.Error.NotRun {
		return history.NotRun, body.Error.Name
	}
	return history.Failed, body.Error.Name
}

// parseAnswer returns the content of a response with status 200. The outcome is Answered,
// or Failed for a stream without its last event, because the caller can detect that.
// Malformed content counts as Answered, so that it fails the comparison with the
// expected answer.
func parseAnswer(kind requestKind, data []byte) (history.Outcome, string) {
	switch kind {
	case nonIdempotentCall:
		var echo struct{ Body string }
		if err := json.Unmarshal(data, &echo); err != nil {
			return history.Answered, err.Error()
		}
		return history.Answered, echo.Body
	case streamedChat:
		return parseStream(string(data))
	default:
		var answer struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) == 0 {
			return history.Answered, "malformed: " + string(data)
		}
		return history.Answered, answer.Choices[0].Message.Content
	}
}

// parseStream is parseAnswer for a streamed chat.
func parseStream(data string) (history.Outcome, string) {
	events, ended := strings.CutSuffix(data, "data: [DONE]\n\n")
	if !ended {
		return history.Failed, data
	}
	var text strings.Builder
	for event := range strings.SplitSeq(events, "\n\n") {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		content, ok := strings.CutPrefix(event, "data: ")
		if !ok || json.Unmarshal([]byte(content), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return history.Answered, text.String()
}

// expectedAnswer returns a function that returns the complete answer of the stand-in
// upstreams to a call of the kind.
func expectedAnswer(kind requestKind) func(history.Call) string {
	return func(c history.Call) string {
		switch kind {
		case nonIdempotentCall:
			return c.Token
		case streamedChat:
			return "answer to: " + c.Token + " t1 t2 t3"
		default:
			return "answer to: " + c.Token
		}
	}
}

// callerGroup is a group of callers that send requests concurrently.
type callerGroup struct {
	wg          sync.WaitGroup
	stopSending context.CancelFunc
}

// startCallers starts one goroutine for each caller, which sends requests of the kind with
// a pause after each, until stopAndWait is called or ctx is cancelled.
func startCallers(ctx context.Context, list []*caller, kind requestKind, pause time.Duration) *callerGroup {
	ctx, cancel := context.WithCancel(ctx)
	group := &callerGroup{stopSending: cancel}
	for i, c := range list {
		group.wg.Add(1)
		go func() {
			defer group.wg.Done()
			time.Sleep(time.Duration(i) * callerStartInterval)
			c.repeat(ctx, kind, fmt.Sprintf("%s-kind%d-caller%d", c.workspace, kind, i), pause)
		}()
	}
	return group
}

// repeat sends requests until ctx is cancelled. The running request is not cancelled with
// ctx, so that each recorded outcome comes from the fleet.
func (c *caller) repeat(ctx context.Context, kind requestKind, name string, pause time.Duration) {
	for n := 0; ; n++ {
		c.call(context.WithoutCancel(ctx), kind, fmt.Sprintf("%s-%d", name, n))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// stopAndWait stops the callers and waits until the last request of each has ended.
func (g *callerGroup) stopAndWait() {
	g.stopSending()
	g.wg.Wait()
}

// arrivals returns the requests that the upstreams of the inventory have received so far.
func arrivals(t *testing.T, inv *fleet.Inventory) []history.Arrival {
	t.Helper()
	var list []history.Arrival
	for _, u := range inv.Upstreams {
		for _, request := range seenRequests(t, u.URL) {
			list = append(list, history.Arrival{Upstream: u.Name, Token: request.Prompt, HasCredential: request.HasCredential, At: request.ReceivedAt})
		}
	}
	return list
}

// seenRequests returns the requests that the stand-in upstream at url has received.
func seenRequests(t *testing.T, url string) []standin.ReceivedRequest {
	t.Helper()
	resp, err := http.Get(url + "/seen")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list []standin.ReceivedRequest
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	return list
}

// setFaults sets the faults of the stand-in at url.
func setFaults(t *testing.T, url string, f standin.Faults) {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url+standin.FaultsPath, "application/json", strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// checkGuarantee fails the test if err, the result of the check of a guarantee, is not nil.
func checkGuarantee(t *testing.T, guarantee string, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("%s: %v", guarantee, err)
	}
}

// checkRequests checks the guarantees that hold for all requests of a kind, with or without
// failures. The keys are the API keys by workspace.
func checkRequests(t *testing.T, kind requestKind, calls []history.Call, arrived []history.Arrival, keys map[string]string) {
	t.Helper()
	var texts []string
	for _, key := range keys {
		texts = append(texts, key)
	}
	checkGuarantee(t, "at most once", history.CheckAtMostOnce(calls, arrived))
	checkGuarantee(t, "not run is true", history.CheckNotRun(calls, arrived))
	checkGuarantee(t, "answers come from upstreams", history.CheckAnsweredRan(calls, arrived))
	checkGuarantee(t, "complete answers to own requests", history.CheckAnswersMatch(calls, expectedAnswer(kind)))
	checkGuarantee(t, "no key at upstreams", history.CheckNoCredential(arrived, texts))
}
