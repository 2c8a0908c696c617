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
}

// Request is a request from a caller.
type Request struct {
	Message
	// Received is when the request arrived.
	Received clock.Instant
	// Patience is how long the caller waits for its response, or 0 if it did not
	// say.
	Patience time.Duration
}

// Sink receives the response to a request.
type Sink interface {
	// Start receives the status and the headers. It is called once, before any
	// content.
	Start(status int, header Header) error
	// Write receives a part of the content and sends it to the caller at once.
	Write(data []byte) error
}

// Call is one attempt to run a request at one engine.
type Call struct {
	Message
	// Workspace is the name of the tenant that the engine is told, or "".
	Workspace string
	// Engine is the engine that must run the request.
	Engine *blackboard.Engine
	// Left is how long the engine may work on the request, or 0 without a limit.
	Left time.Duration
	// After is the number of the event after which the engine resumes the stream,
	// or a negative number for a stream from its start.
	After int64
}

// Class tells how the response of an engine is treated.
type Class int

const (
	// Succeeded means that the engine did what was asked for.
	Succeeded Class = iota
	// Failed means that the engine ran the request and failed.
	Failed
	// Unavailable means that the engine did not complete the request.
	Unavailable
	// Hopeless means that no engine can ever run the request.
	Hopeless
	// Rejected means that the request itself is invalid.
	Rejected
)

// Answer is the response of an engine.
type Answer struct {
	// Status is passed on without being interpreted.
	Status int
	Class  Class
	Header Header
	// NotRun reports whether the engine rejected the request without running it.
	NotRun bool
	// Misdirected reports whether the address belongs to another engine.
	Misdirected bool
	// Events reports whether the body is a stream of events.
	Events bool
	// Running and Waiting are the numbers of requests that the engine had when it
	// began to respond, or -1 if it did not report them.
	Running, Waiting int
	// Body is the content. It returns an error other than io.EOF if it ends early.
	// Whoever sent the request must close it.
	Body io.ReadCloser
}

// recordLoad records the load that the engine reported with its response.
func (r *Answer) recordLoad(engine *blackboard.Engine) {
	if r.Running >= 0 {
		engine.Load.Own.Set(int64(r.Running+r.Waiting), clock.Now())
	}
}

// CallError is the error of an attempt that got no response.
type CallError struct {
	// Sent reports whether the engine may have received the request.
	Sent bool
	Err  error
}

// Error returns the text of the cause.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Engines sends requests to engines. It is used by several goroutines at once. When
// ctx ends, the connection of the attempt is closed.
type Engines interface {
	Call(ctx context.Context, req *Call) (*Answer, error)
}
