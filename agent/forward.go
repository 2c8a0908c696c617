package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

// RequestIDHeader carries a request's ID to the upstream, which may repeat it
// in its answer.
const RequestIDHeader = "X-Request-Id"

const (
	maxAnswer   = 64 << 20 // bytes of an answer that is not streamed
	chunkBuffer = 16 << 10 // bytes of one chunk
)

// streamEnd is the event that ends a whole stream of an engine.
var streamEnd = []byte("data: [DONE]")

// forwarder sends requests to upstreams over HTTP.
type forwarder struct {
	// repeatable reuses connections; on a reused one the library may send a
	// request again.
	repeatable httpc.Service
	// once uses a new connection for each request, so that no request is sent
	// twice.
	once httpc.Service
}

func newForwarder() *forwarder {
	return &forwarder{
		repeatable: httpserve.NewClient("upstream"),
		once:       httpserve.NewSingleUseClient("upstream-once"),
	}
}

// run sends the request and returns the upstream's whole answer.
func (f *forwarder) run(ctx context.Context, up *fleet.Upstream, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error) {
	resp, err := f.send(ctx, up, req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer resp.Body.Close()
	if err := checkAnswer(up, req, resp); err != nil {
		return nil, err
	}
	out := &peer.RunResponse{
		ID:          req.ID,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
	}
	if req.Stream && resp.StatusCode == http.StatusOK {
		return out, stream(ctx, resp, out, sink)
	}
	out.Body, err = readBody(ctx, up, resp)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// readBody returns the whole content of an answer that is not streamed.
func readBody(ctx context.Context, up *fleet.Upstream, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, readError(ctx, err)
	}
	if len(body) > maxAnswer {
		return nil, &result.Error{Code: result.UpstreamFailed, Detail: "the answer is too large", Verdict: result.Answered}
	}
	if up.Kind == fleet.Engine && resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return nil, result.New(result.AnswerIncomplete, result.MayHaveRun)
	}
	return body, nil
}

func (f *forwarder) send(ctx context.Context, up *fleet.Upstream, req *peer.RunRequest) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, up.URL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, &result.Error{Code: result.BadRequest, Detail: fmt.Sprintf("build request: %v", err)}
	}
	out.Header.Set(RequestIDHeader, req.ID)
	setIf(out.Header, "Content-Type", req.ContentType)
	setIf(out.Header, "Accept", req.Accept)
	if req.Idempotent {
		return f.repeatable.DoRequest(out)
	}
	return f.once.DoRequest(out)
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// sendError classifies an error that came before the answer's header.
func sendError(ctx context.Context, err error) error {
	var typed *result.Error
	if errors.As(err, &typed) {
		return typed
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Errorf(result.UpstreamUnreachable, "dial upstream: %v", op.Err)
	}
	if ctx.Err() != nil {
		return cancelled(ctx, result.MayHaveRun)
	}
	return &result.Error{Code: result.OutcomeUnknown, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// readError classifies an error that came after the request was sent.
func readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return cancelled(ctx, result.MayHaveRun)
	}
	return &result.Error{Code: result.AnswerIncomplete, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// cancelled returns why ctx ended, with the verdict on the request.
func cancelled(ctx context.Context, verdict result.Verdict) *result.Error {
	var typed *result.Error
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &typed):
		return &result.Error{Code: typed.Code, Detail: typed.Detail, Verdict: verdict}
	case errors.Is(cause, context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, verdict)
	default:
		return result.New(result.CallerGone, verdict)
	}
}

// checkAnswer refuses an answer that belongs to another request and an engine's
// failure.
func checkAnswer(up *fleet.Upstream, req *peer.RunRequest, resp *http.Response) error {
	if id := resp.Header.Get(RequestIDHeader); id != "" && id != req.ID {
		return &result.Error{Code: result.UpstreamFailed, Detail: "the answer belongs to another request", Verdict: result.MayHaveRun}
	}
	if up.Kind != fleet.Engine {
		return nil
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return result.New(result.UpstreamOverloaded, result.MayHaveRun)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return &result.Error{
			Code:    result.UpstreamFailed,
			Detail:  fmt.Sprintf("engine answered with status %d", resp.StatusCode),
			Verdict: result.MayHaveRun,
		}
	}
	return nil
}

// streamBuffers holds buffers of streams that have ended. A sink must not keep
// the data of a chunk.
var streamBuffers = sync.Pool{New: func() any { return new([chunkBuffer]byte) }}

// stream passes the answer on as it arrives and checks that it ends as a whole
// stream does.
func stream(ctx context.Context, resp *http.Response, out *peer.RunResponse, sink func(peer.Chunk) error) error {
	buffer := streamBuffers.Get().(*[chunkBuffer]byte)
	defer streamBuffers.Put(buffer)
	buf := buffer[:]
	var tail []byte
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			tail = lastBytes(tail, buf[:n])
			if sinkErr := emit(out, buf[:n], sink); sinkErr != nil {
				return sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return readError(ctx, err)
		}
	}
	if !endsWhole(tail) {
		return result.New(result.AnswerIncomplete, result.MayHaveRun)
	}
	return nil
}

// endsWhole tells whether the last line of a stream is the event that ends it.
func endsWhole(tail []byte) bool {
	tail = bytes.TrimRight(tail, "\r\n")
	start := bytes.LastIndexByte(tail, '\n') + 1
	return bytes.Equal(tail[start:], streamEnd)
}

func emit(out *peer.RunResponse, data []byte, sink func(peer.Chunk) error) error {
	c := peer.Chunk{ID: out.ID, Seq: out.Chunks, Data: data}
	if c.Seq == 0 {
		c.Status, c.ContentType = out.Status, out.ContentType
	}
	out.Chunks++
	if err := sink(c); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

// tailBytes is how much of a stream's end is searched for its last event.
const tailBytes = 64

// lastBytes returns the last bytes of the stream after data was read.
func lastBytes(tail, data []byte) []byte {
	tail = append(tail, data...)
	return tail[max(0, len(tail)-tailBytes):]
}
