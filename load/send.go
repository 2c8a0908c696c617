package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/baobablanding/baobablanding/gateway"
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	kind       outcomeKind
	code       int // result code; set if the request was rejected
	firstToken time.Time
	end        time.Time
	intervals  []time.Duration // inter-event intervals of the stream
}

type outcomeKind uint8

const (
	answered   outcomeKind = iota // complete response
	rejected                      // error response that says that the request was not run
	failed                        // no response, or another error response
	incomplete                    // response that broke off
)

// sender sends the online requests of a run. It may be used by several goroutines.
type sender struct {
	http        httpc.Service
	addressPool *addressPool
	model       string
	request     RequestShape
}

// send sends the request of the arrival and returns its outcome. Like a load balancer, it
// goes on to the next address if it cannot connect. A request that may have been sent is
// not sent again.
func (s *sender) send(ctx context.Context, a *Arrival, workspace string) outcome {
	body := s.body(a, workspace)
	var err error
	for range s.addressPool.count() {
		var resp *http.Response
		address := s.addressPool.next()
		resp, err = s.post(ctx, address, workspace, body)
		if err == nil {
			defer resp.Body.Close()
			return s.read(resp)
		}
		if !isDialError(err) {
			break
		}
		s.addressPool.remove(address)
	}
	return outcome{kind: failed, end: time.Now()}
}

// isDialError reports whether the error is a failure to connect, so that the request was
// not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// body returns the request body of the arrival. Its prompt depends only on the workspace and
// the number of the prompt.
func (s *sender) body(a *Arrival, workspace string) []byte {
	prompt := fmt.Sprintf("stop %d of %s: what was ordered, and what is owed?", a.Prompt, workspace)
	return chatBody(s.model, prompt, s.request.Tokens, !s.request.NoStream)
}

// chatBody returns the JSON body of a chat completion request.
func chatBody(model, prompt string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, prompt)
}

// post sends the body to the address, with the workspace's API key if there is one.
func (s *sender) post(ctx context.Context, address, workspace string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key := s.addressPool.keys[workspace]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return s.http.DoRequest(req)
}

// read reads the response to its end.
func (s *sender) read(resp *http.Response) outcome {
	switch {
	case resp.StatusCode != http.StatusOK:
		return readErrorResponse(resp)
	case s.request.NoStream:
		return readResponse(resp)
	default:
		return readStream(resp)
	}
}

// readErrorResponse reads an error response. The request counts as rejected only if the
// response says that it was not run, as failed otherwise.
func readErrorResponse(resp *http.Response) outcome {
	var body gateway.ErrorBody
	err := json.NewDecoder(resp.Body).Decode(&body)
	out := outcome{kind: failed, end: time.Now()}
	if err == nil && body.Error.NotRun {
		out.kind, out.code = rejected, body.Error.Code
	}
	return out
}

// readResponse reads a response without streaming. Its first token counts as received at
// the end. A response that breaks off or is no JSON is incomplete.
func readResponse(resp *http.Response) outcome {
	data, err := io.ReadAll(resp.Body)
	now := time.Now()
	out := outcome{kind: answered, firstToken: now, end: now}
	if err != nil || !json.Valid(data) {
		out.kind = incomplete
	}
	return out
}

var (
	eventPrefix = []byte("data: ")
	doneEvent   = []byte("data: [DONE]")
)

// readStream reads a stream of server-sent events and records the time of the first event
// and the inter-event intervals. A stream without the final [DONE] event is incomplete.
func readStream(resp *http.Response) outcome {
	out := outcome{kind: incomplete}
	reader := bufio.NewReader(resp.Body)
	var previous time.Time
	for {
		line, err := reader.ReadSlice('\n')
		now := time.Now()
		if err != nil {
			out.end = now
			return out
		}
		if !bytes.HasPrefix(line, eventPrefix) {
			continue
		}
		if bytes.HasPrefix(line, doneEvent) {
			out.kind = answered
			continue
		}
		if previous.IsZero() {
			out.firstToken = now
		} else {
			out.intervals = append(out.intervals, now.Sub(previous))
		}
		previous = now
	}
}
