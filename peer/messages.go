// Package peer carries messages between the daemons of the system: calls and
// notifications over JSON-RPC 2.0 on TCP, streamed responses in chunks, and load reports
// in UDP datagrams.
package peer

import (
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Methods of calls and notifications between gateways and agents.
const (
	// MethodRun asks an agent to run a request. The response is a RunResponse.
	MethodRun = "run"
	// MethodChunk sends a Chunk of a streamed response to the caller of MethodRun.
	MethodChunk = "chunk"
	// MethodCancel notifies an agent that a request is canceled.
	MethodCancel = "cancel"
	// MethodStatus sends the AgentStatus of an agent to a gateway.
	MethodStatus = "status"
)

// RunRequest asks an agent to forward a request to an upstream.
type RunRequest struct {
	// ID identifies the attempt. It is unique across the fleet.
	ID string `json:"id"`
	// Workspace is the workspace that the request belongs to, or empty on open
	// routes.
	Workspace string `json:"workspace,omitempty"`
	// Weight is the weight of the workspace when it competes with others for an
	// upstream.
	Weight int `json:"weight,omitempty"`
	// Class is online or batch.
	Class fleet.Class `json:"class"`
	// Upstream names the upstream.
	Upstream string `json:"upstream"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path and query of the request to the upstream.
	Path string `json:"path"`
	// ContentType is the media type of Body.
	ContentType string `json:"content_type,omitempty"`
	// Accept lists the media types that the caller accepts.
	Accept string `json:"accept,omitempty"`
	// Body is the request's body.
	Body []byte `json:"body,omitempty"`
	// Stream reports whether the response is sent in chunks as it arrives.
	Stream bool `json:"stream,omitempty"`
	// Idempotent reports whether the request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// NoWait reports whether the agent rejects the request instead of queueing it
	// when no slot is free.
	NoWait bool `json:"no_wait,omitempty"`
	// Timeout is the time left until the deadline of the request.
	Timeout time.Duration `json:"timeout"`
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion uint64 `json:"config_version"`
}

// Chunk is one part of a streamed response.
type Chunk struct {
	// ID is the RunRequest's ID.
	ID string `json:"id"`
	// Sequence is the position of the chunk in the response, starting at 0.
	Sequence int `json:"seq"`
	// Status is the HTTP status. Only the first chunk has it.
	Status int `json:"status,omitempty"`
	// ContentType is the media type of the response. Only the first chunk has it.
	ContentType string `json:"content_type,omitempty"`
	// Data is the content of the chunk.
	Data []byte `json:"data"`
}

// RunResponse is the response to a RunRequest. After a streamed response, it follows the
// last chunk.
type RunResponse struct {
	// ID is the RunRequest's ID.
	ID string `json:"id"`
	// Status is the upstream's HTTP status.
	Status int `json:"status"`
	// ContentType is the media type of the response.
	ContentType string `json:"content_type,omitempty"`
	// Body is the whole body if the response was not streamed.
	Body []byte `json:"body,omitempty"`
	// Chunks is the number of chunks that were sent before this response.
	Chunks int `json:"chunks,omitempty"`
	// Report is the load of the upstream after the request.
	Report UpstreamReport `json:"report"`
}

// UpstreamReport describes the load and state of one upstream.
type UpstreamReport struct {
	// Upstream names the upstream.
	Upstream string              `json:"upstream"`
	State    fleet.UpstreamState `json:"state"`
	// InFlight is the number of online requests at the upstream. Batch requests are
	// not counted, because they give way to online requests.
	InFlight int `json:"in_flight"`
	// Queued is the number of online requests that are queued at the agent.
	Queued int `json:"queued"`
	// MaxInFlight is the number of requests that the agent sends to the upstream
	// concurrently.
	MaxInFlight int `json:"limit"`
}

// AgentStatus is the state of an agent and all its upstreams.
type AgentStatus struct {
	// VM is the name of the agent's VM.
	VM string `json:"vm"`
	// Incarnation identifies the agent's start.
	Incarnation string `json:"incarnation"`
	// ConfigVersion is the version of the configuration in force at the agent.
	ConfigVersion uint64 `json:"config_version"`
	// Draining reports whether the agent is draining.
	Draining bool `json:"draining"`
	// Reports holds one report per upstream.
	Reports []UpstreamReport `json:"reports"`
}

// CancelNotice names the request that is canceled.
type CancelNotice struct {
	// ID is the RunRequest's ID.
	ID string `json:"id"`
}

// MethodVersion notifies an agent of the version of the configuration in force at a
// gateway.
const MethodVersion = "version"

// VersionNotice names a version of the configuration.
type VersionNotice struct {
	// ConfigVersion is the version in force at the sender.
	ConfigVersion uint64 `json:"config_version"`
}

// MethodGossip sends a Gossip to another gateway.
const MethodGossip = "gossip"

// Gossip is the state that a gateway shares with other gateways.
type Gossip struct {
	// From is the sender's name.
	From string `json:"from"`
	// Incarnation identifies the sender's start.
	Incarnation string `json:"incarnation"`
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion uint64 `json:"config_version"`
	// StoreReadAge is the time since the sender, or a gateway that it heard of, last read
	// the head of the configuration. It is negative if no such read is known.
	StoreReadAge time.Duration `json:"store_age"`
	// Draining reports whether the sender is draining.
	Draining bool `json:"draining,omitempty"`
}
