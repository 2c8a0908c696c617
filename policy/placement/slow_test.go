package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

func TestSlowEnginesAreThoseSlowerThanMost(t *testing.T) {
	now := clock.Now()
	withIntervals := func(intervals ...time.Duration) []*blackboard.Engine {
		var engines []*blackboard.Engine
		for i, interval := range intervals {
			e := newEngine(fmt.Sprint(i), 1, 0)
			e.Load.Health.ObserveInterval(interval*time.Millisecond, now)
			engines = append(engines, e)
		}
		return engines
	}
	if slow := SlowEngines(withIntervals(40, 52, 40, 52, 240), now); len(slow) != 1 || slow[0].ID != "4" {
		t.Errorf("slow engines: %v", slow)
	}
	if slow := SlowEngines(withIntervals(240, 250, 230, 260), now); len(slow) != 0 {
		t.Errorf("a slow daemon found %d engines slow, want none", len(slow))
	}
	if slow := SlowEngines(withIntervals(40, 40, 400), now); len(slow) != 0 {
		t.Errorf("%d of three engines were found slow, want none", len(slow))
	}
}

func TestEjectionNeedsDaemonsThatAgree(t *testing.T) {
	for _, c := range []struct {
		suspects []string
		want     bool
	}{
		{nil, false}, {[]string{"a"}, false}, {[]string{"a", "a"}, true},
		{[]string{"b", "b", "b"}, false}, {[]string{"b", "c"}, true}, {[]string{"a", "b"}, false},
	} {
		if got := ShouldEject("a", c.suspects); got != c.want {
			t.Errorf("suspected in %v: got %v", c.suspects, got)
		}
	}
}
