// Package relay runs a caller's request at one of the registered engines. It
// knows nothing of the protocols that callers and engines speak.
package relay

import (
	"context"
	"io"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// Header holds the headers of a request or an answer, which are passed on
// unread.
type Header map[string][]string

// Message is what a caller sends and an engine gets.
type Message struct {
	// ID identifies the request.
	ID   string
	Host string
	// Target is the path with the query.
	Target string
	Method string
	Header Header
	// Body is the whole body.
	Body []byte
}

// Request is a request from a caller.
type Request struct {
	Message
	// Received is when the request arrived.
	Received clock.Instant
	// Patience is how long the caller waits, or 0 if it did not say.
	Patience time.Duration
}

// Sink receives the answer.
type Sink interface {
	// Start receives the status and the headers. It is called once, before any
	// content.
	Start(status int, header Header) error
	// Write receives a part of the content, which is sent at once.
	Write(data []byte) error
}

// Call is one request to one engine.
type Call struct {
	Message
	// Workspace is the tenant that the engine is told, or empty.
	Workspace string
	// Engine is the engine that must run the request.
	Engine *blackboard.Engine
	// Left is how long the engine may work on the request, or 0 for no bound.
	Left time.Duration
	// After is the number of the event after which the stream goes on, or a
	// negative number for a whole answer.
	After int64
}

// Class is what an engine's answer means.
type Class int

const (
	// Succeeded answers carry what was asked for.
	Succeeded Class = iota
	// Failed answers tell that the engine failed at the request.
	Failed
	// Unavailable answers tell that the engine did not get it done.
	Unavailable
	// Hopeless answers tell that no engine can ever do it.
	Hopeless
	// Rejected answers tell that the request itself was wrong.
	Rejected
)

// Answer is an engine's answer.
type Answer struct {
	// Status is passed on unread.
	Status int
	Class  Class
	Header Header
	// NotRun tells that the engine did not run the request.
	NotRun bool
	// Misdirected tells that another engine has the address.
	Misdirected bool
	// Events tells that the body is a stream of events.
	Events bool
	// Running and Waiting are the engine's requests when it began to answer, or
	// -1 if it does not tell.
	Running, Waiting int
	// Body is the rest of the answer. An early end is an error other than
	// io.EOF.
	Body io.ReadCloser
}

// note keeps the load that the engine reported with its answer.
func (a *Answer) note(engine *blackboard.Engine) {
	if a.Running >= 0 {
		engine.Load.Own.Set(int64(a.Running+a.Waiting), clock.Now())
	}
}

// CallError is a call without an answer.
type CallError struct {
	// Sent tells that the engine may have received the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Engines sends calls to engines. When ctx ends, the call's connection is
// closed.
type Engines interface {
	Call(ctx context.Context, call *Call) (*Answer, error)
}
