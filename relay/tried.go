package relay

import (
	"math"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/result"
)

// rejectedAvoidance and failedAvoidance are how long a request avoids an engine that
// rejected it, or failed it.
const (
	rejectedAvoidance = 200 * time.Millisecond
	failedAvoidance   = time.Second
)

// triedEngine is an engine that got an attempt. While that lasts, avoidUntil lies beyond
// every instant.
type triedEngine struct {
	id         string
	avoidUntil clock.Instant
}

// markTried notes that the engine gets an attempt, once for each engine.
func (r *activeRequest) markTried(id string) {
	r.tried = slices.DeleteFunc(r.tried, func(t triedEngine) bool { return t.id == id })
	r.tried = append(r.tried, triedEngine{id: id, avoidUntil: math.MaxInt64})
}

// avoid lets the request avoid an engine that it tried for d.
func (r *activeRequest) avoid(e *blackboard.Engine, d time.Duration) {
	until := clock.Now().Add(d)
	for i := range r.tried {
		if r.tried[i].id == e.ID {
			r.tried[i].avoidUntil = until
		}
	}
}

// avoidAfter lets the request avoid the engine at which an attempt ended with err.
func (r *activeRequest) avoidAfter(e *blackboard.Engine, err error) {
	if result.CodeOf(err) == result.UpstreamOverloaded {
		r.avoid(e, rejectedAvoidance)
		return
	}
	r.avoid(e, failedAvoidance)
}

// chooseEngine returns the engine for the next attempt, or nil if no engine can take
// the request.
func (r *activeRequest) chooseEngine() *blackboard.Engine {
	service, engines := r.server.candidates(r.Identity, r.service)
	if service == nil {
		return nil
	}
	query := placement.NewQuery(r.server.board, service, r.server.random)
	query.Tried, query.MaxQueue, query.Tokens = r.avoids, maxQueuedOnline, r.Tokens
	view := rollout.NewView(r.server.board, service.Name, query.Now)
	isFirst := len(r.tried) == 0
	if isFirst {
		view.Admit()
	}
	engine := view.Choose(&query, engines, isFirst, func() *blackboard.Engine { return placement.Choose(engines, &query) })
	if engine == nil {
		r.recordNoMemory(engines, &query)
	}
	return engine
}

// avoids reports whether the engine rejected or failed the request lately.
func (r *activeRequest) avoids(e *blackboard.Engine) bool {
	now := clock.Now()
	for _, t := range r.tried {
		if t.id == e.ID && now < t.avoidUntil {
			return true
		}
	}
	return false
}

// fork returns a copy of the request for another goroutine, which must not pass anything on
// to the sink.
func (r *activeRequest) fork() *activeRequest {
	f := *r
	f.tried = slices.Clone(r.tried)
	f.gate = r.gate.Fork()
	return &f
}

// triedIDs returns the ids of the engines that got an attempt.
func (r *activeRequest) triedIDs() []string {
	ids := make([]string, len(r.tried))
	for i, t := range r.tried {
		ids[i] = t.id
	}
	return ids
}
