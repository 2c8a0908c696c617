package placement

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// TestClaimsOfFailedAnswers guards against one faulty daemon, or one request that fails
// everywhere, that makes engines a last choice, and against engines that stay one although
// they answer well again.
func TestClaimsOfFailedAnswers(t *testing.T) {
	now := clock.Instant(time.Hour)
	ago := func(d time.Duration) clock.Instant { return now.Add(-d) }
	failed := FailureClaim{Daemons: 1, FailedAt: ago(time.Second)}
	for name, c := range map[string]struct {
		claims []FailureClaim
		want   bool
	}{
		"nobody":                  {nil, false},
		"one daemon":              {[]FailureClaim{failed}, false},
		"two daemons":             {[]FailureClaim{failed, failed}, true},
		"a data centre":           {[]FailureClaim{{Daemons: 9, FailedAt: ago(time.Second)}}, true},
		"one is long ago":         {[]FailureClaim{failed, {Daemons: 1, FailedAt: ago(failureValidity)}}, false},
		"answers well since":      {[]FailureClaim{failed, failed, {WellAt: ago(time.Second / 2)}}, false},
		"well before":             {[]FailureClaim{failed, failed, {WellAt: ago(2 * time.Second)}}, true},
		"one of them was refuted": {[]FailureClaim{failed, {Daemons: 1, FailedAt: ago(2 * time.Second), WellAt: ago(3 * time.Second / 2)}}, false},
	} {
		if got := FailsByAnswers(c.claims, now); got != c.want {
			t.Errorf("%s: the engine fails: %v", name, got)
		}
	}
	for failing, want := range map[int]bool{1: true, 19: true, 20: false, 57: false} {
		if got := MayAvoidFailing(failing, 57); got != want {
			t.Errorf("%d of 57 engines may be a last choice: %v", failing, got)
		}
	}
}

// TestEngineThatFailsByPeersIsTheLastChoice guards against requests that fail, rather than
// being refused, while engines that work have room, and the other way round.
func TestEngineThatFailsByPeersIsTheLastChoice(t *testing.T) {
	failing, sound := newEngine("a", 0, 0), newEngine("b", 6, 0)
	failing.Load.Health.FailsByPeers.Store(true)
	both, alone := []*blackboard.Engine{failing, sound}, []*blackboard.Engine{failing}
	if Choose(both, query()) != sound || Choose(alone, query()) != failing {
		t.Error("an engine that fails by peers is not the last choice of a request")
	}
	q := &BatchQuery{Query: *query()}
	if ChooseForBatch(both, q) != sound || ChooseForBatch(alone, q) != failing {
		t.Error("an engine that fails by peers is not the last choice of an item")
	}
}

// failingFleet is what the daemons of a workload know of failed answers.
type failingFleet struct {
	workload
	shares bool
	// told is what the daemons learn at the next update, and fresh at the one after that.
	told, fresh []func()
	claims      []map[int]map[int]FailureClaim // by daemon, engine and reporter
}

// newFailingFleet returns a fleet of 36 daemons and 57 engines, of which 4 answer with
// failures for 6 s. Daemons learn of each other's answers after 100 to 200 ms.
func newFailingFleet(shares bool) *failingFleet {
	f := &failingFleet{shares: shares, workload: workload{
		dataCentres: 3, daemonsEach: 12, enginesEach: 19, rate: 300, runTime: 700 * time.Millisecond,
		nearDelay: 40 * time.Millisecond, farDelay: 200 * time.Millisecond, length: 16 * time.Second,
	}}
	for range f.dataCentres * f.daemonsEach {
		f.claims = append(f.claims, make(map[int]map[int]FailureClaim))
	}
	f.fails = func(engine int, at time.Duration) bool {
		return engine%15 == 0 && at > 3*time.Second && at < 9*time.Second
	}
	f.answered = func(d, engine int, e *blackboard.Engine, sent, at time.Duration, failed bool) {
		health := &e.Load.Health
		if failed {
			health.RecordFailure(simulationStart.Add(at))
			health.RecordFailedAnswer(simulationStart.Add(at))
		} else {
			health.RecordSuccess()
			health.RecordGoodAnswer(simulationStart.Add(sent))
		}
		if failed || len(f.claims[d][engine]) > 0 {
			f.tell(d, engine, e)
		}
	}
	f.learn = f.update
	return f
}

// tell tells all daemons what the daemon knows of the engine, with the reports after the next.
func (f *failingFleet) tell(d, engine int, e *blackboard.Engine) {
	claim := FailureClaim{Daemons: 1}
	claim.FailedAt, claim.WellAt = e.Load.Health.LastAnswers()
	f.fresh = append(f.fresh, func() {
		for other := range f.claims {
			if f.claims[other][engine] == nil {
				f.claims[other][engine] = make(map[int]FailureClaim)
			}
			f.claims[other][engine][d] = claim
		}
	})
}

// update applies, each learnInterval, what was told two intervals before.
func (f *failingFleet) update(at time.Duration, _ []simulatedEngine, views [][]*blackboard.Engine) {
	if !f.shares {
		return
	}
	for _, tell := range f.told {
		tell()
	}
	f.told, f.fresh = f.fresh, nil
	for d, view := range views {
		for engine, reporters := range f.claims[d] {
			var claims []FailureClaim
			for _, claim := range reporters {
				claims = append(claims, claim)
			}
			view[engine].Load.Health.FailsByPeers.Store(FailsByAnswers(claims, simulationStart.Add(at)))
		}
	}
}

// TestFailingEnginesThatLookIdle guards against a fleet in which each daemon must meet each
// engine that answers with failures at once, and looks idle, itself.
func TestFailingEnginesThatLookIdle(t *testing.T) {
	alone, shared := newFailingFleet(false).run(1), newFailingFleet(true).run(1)
	t.Logf("%d of %d requests failed; %d of %d when daemons tell each other", alone.failed, alone.requests, shared.failed, shared.requests)
	if 2*shared.failed > alone.failed {
		t.Errorf("%d requests failed, %d when each daemon meets the engines itself", shared.failed, alone.failed)
	}
	if shared.rejected > 0 {
		t.Errorf("%d requests were rejected", shared.rejected)
	}
}
