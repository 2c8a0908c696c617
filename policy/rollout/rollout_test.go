package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// exposedDaemon is a daemon in the canary stage.
type exposedDaemon struct {
	versions *blackboard.ServiceVersions
	valid    bool // it read the stage lately
}

func newExposedDaemon(slack float64) *exposedDaemon {
	return &exposedDaemon{valid: true, versions: &blackboard.ServiceVersions{
		Stage: blackboard.RolloutCanary, InUse: "v1", To: "v2", Share: DaemonShare(0.1), Slack: slack,
		Canary: map[string]bool{"new": true}, Counts: new(blackboard.RolloutCounts),
	}}
}

// request sends a request and reports whether it went to the new version. lost reports
// whether no engine could be reached.
func (d *exposedDaemon) request(isFirst, lost bool) bool {
	view := &View{versions: d.versions, now: 1}
	if d.valid {
		view.validUntil = 2
	}
	if isFirst {
		view.Admit()
	}
	engines := []*blackboard.Engine{
		{Engine: &catalog.Engine{ID: "old", Version: "v1"}, Load: new(blackboard.EngineLoad)},
		{Engine: &catalog.Engine{ID: "new", Version: "v2"}, Load: new(blackboard.EngineLoad)},
	}
	var q placement.Query
	e := view.Choose(&q, nil, isFirst, func() *blackboard.Engine {
		for _, e := range engines {
			if !lost && q.Allowed(e) {
				return e
			}
		}
		return nil
	})
	return e != nil && e.Version == "v2"
}

// TestNoScheduleExceedsTheExposure guards against a bad version that gets more requests than
// the bound, whatever daemons restart, join, lose their reads or retry.
func TestNoScheduleExceedsTheExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(1, 12).Draw(t, "daemons known to the owner")
		unknown := rapid.IntRange(0, 2).Draw(t, "daemons unknown to it")
		var daemons []*exposedDaemon
		order, starts := rapid.Int64().Draw(t, "order"), 0
		phase := func() float64 {
			starts++
			return DaemonPhase(fmt.Sprint("start ", starts), order)
		}
		for range known + unknown {
			daemons = append(daemons, newExposedDaemon(DaemonSlack(50, known)+phase()))
		}
		all, exposed := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
			switch step := rapid.IntRange(0, 99).Draw(t, "step"); {
			case step == 0:
				daemons[i] = newExposedDaemon(phase()) // restarted: it has not seen the time before the order
			case step == 1:
				daemons = append(daemons, newExposedDaemon(phase()))
			case step == 2:
				daemons[i].valid = !daemons[i].valid
			default:
				isFirst := step%5 > 0
				if isFirst {
					all++
				}
				if daemons[i].request(isFirst, step%7 == 0) {
					exposed++
				}
			}
			if float64(exposed) > 0.1*float64(all)+50 {
				t.Fatalf("%d of %d requests went to the new version", exposed, all)
			}
		}
	})
}

// TestCanaryEnginesHaveTheLoadOfOldOnes guards against a comparison of engines that are full,
// since all daemons send their first requests to them at once, with others.
func TestCanaryEnginesHaveTheLoadOfOldOnes(t *testing.T) {
	engine := func(id, version string, requests int64) *blackboard.Engine {
		e := &blackboard.Engine{Engine: &catalog.Engine{ID: id, Version: version, Slots: 8}, Load: new(blackboard.EngineLoad)}
		e.Load.Online.Store(requests)
		return e
	}
	for _, c := range []struct {
		old  [2]int64
		new  int64
		want bool
	}{{[2]int64{2, 4}, 2, true}, {[2]int64{2, 4}, 3, false}, {[2]int64{0, 0}, 0, true}, {[2]int64{0, 0}, 1, false}, {[2]int64{8, 7}, 7, true}} {
		canary := engine("new", "v2", c.new)
		view := &View{versions: newExposedDaemon(0).versions}
		if got := view.canaryFilter([]*blackboard.Engine{engine("a", "v1", c.old[0]), engine("b", "v1", c.old[1]), canary})(canary); got != c.want {
			t.Errorf("old engines with %v requests: a canary engine with %d is used: %v", c.old, c.new, got)
		}
	}
}

// goodEvidence returns that of a version that is no worse.
func goodEvidence(answers int64) Evidence {
	return Evidence{
		Routes:  map[string][2]blackboard.AnswerFigures{"a": {{10 * answers, 10 * answers, 0}, {answers, answers, 0}}},
		Engines: map[string]blackboard.AnswerFigures{"x": {answers, answers, 0}, "y": {answers, answers, 0}}, NewEngines: 6,
		Daemons: 4, DaemonsWithAnswers: 3,
	}
}

// TestGoodVersionCompletesInTime guards against a good version that is reverted, or completed
// late or while an old stage may still be used, whenever owners change.
func TestGoodVersionCompletesInTime(t *testing.T) {
	const step = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(10, 15).Draw(t, "seconds")) * time.Second
		s := Situation{
			Stage: blackboard.RolloutCanary, Duration: duration, IsWanted: true, IsKnown: true,
			LongestRequest: time.Duration(rapid.IntRange(0, 5000).Draw(t, "longest request in ms")) * time.Millisecond,
		}
		begun := time.Duration(rapid.IntRange(600, 2500).Draw(t, "claim in ms")) * time.Millisecond
		busyUntil := time.Duration(0)
		var lost, since time.Duration // the owner is lost until then; since when the stage is written
		lostAt := time.Duration(rapid.IntRange(3000, 9000).Draw(t, "loss of the owner in ms")) * time.Millisecond
		for now := begun; now < duration; now += step {
			if now >= lostAt && lost == 0 {
				lost = now + 2400*time.Millisecond // until another daemon takes over
			}
			if now < lost {
				continue
			}
			s.InStage, s.Left = now-max(begun, since), duration-now
			s.Evidence = goodEvidence(int64(now / (100 * time.Millisecond)))
			s.OldRequests = 0
			if now < busyUntil {
				s.OldRequests = 1
			}
			switch decision, reason := Next(&s); decision {
			case Revert:
				t.Fatalf("reverted after %v: %s", now, reason)
			case Switch:
				s.Stage, since = blackboard.RolloutSwitch, now
				busyUntil = now + min(s.LongestRequest, 3*time.Second)
			case Complete:
				if s.Stage != blackboard.RolloutSwitch || now-since < Validity || now < busyUntil {
					t.Fatalf("completed %v after the switch", now-since)
				}
				return
			}
		}
		t.Fatal("not completed by the deadline")
	})
}

// TestDutyOfRunningRequests guards against requests that stay at engines of a version that is
// replaced, or are moved or cut without need.
func TestDutyOfRunningRequests(t *testing.T) {
	const now = clock.Instant(10)
	for name, c := range map[string]struct {
		stage   blackboard.RolloutStage
		until   clock.Instant
		version string
		want    Duty
	}{
		"canary, old":             {blackboard.RolloutCanary, 20, "v1", Keep},
		"canary, new":             {blackboard.RolloutCanary, 20, "v2", Keep},
		"switch, old":             {blackboard.RolloutSwitch, 20, "v1", Move},
		"switch, new":             {blackboard.RolloutSwitch, 20, "v2", Keep},
		"cut off, old":            {blackboard.RolloutCanary, 5, "v1", Cut},
		"cut off, old, no order":  {blackboard.RolloutIdle, 5, "v1", Cut},
		"cut off in switch, new":  {blackboard.RolloutSwitch, 5, "v2", Keep},
		"no order, other version": {blackboard.RolloutIdle, 20, "v2", Keep},
	} {
		view := &View{versions: &blackboard.ServiceVersions{Stage: c.stage, InUse: "v1", To: "v2"}, validUntil: c.until, now: now}
		e := &blackboard.Engine{Engine: &catalog.Engine{ID: "e", Version: c.version}}
		if got, _ := view.Duty(e); got != c.want {
			t.Errorf("%s: duty %v, want %v", name, got, c.want)
		}
	}
}

// TestVersionInUse guards against engines of a version that is used without an order.
func TestVersionInUse(t *testing.T) {
	engines := func(versions ...string) []*blackboard.Engine {
		var all []*blackboard.Engine
		for i, v := range versions {
			all = append(all, &blackboard.Engine{Engine: &catalog.Engine{Version: v, StartedAtMs: int64(i)}})
		}
		return all
	}
	for name, c := range map[string]struct {
		engines              []*blackboard.Engine
		last, excluded, want string
	}{
		"one version":             {engines("v1", "v1"), "", "", "v1"},
		"most engines":            {engines("v2", "v1", "v1"), "", "", "v1"},
		"as many, the older ones": {engines("v1", "v2", "v2", "v1"), "", "", "v1"},
		"the last one":            {engines("v2", "v2", "v1"), "v1", "", "v1"},
		"the last one is gone":    {engines("v2", "v2"), "v1", "", "v2"},
		"ordered":                 {engines("v2", "v2", "v1"), "", "v2", "v1"},
		"no engine":               {nil, "v1", "", "v1"},
	} {
		if got := VersionInUse(c.engines, c.last, c.excluded); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
