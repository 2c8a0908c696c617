package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// Engines is the set of registered engines.
type Engines struct {
	// All lists the engines in the order of their ids.
	All []*Engine

	byService map[string][]*Engine
	byID      map[string]*Engine
}

// NewEngines returns the set of the given engines.
func NewEngines(all []*Engine) *Engines {
	e := &Engines{All: all, byService: make(map[string][]*Engine), byID: make(map[string]*Engine, len(all))}
	for _, engine := range all {
		e.byService[engine.Service] = append(e.byService[engine.Service], engine)
		e.byID[engine.ID] = engine
	}
	return e
}

// OfService returns the engines of the service.
func (e *Engines) OfService(service string) []*Engine { return e.byService[service] }

// ByID returns the engine with the id, or nil.
func (e *Engines) ByID(id string) *Engine { return e.byID[id] }

// Engine is what a daemon knows of one engine.
type Engine struct {
	*catalog.Engine
	// Out tells that the engine's data centre is taken out.
	Out bool
	// ColdUntil is when the engine is warm.
	ColdUntil clock.Instant
	// MissingSince is when the engine's entry was found missing after an outage
	// of the store, or 0.
	MissingSince clock.Instant
	// Load holds counters that outlive this snapshot.
	Load *EngineLoad
}

// Usable tells whether the engine may get new work.
func (e *Engine) Usable() bool { return !e.Out && !e.Draining }

// Cold tells whether the engine is in cold start.
func (e *Engine) Cold(now clock.Instant) bool { return now < e.ColdUntil }

// Busy returns the number of requests at the engine as far as it is known: those
// of this daemon and those that other daemons told of, or what the engine itself
// reported a moment ago if that is more.
func (e *Engine) Busy() int {
	l := e.Load
	known := l.Online.Load() + l.Batch.Load() + l.PeerOnline.Load() + l.PeerBatch.Load()
	now := clock.Now()
	return int(max(known, l.Own.Requests(now), l.Peers.Requests(now)))
}

// OnlineBusy returns the number of online requests at the engine as far as it is
// known.
func (e *Engine) OnlineBusy() int {
	return int(e.Load.Online.Load() + e.Load.PeerOnline.Load())
}

// EngineLoad counts the work of one engine. Its fields are written on the path
// of a request.
type EngineLoad struct {
	// Online and Batch are the requests that this daemon has at the engine.
	Online, Batch atomic.Int64
	// PeerOnline and PeerBatch are those of the other daemons, as they reported
	// them last.
	PeerOnline, PeerBatch atomic.Int64
	// Own is what the engine reported to this daemon, Peers what it reported to
	// another one that told of it.
	Own, Peers EngineReport
	// Health is what the engine's answers showed.
	Health EngineHealth
	// NextCold is the instant at which this daemon may send the next request
	// while the engine is cold.
	NextCold atomic.Int64
}

// reportValidity is how long the engine's own report of its load counts.
const reportValidity = 300 * time.Millisecond

// EngineReport is the load that an engine reported a moment ago.
type EngineReport struct {
	requests, at atomic.Int64
}

// Set notes how many requests the engine said that it has.
func (r *EngineReport) Set(requests int64, now clock.Instant) {
	r.requests.Store(requests)
	r.at.Store(int64(now))
}

// Requests returns the number of requests, or 0 if the report is too old.
func (r *EngineReport) Requests(now clock.Instant) int64 {
	if now.Sub(clock.Instant(r.at.Load())) > reportValidity {
		return 0
	}
	return r.requests.Load()
}

// TakeCold takes the right to send one request to a cold engine. The daemon may
// send one in each interval.
func (l *EngineLoad) TakeCold(now clock.Instant, interval time.Duration) bool {
	for {
		next := l.NextCold.Load()
		if int64(now) < next {
			return false
		}
		if l.NextCold.CompareAndSwap(next, int64(now.Add(interval))) {
			return true
		}
	}
}
