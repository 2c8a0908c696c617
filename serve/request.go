// Package serve runs a request from a caller against the fleet. It knows
// nothing of the protocol that callers speak.
package serve

import (
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Request is a request from a caller.
type Request struct {
	// ID identifies the request in logs, answers and at upstreams.
	ID string
	// Key is the digest of the caller's key; it is unused on open routes.
	Key fleet.KeyDigest
	// HasKey tells whether the caller presented a key.
	HasKey bool
	// Model names the model, or is empty for a plain service.
	Model string
	// Route is the plain service's route, or nil for a model.
	Route *fleet.Route
	// Method is the HTTP method at the upstream.
	Method string
	// Path is the path and query at the upstream.
	Path string
	// ContentType is the type of Body.
	ContentType string
	// Accept lists the types that the caller accepts.
	Accept string
	// Body is the request's body.
	Body []byte
	// Prefix is a hash of the start of a model's prompt, or 0.
	Prefix uint64
	// Stream tells that the answer is passed on as it arrives.
	Stream bool
	// Received is when the request arrived.
	Received time.Time
}

// idempotent tells whether the request may run more than once.
func (r *Request) idempotent() bool {
	return r.Route == nil || r.Route.MayRepeat(r.Method)
}

// Sink receives an answer.
type Sink interface {
	// Start receives the status and type of the answer. It is called once,
	// before any content.
	Start(status int, contentType string) error
	// Write receives a part of the content.
	Write(data []byte) error
}
