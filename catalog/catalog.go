// Package catalog defines the configuration that operators publish for the entry
// daemons, with its routes, services, workspaces and limits, and the registrations
// of the model engines. All values are immutable once published and may then be
// read by several goroutines.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of the requests of a route. It determines whether a request may
// be sent again after it may have run.
type Kind string

const (
	// KindRepeatable requests are idempotent.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests must run at most once.
	KindOnce Kind = "once"
	// KindStreaming requests have a stream of events as their response.
	KindStreaming Kind = "streaming"
	// KindBatch requests are items of batch jobs.
	KindBatch Kind = "batch"
)

// Catalog is one configuration with its lookup tables.
type Catalog struct {
	// Version increases with each configuration.
	Version int64
	// Limits holds the limits on what callers may send.
	Limits Limits

	routes     map[string][]*Route // by host; longest prefix first
	byName     map[string]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace // by key
}

// Limits holds the limits on what a caller may send, and how long it may take.
type Limits struct {
	// MaxHeaderBytes is the size of the largest head of a request, or 0 if the
	// configuration sets no limit.
	MaxHeaderBytes int
	// MaxBodyBytes is the size of the largest body, or 0 if the configuration sets
	// no limit.
	MaxBodyBytes int64
	// HeaderTimeout is how long the header of a request may take, or 0 if the
	// configuration does not say.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between two requests, or 0 if
	// the configuration does not say.
	IdleTimeout time.Duration
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout limits the time to the end of the response.
	Timeout time.Duration
	// MaxAttempts is the largest number of attempts of a request, at least 1. Rejected
	// attempts do not count, nor do interrupted attempts of a batch item.
	MaxAttempts int
	// Open reports whether callers need no key for online requests. Batch jobs need one on
	// every route.
	Open bool
	// Resumable reports whether another engine may continue a broken stream.
	Resumable bool
	// Split lists the services that serve the route, with their weights.
	Split []WeightedService
	// Priority orders the requests that wait for an engine: 0 is the most urgent.
	Priority int
	// TargetLatency is the time to the start of the response that callers expect; 0 means
	// that the configuration does not say.
	TargetLatency time.Duration
	// CompletionTarget is the time from a batch job's submission to its due time.
	CompletionTarget time.Duration
	// MaxAge is the age of a batch job from which its waiting items may be given
	// up; 0 means never.
	MaxAge time.Duration
	// MaxWaitingTokens limits the tokens of the batch items that one workspace may
	// have waiting on the route; 0 means no limit.
	MaxWaitingTokens int64
}

// CanRepeat reports whether a request of the route may run more than once.
func (r *Route) CanRepeat() bool {
	switch r.Kind {
	case KindRepeatable, KindBatch:
		return true
	case KindStreaming:
		return r.Resumable
	default:
		return false
	}
}

// WeightedService is a service with its weight in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// PickService returns the name of a service of the route's split, chosen in proportion
// to the weights by a random number in [0, 1). It returns "" if no service has a
// positive weight.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	rest := random * float64(total)
	for _, s := range r.Split {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of interchangeable engines.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that an engine can handle in
	// cold start, from all daemons together; 0 means no limit.
	ColdRate float64
	// MemoryTokens is the number of tokens that an engine can hold at once, of the prompts
	// and outputs of its requests, or 0 if the configuration does not say.
	MemoryTokens int64
}

// Workspace is a tenant with its keys and its rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Rate is the sustained number of requests per second over all daemons; 0 means
	// no limit.
	Rate float64
	// Burst is the number of requests by which the workspace may exceed the rate for
	// a short time: the capacity of its token bucket.
	Burst float64
	// Priority ranks the workspace among others that wait for an engine: one of a lower
	// number gets a larger part of the places.
	Priority int
}

// Content holds the parts of a configuration, from which New makes a Catalog.
type Content struct {
	Version    int64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
}

// New returns the catalog of the content. The caller must not modify what the
// content refers to afterwards.
func New(c Content) *Catalog {
	cat := &Catalog{
		Version:    c.Version,
		Limits:     c.Limits,
		routes:     make(map[string][]*Route),
		byName:     make(map[string]*Route, len(c.Routes)),
		services:   make(map[string]*Service, len(c.Services)),
		workspaces: make(map[string]*Workspace, len(c.Workspaces)),
		keys:       make(map[string]*Workspace),
	}
	for _, r := range c.Routes {
		cat.routes[r.Host] = append(cat.routes[r.Host], r)
		cat.byName[r.Name] = r
	}
	for _, routes := range cat.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		cat.services[s.Name] = s
	}
	for _, w := range c.Workspaces {
		cat.workspaces[w.Name] = w
		for _, key := range w.Keys {
			cat.keys[key] = w
		}
	}
	return cat
}

// Route returns the route of the host with the longest prefix that matches path,
// or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasBatchRoute reports whether the host has a route for batch jobs.
func (c *Catalog) HasBatchRoute(host string) bool {
	return slices.ContainsFunc(c.routes[host], func(r *Route) bool { return r.Kind == KindBatch })
}

// RouteByName returns the named route, or nil.
func (c *Catalog) RouteByName(name string) *Route { return c.byName[name] }

// RoutesOfService returns the names of the routes whose split has the service.
func (c *Catalog) RoutesOfService(service string) []string {
	var names []string
	for name, r := range c.byName {
		if slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service }) {
			names = append(names, name)
		}
	}
	return names
}

// Service returns the named service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services by name. The caller must not modify the map.
func (c *Catalog) Services() map[string]*Service { return c.services }

// WorkspaceByKey returns the workspace that owns the key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// Workspace returns the named workspace, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces returns all workspaces by name. The caller must not modify the map.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.workspaces }

// RequiresKeys reports whether callers need a key, but for online requests on open routes: the
// configuration defines workspaces.
func (c *Catalog) RequiresKeys() bool { return len(c.workspaces) > 0 }

// Engine is the registration of one model engine in the store.
type Engine struct {
	// ID identifies the engine. Together with StartedAtMs, it identifies one start of
	// the engine.
	ID string
	// StartedAtMs is the Unix time at which the engine started, in ms since 1970.
	StartedAtMs int64
	// Sequence is the number of the registration among those of this start of the engine.
	Sequence int64
	// Service is the name of the service that the engine belongs to.
	Service string
	// Version is the version of the engine's program or model, or "" if its row has none.
	Version string
	// Address is the engine's IP address and port.
	Address string
	// DataCentre is where the engine runs.
	DataCentre string
	// Slots is the number of requests that the engine processes at once.
	Slots int
	// Draining reports whether the engine is about to shut down and gets no new work.
	Draining bool
	// ColdRemaining is how much of the cold start remained when the registration was
	// read, or 0 for a warm engine.
	ColdRemaining time.Duration
}

// IsOlderThan reports whether the engine wrote this registration before the other one. The store
// may perform writes in another order than the engine sent them.
func (e *Engine) IsOlderThan(other *Engine) bool {
	if e.StartedAtMs != other.StartedAtMs {
		return e.StartedAtMs < other.StartedAtMs
	}
	return e.Sequence < other.Sequence
}
