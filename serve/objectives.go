package serve

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/result"
)

// Kinds of objectives.
const (
	firstToken    = "first_token"
	betweenTokens = "between_tokens"
	success       = "success"
)

// tracker counts one call towards the objectives that cover it.
type tracker struct {
	objectives []*blackboard.Objective
	gaps       []gapCount
	last       time.Time
}

// gapCount counts the gaps between tokens of one call for one objective.
type gapCount struct {
	objective   *blackboard.Objective
	good, total uint64
}

func newTracker(objectives *blackboard.Objectives, workspace, route string) tracker {
	var t tracker
	objectives.Each(workspace, route, func(o *blackboard.Objective) {
		if o.Spec.Kind == betweenTokens {
			t.gaps = append(t.gaps, gapCount{objective: o})
			return
		}
		t.objectives = append(t.objectives, o)
	})
	return t
}

// workspaceName returns the name of the call's workspace, or "" on open routes.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// chunk notes that a part of a stream arrived.
func (t *tracker) chunk() {
	if len(t.gaps) == 0 {
		return
	}
	now := time.Now()
	if !t.last.IsZero() {
		for i := range t.gaps {
			t.gaps[i].add(now.Sub(t.last))
		}
	}
	t.last = now
}

func (g *gapCount) add(gap time.Duration) {
	g.total++
	if gap <= g.objective.Spec.Threshold {
		g.good++
	}
}

// done counts the call. The first token is zero if none was sent.
func (t *tracker) done(received, first time.Time, err error) {
	for i := range t.gaps {
		t.gaps[i].objective.Events.Add(t.gaps[i].good, t.gaps[i].total)
	}
	if !countsTowardsObjectives(err) {
		return
	}
	for _, o := range t.objectives {
		o.Events.Add(goodEvents(o, received, first, err), 1)
	}
}

// goodEvents returns 1 if the call met the objective. A call that failed before
// its first token met none.
func goodEvents(o *blackboard.Objective, received, first time.Time, err error) uint64 {
	var good bool
	switch o.Spec.Kind {
	case success:
		good = err == nil
	case firstToken:
		good = !first.IsZero() && first.Sub(received) <= o.Spec.Threshold
	}
	if good {
		return 1
	}
	return 0
}

// countsTowardsObjectives tells whether an outcome is the system's. Malformed
// requests, wrong keys and rates that were exceeded are the caller's.
func countsTowardsObjectives(err error) bool {
	if err == nil {
		return true
	}
	code := result.CodeOf(err)
	return code > result.RateExceeded
}
