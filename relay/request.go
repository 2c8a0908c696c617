// Package relay runs a caller's request at one of the registered engines. It is
// independent of the protocols that callers and engines speak.
package relay

import (
	"context"
	"io"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// Header holds the headers of a request or a response, which are passed on without
// being interpreted.
type Header map[string][]string

// Message is the part of a request that is passed from the caller to the engine.
type Message struct {
	// ID identifies the request.
	ID   string
	Host string
	// Target is the path with the query.
	Target string
	Method string
	Header Header
	// Body is the complete body.
	Body []byte
	// Segments are the segments of the prompt that other requests may share.
	Segments []blackboard.Segment
	// Tokens is the number of tokens that the request takes in an engine's memory when its
	// output is complete, or 0 if that is not known.
	Tokens int64
}

// Request is a request from a caller.
type Request struct {
	Message
	// Received is when the request arrived.
	Received clock.Instant
	// CallerTimeout is how long the caller waits for its response, or 0 if it did not
	// say.
	CallerTimeout time.Duration
}

// Sink receives the response to a request.
type Sink interface {
	// Start receives the status and the headers. It is called once, before any
	// content.
	Start(status int, header Header) error
	// Write receives a part of the content and sends it to the caller at once.
	Write(data []byte) error
}

// EngineRequest is one attempt to run a request at one engine.
type EngineRequest struct {
	Message
	// Workspace is the name of the workspace, which is sent to the engine, or "".
	Workspace string
	// Engine is the engine that must run the request.
	Engine *blackboard.Engine
	// Timeout is how long the engine may work on the request, or 0 without a limit.
	Timeout time.Duration
	// AfterEvent is the number of the event after which the engine resumes the stream,
	// or a negative number for a stream from its start.
	AfterEvent int64
}

// ResponseClass says how the response of an engine is treated.
type ResponseClass int

const (
	// Succeeded means that the engine did what was asked for.
	Succeeded ResponseClass = iota
	// Failed means that the engine ran the request and failed.
	Failed
	// Unavailable means that the engine did not complete the request.
	Unavailable
	// Unprocessable means that no engine can ever run the request.
	Unprocessable
	// InvalidRequest means that the request itself is invalid.
	InvalidRequest
)

// Response is the response of an engine.
type Response struct {
	// Status is passed on without being interpreted.
	Status int
	Class  ResponseClass
	Header Header
	// NotRun reports whether the engine rejected the request without running it.
	NotRun bool
	// Misdirected reports whether the address belongs to another engine.
	Misdirected bool
	// IsEventStream reports whether the body is a stream of events.
	IsEventStream bool
	// EndsWithConnection reports whether the body has neither a length nor chunks, so that
	// it looks complete wherever its connection is closed.
	EndsWithConnection bool
	// Running and Waiting are the numbers of requests that the engine had when it
	// began to respond, or -1 if it did not report them.
	Running, Waiting int
	// Pace says, in percent, how long work took on the engine's VM at that moment, or is 0
	// if the engine did not report it.
	Pace int
	// Leaving reports whether the engine shuts down and takes no new work.
	Leaving bool
	// Body is the content. It returns an error other than io.EOF if it ends early.
	// Whoever sent the request must close it.
	Body io.ReadCloser
}

// failed reports whether the engine failed to do what was asked for.
func (r *Response) failed() bool { return r.Class == Failed || r.Class == Unavailable }

// RecordLeaving records whether the engine said that it shuts down. It reports whether that
// is news. A response of another engine at the address says nothing about this one.
func (r *Response) RecordLeaving(engine *blackboard.Engine) bool {
	return r.Leaving && !r.Misdirected && !engine.Load.Leaving.Swap(true)
}

// RecordLoad records the load that the engine reported with its response. Of an engine that
// reports its pace only that counts: its number of requests is older than what the daemons tell
// each other, and items were preempted again for requests that had left.
func (r *Response) RecordLoad(engine *blackboard.Engine) {
	switch {
	case r.Running < 0:
	case r.Pace > 0:
		r.RecordPace(engine)
	default:
		engine.Load.OwnReport.Record(int64(r.Running+r.Waiting), clock.Now())
	}
}

// RecordPace records the pace that the engine reported, but not its number of requests.
func (r *Response) RecordPace(engine *blackboard.Engine) {
	if r.Pace > 0 && !r.Misdirected {
		engine.Load.OwnPace.Record(int64(r.Pace), clock.Now())
	}
}

// NoResponseError is the error of an attempt that got no response.
type NoResponseError struct {
	// Sent reports whether the engine may have received the request.
	Sent bool
	Err  error
}

// Error returns the text of the cause.
func (e *NoResponseError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// EngineClient sends requests to engines. It is used by several goroutines at once.
type EngineClient interface {
	// Send makes one attempt. When ctx ends, the connection of the attempt is closed.
	// An attempt that got no response fails with a *NoResponseError.
	Send(ctx context.Context, req *EngineRequest) (*Response, error)
	// Refuses makes one connection attempt and reports whether the engine's VM refused
	// it, because no process listens at the engine's address. It reports false if the
	// attempt had no result in a short time, or ctx ended.
	Refuses(ctx context.Context, engine *blackboard.Engine) bool
}
