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

// RequestIDHeader is the header that carries a request's ID to the upstream. If the
// upstream sets it in the response, it must be the same ID.
const RequestIDHeader = "X-Request-Id"

const (
	maxResponseBytes = 64 << 20 // largest body of a response that is not streamed
	chunkBufferBytes = 16 << 10 // largest data of one chunk
)

// streamEndLine is the last line of a complete event stream of an engine.
var streamEndLine = []byte("data: [DONE]")

// forwarder sends requests to upstreams over HTTP.
type forwarder struct {
	// pooled reuses connections. It is only for idempotent requests, since the HTTP
	// library may send a request again if a reused connection fails.
	pooled httpc.Service
	// singleUse opens a new connection for each request, so that the HTTP library sends
	// no request twice.
	singleUse httpc.Service
}

func newForwarder() *forwarder {
	return &forwarder{
		pooled:    httpserve.NewClient("upstream"),
		singleUse: httpserve.NewSingleUseClient("upstream-once"),
	}
}

// forward sends the request and returns the complete response. The body of a streamed
// response is passed to sink in chunks instead. The error is a *result.Error.
func (f *forwarder) forward(ctx context.Context, up *fleet.Upstream, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error) {
	resp, err := f.do(ctx, up, req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer resp.Body.Close()
	if err := checkResponse(up, req, resp); err != nil {
		return nil, err
	}
	out := &peer.RunResponse{
		ID:          req.ID,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
	}
	if req.Stream && resp.StatusCode == http.StatusOK {
		return out, streamBody(ctx, resp, out, sink)
	}
	out.Body, err = readBody(ctx, up, resp)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// readBody returns the complete body of a response that is not streamed. A body of an
// engine that is no valid JSON counts as incomplete.
func readBody(ctx context.Context, up *fleet.Upstream, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, readError(ctx, err)
	}
	if len(body) > maxResponseBytes {
		return nil, &result.Error{Code: result.UpstreamFailed, Detail: "the answer is too large", Verdict: result.Answered}
	}
	if up.Kind == fleet.KindEngine && resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return nil, result.New(result.AnswerIncomplete, result.MayHaveRun)
	}
	return body, nil
}

// do sends the request and returns once the header of the response has arrived.
func (f *forwarder) do(ctx context.Context, up *fleet.Upstream, req *peer.RunRequest) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, up.URL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, &result.Error{Code: result.BadRequest, Detail: fmt.Sprintf("build request: %v", err)}
	}
	out.Header.Set(RequestIDHeader, req.ID)
	setIfNotEmpty(out.Header, "Content-Type", req.ContentType)
	setIfNotEmpty(out.Header, "Accept", req.Accept)
	if req.Idempotent {
		return f.pooled.DoRequest(out)
	}
	return f.singleUse.DoRequest(out)
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// sendError returns the typed form of an error that occurred before the header of the
// response arrived. A failed dial means that the request was not run.
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
		return cancelledError(ctx, result.MayHaveRun)
	}
	return &result.Error{Code: result.OutcomeUnknown, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// readError returns the typed form of an error that occurred while the response was
// read.
func readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return cancelledError(ctx, result.MayHaveRun)
	}
	return &result.Error{Code: result.AnswerIncomplete, Detail: err.Error(), Verdict: result.MayHaveRun}
}

// cancelledError returns why ctx ended, as an error with the given verdict.
func cancelledError(ctx context.Context, verdict result.Verdict) *result.Error {
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

// checkResponse returns an error if the response belongs to another request, or if it is
// a failure (5xx) of an engine. Other upstreams' failures are passed on to the caller.
func checkResponse(up *fleet.Upstream, req *peer.RunRequest, resp *http.Response) error {
	if id := resp.Header.Get(RequestIDHeader); id != "" && id != req.ID {
		return &result.Error{Code: result.UpstreamFailed, Detail: "the answer belongs to another request", Verdict: result.MayHaveRun}
	}
	if up.Kind != fleet.KindEngine {
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

// streamBuffers holds the read buffers of streams that have ended, for reuse. This is
// why a sink must not keep the data of a chunk.
var streamBuffers = sync.Pool{New: func() any { return new([chunkBufferBytes]byte) }}

// streamBody passes the body to sink as it arrives. It returns an error if the body does
// not end with streamEndLine.
func streamBody(ctx context.Context, resp *http.Response, out *peer.RunResponse, sink func(peer.Chunk) error) error {
	buffer := streamBuffers.Get().(*[chunkBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	buf := buffer[:]
	var tail []byte
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			tail = appendTail(tail, buf[:n])
			if sinkErr := sendChunk(out, buf[:n], sink); sinkErr != nil {
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
	if !isWholeStream(tail) {
		return result.New(result.AnswerIncomplete, result.MayHaveRun)
	}
	return nil
}

// isWholeStream reports whether tail, the end of a stream, ends with streamEndLine as a
// line of its own. The same text at the end of a truncated event does not count.
func isWholeStream(tail []byte) bool {
	tail = bytes.TrimRight(tail, "\r\n")
	start := bytes.LastIndexByte(tail, '\n') + 1
	return bytes.Equal(tail[start:], streamEndLine)
}

// sendChunk passes data to sink as the next chunk of the response. If sink fails, the
// returned error has the code CallerGone.
func sendChunk(out *peer.RunResponse, data []byte, sink func(peer.Chunk) error) error {
	c := peer.Chunk{ID: out.ID, Sequence: out.Chunks, Data: data}
	if c.Sequence == 0 {
		c.Status, c.ContentType = out.Status, out.ContentType
	}
	out.Chunks++
	if err := sink(c); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

// tailBytes is how much of a stream's end is kept to search it for streamEndLine.
const tailBytes = 64

// appendTail returns the last tailBytes bytes of tail followed by data.
func appendTail(tail, data []byte) []byte {
	tail = append(tail, data...)
	return tail[max(0, len(tail)-tailBytes):]
}
