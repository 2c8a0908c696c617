package blackboard

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// TestTrialOfOneSegmentOpensNoOther guards against a request that, as the trial of one of its
// segments, runs while another one is quarantined, in whatever order they stand.
func TestTrialOfOneSegmentOpensNoOther(t *testing.T) {
	for _, segments := range [][]Segment{{1, 2}, {2, 1}} {
		now := clock.Now()
		due := &Quarantined{TrialDue: now, MayTry: true}
		gate := SegmentGate{Segments: segments}
		if !gate.Enter(&Quarantine{BySegment: map[Segment]*Quarantined{2: due}}, now) {
			t.Fatal("the trial was not taken")
		}
		both := &Quarantine{BySegment: map[Segment]*Quarantined{2: due, 1: {TrialDue: now.Add(time.Minute)}}}
		if wait, blocked := gate.Blocked(both, now); !blocked || wait != time.Minute || gate.Enter(both, now) {
			t.Errorf("%v: blocked %v for %v, want for a minute", segments, blocked, wait)
		}
	}
}
