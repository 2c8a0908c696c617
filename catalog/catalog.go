// Package catalog defines what the operators publish for the entry daemons: the
// routes, services, workspaces and limits of one configuration, and the model
// engines that are registered. All types are immutable once published.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind tells what the requests of a route are and whether they may be repeated.
type Kind string

const (
	// Repeatable requests are idempotent.
	Repeatable Kind = "repeatable"
	// Once requests may run at most once.
	Once Kind = "once"
	// Streaming requests are answered by a stream of events.
	Streaming Kind = "streaming"
	// Batch routes take batch jobs.
	Batch Kind = "batch"
)

// Catalog is one configuration.
type Catalog struct {
	// Version grows with each configuration.
	Version int64
	// Limits bounds what callers may send.
	Limits Limits

	routes     map[string][]*Route // by host, longest prefix first
	byName     map[string]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
}

// Limits bounds what a caller may send.
type Limits struct {
	// MaxBodyBytes is the size of the largest body, or 0 if none is given.
	MaxBodyBytes int64
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the wait for the whole answer.
	Timeout time.Duration
	// Attempts is the largest number of engines that one request is sent to.
	Attempts int
	// Open tells that callers need no key.
	Open bool
	// Resumable tells that a stream may go on at another engine.
	Resumable bool
	// Split lists the services that serve the route with their weights.
	Split []Share
	// Completion is how long after its submission a batch job is due.
	Completion time.Duration
	// MaxAge is how long after its submission an item may be given up.
	MaxAge time.Duration
	// MaxWaitingTokens bounds the tokens that a workspace may have waiting on
	// the route; 0 means no bound.
	MaxWaitingTokens int64
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	switch r.Kind {
	case Repeatable, Batch:
		return true
	case Streaming:
		return r.Resumable
	default:
		return false
	}
}

// Share is a service with its weight in a route's split.
type Share struct {
	Service string
	Weight  int
}

// Pick returns the service for a point in [0, 1), or "" if no service has a
// weight.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := point * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of interchangeable engines.
type Service struct {
	Name string
	// ColdRate is the number of requests a second that an engine bears in cold
	// start, from all callers together.
	ColdRate float64
}

// Workspace is a tenant with its keys and its rate.
type Workspace struct {
	Name string
	Keys []string
	// Rate is the number of requests a second over all daemons; 0 means no
	// limit.
	Rate float64
	// Burst is the number of requests that may exceed the rate.
	Burst float64
}

// Content lists the parts of a configuration.
type Content struct {
	Version    int64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
}

// New returns the catalog of the content, which the caller must not modify
// afterwards.
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

// Route returns the route of the host with the longest prefix of path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the named route, or nil.
func (c *Catalog) RouteByName(name string) *Route { return c.byName[name] }

// Service returns the named service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// WorkspaceOf returns the workspace that holds the key, or nil.
func (c *Catalog) WorkspaceOf(key string) *Workspace { return c.keys[key] }

// Workspace returns the named workspace, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces returns all workspaces. The caller must not modify the map.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.workspaces }

// Keyed tells whether the configuration has workspaces, so that requests need a
// key unless their route is open.
func (c *Catalog) Keyed() bool { return len(c.workspaces) > 0 }

// Engine is the registration of one model engine.
type Engine struct {
	// ID names one start of an engine, together with Born.
	ID string
	// Born is when the engine started, in ms since 1970.
	Born int64
	// Service is the service that the engine belongs to.
	Service string
	// Address is the engine's IP address and port.
	Address string
	// DataCentre is where the engine runs.
	DataCentre string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Draining tells that the engine is about to leave and gets no new work.
	Draining bool
	// ColdFor is how long the engine is cold, from when it was read.
	ColdFor time.Duration
}
