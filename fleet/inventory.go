// Package fleet defines the configuration of the fleet that gateways and agents
// serve: the inventory that operators edit, the issued keys, and the immutable view
// that a daemon derives from them. It contains no transport, encoding or clock.
package fleet

import (
	"cmp"
	"time"
)

// Inventory is the operators' description of the fleet and its rules.
type Inventory struct {
	// DataCentres lists the data centres with their regions.
	DataCentres []DataCentre `yaml:"data_centres" json:"data_centres"`
	// Gateways lists the gateway processes on the entry VMs.
	Gateways []Gateway `yaml:"gateways" json:"gateways"`
	// VMs lists the VMs on which upstreams run, with the agent of each.
	VMs []VM `yaml:"vms" json:"vms"`
	// Upstreams lists the engines, the plain services and the entry points of the
	// legacy system.
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
	// Models lists the models that callers can request.
	Models []Model `yaml:"models" json:"models"`
	// Workspaces lists the tenants.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Routes lists the path prefixes that are forwarded to plain services.
	Routes []Route `yaml:"routes" json:"routes"`
	// Migrations lists which workspaces and models the legacy system still serves.
	// The first migration that selects a request counts.
	Migrations []Migration `yaml:"migrations" json:"migrations"`
	// Objectives lists the service-level objectives.
	Objectives []Objective `yaml:"objectives" json:"objectives"`
	// Rules limits queues, retries and timeouts in the whole fleet.
	Rules Rules `yaml:"rules" json:"rules"`
}

// DataCentre is a data centre, a failure domain within a region.
type DataCentre struct {
	// Name identifies the data centre.
	Name string `yaml:"name" json:"name"`
	// Region is the name of the region in which the data centre is.
	Region string `yaml:"region" json:"region"`
}

// Gateway is a gateway process.
type Gateway struct {
	// Name identifies the gateway.
	Name string `yaml:"name" json:"name"`
	// DataCentre is the name of the data centre in which the gateway runs.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// PeerAddress is the IP address and port on which the gateway serves the system's
	// own processes.
	PeerAddress string `yaml:"peer" json:"peer"`
	// HTTPAddress is the IP address and port on which the gateway serves callers and
	// operators.
	HTTPAddress string `yaml:"http" json:"http"`
}

// VM is a VM on which upstreams run.
type VM struct {
	// Name identifies the VM. It is the name in the platform's VM list.
	Name string `yaml:"name" json:"name"`
	// DataCentre is the name of the data centre in which the VM runs.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// AgentAddress is the IP address and port of the agent on the VM.
	AgentAddress string `yaml:"agent" json:"agent"`
}

// UpstreamKind is the kind of an upstream.
type UpstreamKind string

const (
	// KindEngine is a model engine with continuous batching.
	KindEngine UpstreamKind = "engine"
	// KindService is a plain HTTP service.
	KindService UpstreamKind = "service"
	// KindLegacy is an entry point of the legacy system, which the fleet replaces.
	KindLegacy UpstreamKind = "legacy"
)

// Upstream is a backend behind an agent.
type Upstream struct {
	// Name identifies the upstream.
	Name string `yaml:"name" json:"name"`
	// VM is the name of the VM whose agent forwards requests to the upstream.
	VM string `yaml:"vm" json:"vm"`
	// Kind is the kind of the upstream. The default is engine.
	Kind UpstreamKind `yaml:"kind" json:"kind"`
	// URL is the base URL at which the agent reaches the upstream.
	URL string `yaml:"url" json:"url"`
	// Models lists the models that the engine or the legacy system serves.
	Models []string `yaml:"models" json:"models,omitempty"`
	// Slots is the number of requests that the upstream handles at once without
	// slowing down. The default is 1.
	Slots int `yaml:"slots" json:"slots"`
	// ColdSlots is the number of requests that the upstream handles at once in cold
	// start. The default is 1.
	ColdSlots int `yaml:"cold_slots" json:"cold_slots"`
	// ChecksFencing reports whether the engine rejects commands with an outdated
	// fencing token.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing,omitempty"`
}

// Model is a model that callers can request.
type Model struct {
	// Name is the model's name in requests.
	Name string `yaml:"name" json:"name"`
	// Version is the version that engines must load, or empty for any.
	Version string `yaml:"version" json:"version,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	// Name identifies the workspace.
	Name string `yaml:"name" json:"name"`
	// Rate is the sustained number of requests per second over all gateways.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests, over all gateways, by which the workspace may
	// exceed the rate for a short time.
	Burst int `yaml:"burst" json:"burst"`
	// Weight is the workspace's weight in the fair queue of a busy upstream. The
	// default is 1.
	Weight int `yaml:"weight" json:"weight,omitempty"`
	// Models lists the models that the workspace may use; empty means all.
	Models []string `yaml:"models" json:"models,omitempty"`
}

// Route forwards the requests of a path prefix to plain services.
type Route struct {
	// Name identifies the route.
	Name string `yaml:"name" json:"name"`
	// Prefix is the path prefix, starting with a slash.
	Prefix string `yaml:"prefix" json:"prefix"`
	// Upstreams names the plain services that serve the route.
	Upstreams []string `yaml:"upstreams" json:"upstreams"`
	// Open reports whether callers need no key.
	Open bool `yaml:"open" json:"open,omitempty"`
	// Idempotent lists the HTTP methods whose requests may run more than once.
	Idempotent []string `yaml:"idempotent" json:"idempotent,omitempty"`
	// Legacy is the name of the legacy system's upstream that serves the route, or
	// empty if the plain services serve it.
	Legacy string `yaml:"legacy" json:"legacy,omitempty"`
}

// Migration keeps a part of the traffic on the legacy system.
type Migration struct {
	// Name identifies the migration.
	Name string `yaml:"name" json:"name"`
	// Legacy is the name of the legacy system's upstream.
	Legacy string `yaml:"legacy" json:"legacy"`
	// Workspaces limits the migration to these workspaces; empty means all.
	Workspaces []string `yaml:"workspaces" json:"workspaces,omitempty"`
	// Models limits the migration to these models; empty means all.
	Models []string `yaml:"models" json:"models,omitempty"`
	// Percent is the percentage of the selected workspaces, 0 to 100, that stays on
	// the legacy system.
	Percent int `yaml:"percent" json:"percent"`
}

// Objective is a service-level objective for a workspace or a model.
type Objective struct {
	// Name identifies the objective.
	Name string `yaml:"name" json:"name"`
	// Workspace limits the objective to one workspace; empty means all.
	Workspace string `yaml:"workspace" json:"workspace,omitempty"`
	// Route limits the objective to one model or route, by name; empty means all.
	Route string `yaml:"route" json:"route,omitempty"`
	// Kind is what the objective measures: first_token (time to the first token),
	// between_tokens (inter-event interval) or success.
	Kind string `yaml:"kind" json:"kind"`
	// Threshold is the largest latency of a good event. It is not used for success.
	Threshold time.Duration `yaml:"threshold" json:"threshold,omitempty"`
	// Target is the fraction of events that must be good, for example 0.95.
	Target float64 `yaml:"target" json:"target"`
}

// Rules limits queues, retries and timeouts in the whole fleet. SetDefaults replaces
// zero values by the defaults.
type Rules struct {
	// MaxOnlineQueue is the largest number of online requests that wait for a slot at
	// an upstream.
	MaxOnlineQueue int `yaml:"online_queue" json:"online_queue"`
	// MaxOnlineWait is the longest time that an online request waits for a slot at an
	// upstream.
	MaxOnlineWait time.Duration `yaml:"online_wait" json:"online_wait"`
	// RequestTimeout limits the time from the acceptance of a request to the last
	// byte of the response.
	RequestTimeout time.Duration `yaml:"request_timeout" json:"request_timeout"`
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64 `yaml:"max_body" json:"max_body"`
	// RetryPercent is the number of retries that are allowed per hundred requests.
	RetryPercent int `yaml:"retry_percent" json:"retry_percent"`
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int `yaml:"attempts" json:"attempts"`
	// MaxBatchAttempts is the largest number of attempts for one batch item.
	MaxBatchAttempts int `yaml:"batch_attempts" json:"batch_attempts"`
	// ChunkItems is the number of batch items in a chunk.
	ChunkItems int `yaml:"chunk_items" json:"chunk_items"`
	// MaxItems is the largest number of items in a batch job.
	MaxItems int `yaml:"max_items" json:"max_items"`
	// MaxFileBytes is the largest batch file in bytes.
	MaxFileBytes int64 `yaml:"max_file" json:"max_file"`
	// MaxWeightLoads is the largest number of engines in the fleet that load model
	// weights at the same time.
	MaxWeightLoads int `yaml:"weight_loads" json:"weight_loads"`
	// MaxIsolation is how long a daemon keeps serving while it can reach neither the
	// store nor another daemon.
	MaxIsolation time.Duration `yaml:"isolation" json:"isolation"`
}

// Default values of the fields of Rules, and of Workspace.Weight.
const (
	DefaultMaxOnlineQueue   = 64
	DefaultMaxOnlineWait    = 10 * time.Second
	DefaultRequestTimeout   = 2 * time.Minute
	DefaultMaxBodyBytes     = 4 << 20 // bytes
	DefaultRetryPercent     = 20
	DefaultMaxAttempts      = 3
	DefaultMaxBatchAttempts = 3
	DefaultChunkItems       = 400
	DefaultMaxItems         = 59000
	DefaultMaxFileBytes     = 512 << 20 // bytes
	DefaultMaxWeightLoads   = 2
	DefaultMaxIsolation     = 5 * time.Second
	DefaultWeight           = 1
)

// SetDefaults replaces zero values of settings that have a default by the default.
func (inv *Inventory) SetDefaults() {
	r := &inv.Rules
	r.MaxOnlineQueue = cmp.Or(r.MaxOnlineQueue, DefaultMaxOnlineQueue)
	r.MaxOnlineWait = cmp.Or(r.MaxOnlineWait, DefaultMaxOnlineWait)
	r.RequestTimeout = cmp.Or(r.RequestTimeout, DefaultRequestTimeout)
	r.MaxBodyBytes = cmp.Or(r.MaxBodyBytes, DefaultMaxBodyBytes)
	r.RetryPercent = cmp.Or(r.RetryPercent, DefaultRetryPercent)
	r.MaxAttempts = cmp.Or(r.MaxAttempts, DefaultMaxAttempts)
	r.MaxBatchAttempts = cmp.Or(r.MaxBatchAttempts, DefaultMaxBatchAttempts)
	r.ChunkItems = cmp.Or(r.ChunkItems, DefaultChunkItems)
	r.MaxItems = cmp.Or(r.MaxItems, DefaultMaxItems)
	r.MaxFileBytes = cmp.Or(r.MaxFileBytes, DefaultMaxFileBytes)
	r.MaxWeightLoads = cmp.Or(r.MaxWeightLoads, DefaultMaxWeightLoads)
	r.MaxIsolation = cmp.Or(r.MaxIsolation, DefaultMaxIsolation)
	for i := range inv.Workspaces {
		inv.Workspaces[i].Weight = cmp.Or(inv.Workspaces[i].Weight, DefaultWeight)
	}
	for i := range inv.Upstreams {
		u := &inv.Upstreams[i]
		u.Kind = cmp.Or(u.Kind, KindEngine)
		u.Slots = cmp.Or(u.Slots, 1)
		u.ColdSlots = cmp.Or(u.ColdSlots, 1)
	}
}
