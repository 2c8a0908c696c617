// Package fleet defines the inventory of VMs, upstreams, models, workspaces
// and keys that an operator edits, and the immutable view that a daemon
// derives from it. It has no transport, codec or clock.
package fleet

import (
	"cmp"
	"time"
)

// Inventory is the operator's description of the fleet and its rules.
type Inventory struct {
	// DataCentres lists the data centres.
	DataCentres []DataCentre `yaml:"data_centres" json:"data_centres"`
	// Gateways lists the gateway processes on the entry VMs.
	Gateways []Gateway `yaml:"gateways" json:"gateways"`
	// VMs lists the upstream VMs and the agent on each.
	VMs []VM `yaml:"vms" json:"vms"`
	// Upstreams lists engines, plain services and the old setup's entries.
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
	// Models lists the models that callers can name.
	Models []Model `yaml:"models" json:"models"`
	// Workspaces lists the tenants.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Routes lists paths that are forwarded to plain services.
	Routes []Route `yaml:"routes" json:"routes"`
	// Migrations moves workspaces or models to or from the old setup.
	Migrations []Migration `yaml:"migrations" json:"migrations"`
	// Objectives lists the service-level objectives.
	Objectives []Objective `yaml:"objectives" json:"objectives"`
	// Rules bounds queues, retries and timeouts for the whole fleet.
	Rules Rules `yaml:"rules" json:"rules"`
}

// DataCentre is one failure domain of a region.
type DataCentre struct {
	// Name identifies the data centre.
	Name string `yaml:"name" json:"name"`
	// Region is the region that contains the data centre.
	Region string `yaml:"region" json:"region"`
}

// Gateway is one gateway process.
type Gateway struct {
	// Name identifies the gateway.
	Name string `yaml:"name" json:"name"`
	// DataCentre is where the gateway runs.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// Peer is the IP address and port for the system's own processes.
	Peer string `yaml:"peer" json:"peer"`
	// HTTP is the IP address and port for callers and operators.
	HTTP string `yaml:"http" json:"http"`
}

// VM is one upstream VM.
type VM struct {
	// Name identifies the VM, as the platform's VM list does.
	Name string `yaml:"name" json:"name"`
	// DataCentre is where the VM runs.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// Agent is the IP address and port of the agent on the VM.
	Agent string `yaml:"agent" json:"agent"`
}

// UpstreamKind tells what an upstream is.
type UpstreamKind string

const (
	// Engine is a model engine with continuous batching.
	Engine UpstreamKind = "engine"
	// Service is a plain HTTP service.
	Service UpstreamKind = "service"
	// Legacy is an entry of the old setup.
	Legacy UpstreamKind = "legacy"
)

// Upstream is one back end behind an agent.
type Upstream struct {
	// Name identifies the upstream.
	Name string `yaml:"name" json:"name"`
	// VM is the VM whose agent fronts the upstream.
	VM string `yaml:"vm" json:"vm"`
	// Kind is engine, service or legacy.
	Kind UpstreamKind `yaml:"kind" json:"kind"`
	// URL is the base address of the upstream as its agent reaches it.
	URL string `yaml:"url" json:"url"`
	// Models lists the models that an engine or the old setup serves.
	Models []string `yaml:"models" json:"models,omitempty"`
	// Slots is the number of requests the upstream handles at once without
	// slowing down.
	Slots int `yaml:"slots" json:"slots"`
	// ColdSlots is the number of requests the upstream bears in cold start.
	ColdSlots int `yaml:"cold_slots" json:"cold_slots"`
	// ChecksFencing tells that the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing,omitempty"`
}

// Model is a model that callers can name.
type Model struct {
	// Name is the name in the caller's request.
	Name string `yaml:"name" json:"name"`
	// Version is the version that engines must load, or empty.
	Version string `yaml:"version" json:"version,omitempty"`
}

// Workspace is one tenant.
type Workspace struct {
	// Name identifies the workspace.
	Name string `yaml:"name" json:"name"`
	// Rate is the sustained number of requests per second over all gateways.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests above the rate over all gateways.
	Burst int `yaml:"burst" json:"burst"`
	// Weight is the share of contended upstreams. The default is 1.
	Weight int `yaml:"weight" json:"weight,omitempty"`
	// Models lists the models the workspace may use; empty means all.
	Models []string `yaml:"models" json:"models,omitempty"`
}

// Route forwards a path prefix to plain services.
type Route struct {
	// Name identifies the route.
	Name string `yaml:"name" json:"name"`
	// Prefix is the path prefix, starting with a slash.
	Prefix string `yaml:"prefix" json:"prefix"`
	// Upstreams names the plain services that serve the route.
	Upstreams []string `yaml:"upstreams" json:"upstreams"`
	// Open tells that callers need no key.
	Open bool `yaml:"open" json:"open,omitempty"`
	// Idempotent lists the methods that may be repeated.
	Idempotent []string `yaml:"idempotent" json:"idempotent,omitempty"`
	// Legacy names the old setup's upstream for the route, or is empty.
	Legacy string `yaml:"legacy" json:"legacy,omitempty"`
}

// Migration sends part of the traffic to the old setup.
type Migration struct {
	// Name identifies the migration.
	Name string `yaml:"name" json:"name"`
	// Legacy names the old setup's upstream.
	Legacy string `yaml:"legacy" json:"legacy"`
	// Workspaces limits the migration to these workspaces; empty means all.
	Workspaces []string `yaml:"workspaces" json:"workspaces,omitempty"`
	// Models limits the migration to these models; empty means all.
	Models []string `yaml:"models" json:"models,omitempty"`
	// Percent is the share of the selected workspaces, 0 to 100, that stays on
	// the old setup.
	Percent int `yaml:"percent" json:"percent"`
}

// Objective is a service-level objective for a workspace or a model.
type Objective struct {
	// Name identifies the objective.
	Name string `yaml:"name" json:"name"`
	// Workspace limits the objective to one workspace; empty means all.
	Workspace string `yaml:"workspace" json:"workspace,omitempty"`
	// Route limits the objective to one model or route; empty means all.
	Route string `yaml:"route" json:"route,omitempty"`
	// Kind is first_token, between_tokens or success.
	Kind string `yaml:"kind" json:"kind"`
	// Threshold is the largest good latency. It is unused for success.
	Threshold time.Duration `yaml:"threshold" json:"threshold,omitempty"`
	// Target is the fraction of good events, for example 0.95.
	Target float64 `yaml:"target" json:"target"`
}

// Rules bounds the behaviour of the whole fleet.
type Rules struct {
	// OnlineQueue is the number of online requests that may wait at an
	// upstream.
	OnlineQueue int `yaml:"online_queue" json:"online_queue"`
	// OnlineWait is the longest wait of an online request at an upstream.
	OnlineWait time.Duration `yaml:"online_wait" json:"online_wait"`
	// RequestTimeout bounds a request from acceptance to its last byte.
	RequestTimeout time.Duration `yaml:"request_timeout" json:"request_timeout"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `yaml:"max_body" json:"max_body"`
	// RetryPercent is the number of retries allowed per hundred requests.
	RetryPercent int `yaml:"retry_percent" json:"retry_percent"`
	// Attempts is the largest number of attempts for one request.
	Attempts int `yaml:"attempts" json:"attempts"`
	// BatchAttempts is the number of attempts before an item fails.
	BatchAttempts int `yaml:"batch_attempts" json:"batch_attempts"`
	// ChunkItems is the number of batch items in a chunk.
	ChunkItems int `yaml:"chunk_items" json:"chunk_items"`
	// MaxItems is the largest number of items in a batch job.
	MaxItems int `yaml:"max_items" json:"max_items"`
	// MaxFile is the largest batch file in bytes.
	MaxFile int64 `yaml:"max_file" json:"max_file"`
	// WeightLoads is the number of weight loads that may run at once in the
	// fleet.
	WeightLoads int `yaml:"weight_loads" json:"weight_loads"`
	// Isolation is how long a daemon that reaches neither the store nor a peer
	// keeps serving.
	Isolation time.Duration `yaml:"isolation" json:"isolation"`
}

// Default values of Rules.
const (
	DefaultOnlineQueue    = 64
	DefaultOnlineWait     = 10 * time.Second
	DefaultRequestTimeout = 2 * time.Minute
	DefaultMaxBody        = 4 << 20 // bytes
	DefaultRetryPercent   = 20
	DefaultAttempts       = 3
	DefaultBatchAttempts  = 3
	DefaultChunkItems     = 400
	DefaultMaxItems       = 59000
	DefaultMaxFile        = 512 << 20 // bytes
	DefaultWeightLoads    = 2
	DefaultIsolation      = 5 * time.Second
	DefaultWeight         = 1
)

// SetDefaults replaces zero values by the defaults.
func (inv *Inventory) SetDefaults() {
	r := &inv.Rules
	r.OnlineQueue = cmp.Or(r.OnlineQueue, DefaultOnlineQueue)
	r.OnlineWait = cmp.Or(r.OnlineWait, DefaultOnlineWait)
	r.RequestTimeout = cmp.Or(r.RequestTimeout, DefaultRequestTimeout)
	r.MaxBody = cmp.Or(r.MaxBody, DefaultMaxBody)
	r.RetryPercent = cmp.Or(r.RetryPercent, DefaultRetryPercent)
	r.Attempts = cmp.Or(r.Attempts, DefaultAttempts)
	r.BatchAttempts = cmp.Or(r.BatchAttempts, DefaultBatchAttempts)
	r.ChunkItems = cmp.Or(r.ChunkItems, DefaultChunkItems)
	r.MaxItems = cmp.Or(r.MaxItems, DefaultMaxItems)
	r.MaxFile = cmp.Or(r.MaxFile, DefaultMaxFile)
	r.WeightLoads = cmp.Or(r.WeightLoads, DefaultWeightLoads)
	r.Isolation = cmp.Or(r.Isolation, DefaultIsolation)
	for i := range inv.Workspaces {
		inv.Workspaces[i].Weight = cmp.Or(inv.Workspaces[i].Weight, DefaultWeight)
	}
	for i := range inv.Upstreams {
		u := &inv.Upstreams[i]
		u.Kind = cmp.Or(u.Kind, Engine)
		u.Slots = cmp.Or(u.Slots, 1)
		u.ColdSlots = cmp.Or(u.ColdSlots, 1)
	}
}
