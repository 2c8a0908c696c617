// Package serve runs a caller's request at one of the fleet's upstreams. It is
// independent of the protocol that callers speak.
package serve

import (
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Request is a request from a caller.
type Request struct {
	// ID identifies the request in logs, in responses and at upstreams.
	ID string
	// Key is the digest of the caller's key. It is not used on open routes.
	Key fleet.KeyDigest
	// HasKey reports whether the caller presented a key.
	HasKey bool
	// Model is the name of the model, or "" for a plain service.
	Model string
	// Route is the route of a plain service, or nil for a model.
	Route *fleet.Route
	// Method is the HTTP method at the upstream.
	Method string
	// Path is the path and query at the upstream.
	Path string
	// ContentType is the type of Body.
	ContentType string
	// Accept lists the types that the caller accepts.
	Accept string
	// Body is the complete body.
	Body []byte
	// PrefixHash is a hash of the start of a model's prompt, or 0 if there is none.
	PrefixHash uint64
	// Stream reports whether the response is passed on as it arrives.
	Stream bool
	// Received is when the request arrived.
	Received time.Time
}

// idempotent reports whether the request may run more than once.
func (r *Request) idempotent() bool {
	return r.Route == nil || r.Route.IsIdempotent(r.Method)
}

// Sink receives the response to a request.
type Sink interface {
	// Start receives the status and content type. It is called once, before any
	// content.
	Start(status int, contentType string) error
	// Write receives a part of the content.
	Write(data []byte) error
}
