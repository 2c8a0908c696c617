package blackboard

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// TestEngineThatFailsAPartIsAvoidedEverLonger lets one engine fail two of five
// requests and another one of thirty.
func TestEngineThatFailsAPartIsAvoidedEverLonger(t *testing.T) {
	var grey, sound EngineHealth
	now := clock.Now()
	for i := range 150 {
		if i%5 < 2 {
			grey.Failed(now)
		} else {
			grey.Succeeded()
		}
		if i%30 == 0 {
			sound.Failed(now)
		} else {
			sound.Succeeded()
		}
	}
	grey.Failed(now)
	sound.Failed(now)
	for _, c := range []struct {
		after                  time.Duration
		greyAvoid, soundAvoids bool
	}{{400 * time.Millisecond, true, true}, {600 * time.Millisecond, true, false}, {3900 * time.Millisecond, true, false}, {4100 * time.Millisecond, false, false}} {
		at := now.Add(c.after)
		if grey.Avoided(at) != c.greyAvoid || sound.Avoided(at) != c.soundAvoids {
			t.Errorf("after %v: grey %v, sound %v", c.after, grey.Avoided(at), sound.Avoided(at))
		}
	}
	grey.Succeeded()
	if !grey.Avoided(now.Add(time.Second)) {
		t.Error("one answer made an engine that fails two of five requests good again")
	}
}

func TestPaceIsForgotten(t *testing.T) {
	var h EngineHealth
	now := clock.Now()
	for range 50 {
		h.NotePace(40*time.Millisecond, now)
	}
	if pace := h.Pace(now); pace < 39*time.Millisecond || pace > 41*time.Millisecond {
		t.Errorf("pace %v", pace)
	}
	if pace := h.Pace(now.Add(2 * paceValidity)); pace != 0 {
		t.Errorf("an old pace counts: %v", pace)
	}
	h.FoundSlow(now)
	if !h.Suspect(now) || h.Suspect(now.Add(2*slowTime)) {
		t.Error("an engine counts as slow for a wrong time")
	}
}
