package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/capacity"
)

// Engines is an immutable set of registered engines with lookup tables.
type Engines struct {
	// All lists the engines, sorted by ID.
	All []*Engine

	byService map[string][]*Engine
	byID      map[string]*Engine
}

// NewEngines returns the set of the given engines, which are sorted by ID. The
// caller must not modify the slice afterwards.
func NewEngines(all []*Engine) *Engines {
	e := &Engines{All: all, byService: make(map[string][]*Engine), byID: make(map[string]*Engine, len(all))}
	for _, engine := range all {
		e.byService[engine.Service] = append(e.byService[engine.Service], engine)
		e.byID[engine.ID] = engine
	}
	return e
}

// OfService returns the engines of the service, sorted by ID.
func (e *Engines) OfService(service string) []*Engine { return e.byService[service] }

// ByID returns the engine with the ID, or nil.
func (e *Engines) ByID(id string) *Engine { return e.byID[id] }

// Engine is what an entry daemon knows of one engine. All fields but those
// behind Load are immutable once published.
type Engine struct {
	*catalog.Engine
	// TakenOut reports whether the engine's data centre is taken out.
	TakenOut bool
	// ColdUntil is the instant at which the cold start ends, or 0 if the engine
	// was warm when its row was read.
	ColdUntil clock.Instant
	// MissingUntil is the instant until which the engine is kept although its row is
	// missing, or 0 if it has a row. The row may have expired only because the store was
	// unavailable, so that the engine could not renew it.
	MissingUntil clock.Instant
	// Load holds counters that are shared by all snapshots of the engine.
	Load *EngineLoad
}

// IsUsable reports whether the engine may get new work.
func (e *Engine) IsUsable() bool { return !e.TakenOut && !e.Draining && !e.Load.Leaving.Load() }

// IsKept reports whether the engine has a row, or may still register again.
func (e *Engine) IsKept(now clock.Instant) bool { return e.MissingUntil == 0 || now < e.MissingUntil }

// IsCold reports whether the engine is in cold start.
func (e *Engine) IsCold(now clock.Instant) bool { return now < e.ColdUntil }

// RequestCount returns the best known number of requests at the engine: the largest of
// the number that this and the other daemons count together, the number that the engine
// recently reported to this daemon, and the number that it recently reported to another
// daemon.
func (e *Engine) RequestCount() int {
	l := e.Load
	counted := l.Online.Load() + l.Batch.Load() + l.PeerOnline.Load() + l.PeerBatch.Load()
	now := clock.Now()
	return int(max(counted, l.OwnReport.Requests(now), l.PeerReport.Requests(now)))
}

// OnlineRequestCount returns the number of online requests at the engine that this and
// the other daemons count together.
func (e *Engine) OnlineRequestCount() int {
	return int(e.Load.Online.Load() + e.Load.PeerOnline.Load())
}

// PlacedTokens returns the tokens of the requests that this and the other daemons have at the
// engine.
func (e *Engine) PlacedTokens() int64 { return e.Load.Tokens.Load() + e.Load.PeerTokens.Load() }

// EngineLoad is what was observed of one start of an engine. Its fields are atomics because
// they are written on the request path.
type EngineLoad struct {
	// Online and Batch are the numbers of requests that this daemon has at the
	// engine.
	Online, Batch atomic.Int64
	// PeerOnline and PeerBatch are the numbers of requests that the other daemons
	// have at the engine, by their last load reports.
	PeerOnline, PeerBatch atomic.Int64
	// Tokens is the number of tokens of the requests that this daemon has at the engine, and
	// PeerTokens that of the other daemons' by their last load reports. A request counts with
	// its whole prompt and the largest output that it may have. PeerTokens is 0 unless the
	// configuration says how many tokens an engine holds.
	Tokens, PeerTokens atomic.Int64
	// OwnReport is the load that the engine reported to this daemon. PeerReport is the
	// load that it reported to another daemon, which passed it on.
	OwnReport, PeerReport EngineReport
	// OwnPace is the pace in percent that the engine reported to this daemon.
	OwnPace EngineReport
	// slowness is what was learned of the engine's speed, packed, or 0 if it is not known.
	slowness atomic.Uint64
	// Health is derived from the engine's responses.
	Health EngineHealth
	// Leaving reports whether the engine told this daemon that it shuts down. That never
	// ends: another start of the engine has another EngineLoad.
	Leaving atomic.Bool
	// LeavingByPeers reports whether another daemon was told so. The engine is then the
	// last choice only, since that daemon may be wrong. controller/loads writes it.
	LeavingByPeers atomic.Bool
	// LastColdTurn is the number of the last turn, see placement.ColdTurns, that this
	// daemon used for a request while the engine was cold.
	LastColdTurn atomic.Int64
}

// reportValidity is how long a load report of an engine is used.
const reportValidity = 300 * time.Millisecond

// EngineReport is the last load that an engine reported. The zero value is a
// report that has expired. Its methods may be called from several goroutines.
type EngineReport struct {
	requests, reportedAt atomic.Int64
}

// Record records the number of requests that the engine reported.
func (r *EngineReport) Record(requests int64, now clock.Instant) {
	r.requests.Store(requests)
	r.reportedAt.Store(int64(now))
}

// Requests returns the reported number of requests, or 0 if the report is older
// than reportValidity.
func (r *EngineReport) Requests(now clock.Instant) int64 {
	if now.Sub(clock.Instant(r.reportedAt.Load())) > reportValidity {
		return 0
	}
	return r.requests.Load()
}

// SetSlowness records how slow the engine is compared with others of its service, or with the
// zero value that this is not known. controller/loads calls it.
func (l *EngineLoad) SetSlowness(c capacity.Curve) { l.slowness.Store(c.Pack()) }

// Slowness returns how slow the engine is compared with others of its service. It reports
// false if that is not known, as for all engines of a service that do not report their pace.
func (l *EngineLoad) Slowness() (c capacity.Curve, known bool) {
	packed := l.slowness.Load()
	return capacity.Unpack(packed), packed != 0
}

// UseColdTurn uses up the turn and all earlier ones. It reports whether the turn was
// unused. It may be called from several goroutines.
func (l *EngineLoad) UseColdTurn(turn int64) bool {
	for {
		last := l.LastColdTurn.Load()
		if turn <= last {
			return false
		}
		if l.LastColdTurn.CompareAndSwap(last, turn) {
			return true
		}
	}
}
