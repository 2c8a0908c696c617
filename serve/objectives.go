package serve

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/result"
)

// Kinds of objectives, as the configuration names them.
const (
	firstToken    = "first_token"
	betweenTokens = "between_tokens"
	success       = "success"
)

// tracker counts one request towards the objectives that cover it.
type tracker struct {
	objectives  []*blackboard.Objective // of the kinds that count requests
	intervals   []intervalCount
	lastChunkAt time.Time // zero before the first chunk
}

// intervalCount counts the inter-event intervals of one request for one objective.
// The good ones are not longer than the objective's threshold.
type intervalCount struct {
	objective   *blackboard.Objective
	good, total uint64
}

func newTracker(objectives *blackboard.Objectives, workspace, route string) tracker {
	var t tracker
	objectives.Each(workspace, route, func(o *blackboard.Objective) {
		if o.Spec.Kind == betweenTokens {
			t.intervals = append(t.intervals, intervalCount{objective: o})
			return
		}
		t.objectives = append(t.objectives, o)
	})
	return t
}

// workspaceName returns the name of the request's workspace, or "" on open routes.
func (r *activeRequest) workspaceName() string {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// onChunk observes the interval between the previous chunk of a stream and the one
// that has just arrived.
func (t *tracker) onChunk() {
	if len(t.intervals) == 0 {
		return
	}
	now := time.Now()
	if !t.lastChunkAt.IsZero() {
		for i := range t.intervals {
			t.intervals[i].observe(now.Sub(t.lastChunkAt))
		}
	}
	t.lastChunkAt = now
}

func (c *intervalCount) observe(interval time.Duration) {
	c.total++
	if interval <= c.objective.Spec.Threshold {
		c.good++
	}
}

// countFinished counts the request and its intervals when it ends. The time of the first
// token is zero if none was sent.
func (t *tracker) countFinished(received, firstTokenAt time.Time, err error) {
	for i := range t.intervals {
		t.intervals[i].objective.Events.Add(t.intervals[i].good, t.intervals[i].total)
	}
	if !countsTowardsObjectives(err) {
		return
	}
	for _, o := range t.objectives {
		o.Events.Add(goodEvents(o, received, firstTokenAt, err), 1)
	}
}

// goodEvents returns 1 if the request met the objective, and 0 otherwise. A request
// that failed before its first token meets none.
func goodEvents(o *blackboard.Objective, received, firstTokenAt time.Time, err error) uint64 {
	var good bool
	switch o.Spec.Kind {
	case success:
		good = err == nil
	case firstToken:
		good = !firstTokenAt.IsZero() && firstTokenAt.Sub(received) <= o.Spec.Threshold
	}
	if good {
		return 1
	}
	return 0
}

// countsTowardsObjectives reports whether the system is responsible for the outcome.
// Faults of the caller do not count, such as a malformed request, a wrong key or an
// exceeded rate, nor does a connection that it closed.
func countsTowardsObjectives(err error) bool {
	if err == nil {
		return true
	}
	code := result.CodeOf(err)
	return code > result.RateExceeded
}
