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

// outcome is what a caller saw of one request.
type outcome struct {
	kind       outcomeKind
	code       int // of a refusal
	firstToken time.Time
	end        time.Time
	gaps       []time.Duration // between tokens
}

type outcomeKind uint8

const (
	answered outcomeKind = iota
	refused
	failed
	incomplete
)

// sender sends one online request.
type sender struct {
	http    httpc.Service
	targets *targets
	model   string
	shape   RequestShape
}

// send sends the arrival's request and returns what came of it. Like a
// balancer, it goes on to the next target when a connection is refused.
func (s *sender) send(ctx context.Context, a *Arrival, workspace string) outcome {
	body := s.body(a, workspace)
	var err error
	for range s.targets.count() {
		var resp *http.Response
		target := s.targets.next()
		resp, err = s.post(ctx, target, workspace, body)
		if err == nil {
			defer resp.Body.Close()
			return s.read(resp)
		}
		if !neverSent(err) {
			break
		}
		s.targets.failed(target)
	}
	return outcome{kind: failed, end: time.Now()}
}

// neverSent tells whether no connection could be made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (s *sender) body(a *Arrival, workspace string) []byte {
	prompt := fmt.Sprintf("stop %d of %s: what was ordered, and what is owed?", a.Prompt, workspace)
	return chatBody(s.model, prompt, s.shape.Tokens, !s.shape.Whole)
}

func chatBody(model, prompt string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, prompt)
}

func (s *sender) post(ctx context.Context, target, workspace string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key := s.targets.keys[workspace]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return s.http.DoRequest(req)
}

func (s *sender) read(resp *http.Response) outcome {
	switch {
	case resp.StatusCode != http.StatusOK:
		return readRefusal(resp)
	case s.shape.Whole:
		return readWhole(resp)
	default:
		return readStream(resp)
	}
}

// readRefusal reads an error answer. It is a refusal only if it says that the
// request was not run.
func readRefusal(resp *http.Response) outcome {
	var body gateway.ErrorBody
	err := json.NewDecoder(resp.Body).Decode(&body)
	out := outcome{kind: failed, end: time.Now()}
	if err == nil && body.Error.NotRun {
		out.kind, out.code = refused, body.Error.Code
	}
	return out
}

func readWhole(resp *http.Response) outcome {
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
	lastEvent   = []byte("data: [DONE]")
)

// readStream reads a stream of events and times each.
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
		if bytes.HasPrefix(line, lastEvent) {
			out.kind = answered
			continue
		}
		if previous.IsZero() {
			out.firstToken = now
		} else {
			out.gaps = append(out.gaps, now.Sub(previous))
		}
		previous = now
	}
}
