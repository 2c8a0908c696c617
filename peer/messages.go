// Package peer carries messages between the system's own processes: calls and
// notifications over JSON-RPC 2.0 on TCP, and answers that arrive in chunks.
package peer

import (
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Methods between processes.
const (
	// MethodRun asks an agent to run a request; the answer is a RunResponse.
	MethodRun = "run"
	// MethodChunk notifies the caller of a part of an answer.
	MethodChunk = "chunk"
	// MethodCancel notifies an agent that an answer is no longer wanted.
	MethodCancel = "cancel"
	// MethodStatus notifies a gateway of the state of an agent's upstreams.
	MethodStatus = "status"
)

// RunRequest asks an agent to forward a request to an upstream.
type RunRequest struct {
	// ID identifies the attempt. It is unique in the fleet.
	ID string `json:"id"`
	// Workspace is the tenant the request runs for, or empty on open routes.
	Workspace string `json:"workspace,omitempty"`
	// Weight is the workspace's share of a contended upstream.
	Weight int `json:"weight,omitempty"`
	// Class is online or batch.
	Class fleet.Class `json:"class"`
	// Upstream names the upstream.
	Upstream string `json:"upstream"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path and query at the upstream.
	Path string `json:"path"`
	// ContentType is the type of Body.
	ContentType string `json:"content_type,omitempty"`
	// Accept lists the types the caller accepts.
	Accept string `json:"accept,omitempty"`
	// Body is the request's body.
	Body []byte `json:"body,omitempty"`
	// Stream tells that the answer is sent in chunks as it arrives.
	Stream bool `json:"stream,omitempty"`
	// Idempotent tells that the request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// NoWait tells that the request is refused rather than queued when no slot
	// is free.
	NoWait bool `json:"no_wait,omitempty"`
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration `json:"timeout"`
	// ConfigVersion is the version of the sender's configuration.
	ConfigVersion uint64 `json:"config_version"`
}

// Chunk is one part of an answer.
type Chunk struct {
	// ID is the RunRequest's ID.
	ID string `json:"id"`
	// Seq numbers the chunks of an answer, starting at 0.
	Seq int `json:"seq"`
	// Status is the HTTP status; it is set in the first chunk.
	Status int `json:"status,omitempty"`
	// ContentType is the type of the answer; it is set in the first chunk.
	ContentType string `json:"content_type,omitempty"`
	// Data is the content of the chunk.
	Data []byte `json:"data"`
}

// RunResponse ends an answer.
type RunResponse struct {
	// ID is the RunRequest's ID.
	ID string `json:"id"`
	// Status is the upstream's HTTP status.
	Status int `json:"status"`
	// ContentType is the type of the answer.
	ContentType string `json:"content_type,omitempty"`
	// Body is the whole answer if it was not sent in chunks.
	Body []byte `json:"body,omitempty"`
	// Chunks is the number of chunks that were sent before.
	Chunks int `json:"chunks,omitempty"`
	// Report is the upstream's load after the request.
	Report Report `json:"report"`
}

// Report describes the load and state of one upstream.
type Report struct {
	// Upstream names the upstream.
	Upstream string `json:"upstream"`
	// State is the state of the upstream.
	State fleet.UpstreamState `json:"state"`
	// InFlight is the number of online requests at the upstream. Batch requests
	// give way to them and do not count.
	InFlight int `json:"in_flight"`
	// Queued is the number of online requests that wait at the agent.
	Queued int `json:"queued"`
	// Limit is the number of requests the agent lets through at once.
	Limit int `json:"limit"`
}

// Status is the state of all upstreams of an agent.
type Status struct {
	// VM is the agent's VM.
	VM string `json:"vm"`
	// Incarnation identifies the agent's process.
	Incarnation string `json:"incarnation"`
	// ConfigVersion is the version the agent has in force.
	ConfigVersion uint64 `json:"config_version"`
	// Draining tells that the agent stops.
	Draining bool `json:"draining"`
	// Reports holds one report for each upstream.
	Reports []Report `json:"reports"`
}

// Cancel names an answer that is no longer wanted.
type Cancel struct {
	// ID is the RunRequest's ID.
	ID string `json:"id"`
}

// MethodVersion notifies an agent of the version that a gateway has in force.
const MethodVersion = "version"

// Version names a version of the configuration.
type Version struct {
	// ConfigVersion is the version that the sender has in force.
	ConfigVersion uint64 `json:"config_version"`
}

// MethodGossip notifies another gateway of what the sender knows.
const MethodGossip = "gossip"

// Gossip is what a gateway tells other gateways.
type Gossip struct {
	// From is the sender's name.
	From string `json:"from"`
	// Incarnation identifies the sender's process.
	Incarnation string `json:"incarnation"`
	// ConfigVersion is the version that the sender has in force.
	ConfigVersion uint64 `json:"config_version"`
	// StoreAge is the time since the sender, or a gateway it heard of, last read
	// the head of the configuration, or negative if none is known.
	StoreAge time.Duration `json:"store_age"`
	// Draining tells that the sender stops.
	Draining bool `json:"draining,omitempty"`
}
