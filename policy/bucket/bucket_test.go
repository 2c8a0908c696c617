package bucket

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
)

// TestWindowIsBounded checks that in any window no more tokens are taken than
// the burst and what came in the window, whatever daemons ask for and give back.
func TestWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  float64(rapid.IntRange(1, 100).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 100).Draw(t, "burst")),
		}
		state := Full(limit, 0)
		type taking struct {
			at     time.Duration
			tokens int
		}
		var takings []taking
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			next, taken := state.Refill(limit, now).Take(limit, rapid.IntRange(0, 50).Draw(t, "want"), 0)
			state = next
			takings = append(takings, taking{now, taken})
		}
		const window = 2 * time.Second
		for i, first := range takings {
			sum := 0
			for _, k := range takings[i:] {
				if k.at-first.at <= window {
					sum += k.tokens
				}
			}
			if allowed := limit.Burst + limit.Rate*window.Seconds() + 1e-6; float64(sum) > allowed {
				t.Fatalf("%d tokens in a window that allows %v", sum, allowed)
			}
		}
	})
}

func TestClockThatStandsStillGivesNothing(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 5}
	state, taken := Full(limit, time.Second).Take(limit, 9, 0)
	if taken != 5 {
		t.Fatalf("took %d of a full bucket of 5", taken)
	}
	if _, taken = state.Refill(limit, 500*time.Millisecond).Take(limit, 9, 0); taken != 0 {
		t.Errorf("a clock that went back gave %d tokens", taken)
	}
	if wait := state.Wait(limit); wait != 100*time.Millisecond {
		t.Errorf("the next token comes after %v, want 100ms", wait)
	}
}

func TestUnusedTokensComeBack(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 10}
	state, _ := Full(limit, 0).Take(limit, 10, 0)
	if _, taken := state.Take(limit, 4, 3); taken != 3 {
		t.Errorf("took %d after 3 came back", taken)
	}
}

func TestOneDaemonHoldsOnlyAPart(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		want      int
	}{{0, 1}, {3, 4}, {1000, 6}} {
		if got := Want(c.perSecond, Limit{Rate: 20, Burst: 20}); got != c.want {
			t.Errorf("Want at %v a second is %d, want %d", c.perSecond, got, c.want)
		}
	}
}

// TestHeldTokensFitIntoTheLimit checks that what daemons hold, and what they admit
// before the store is asked, is within the room that a limit leaves in a window of
// 5 s: a tenth and 20 requests.
func TestHeldTokensFitIntoTheLimit(t *testing.T) {
	for rate := 1.0; rate <= 500; rate++ {
		limit := Limit{Rate: rate, Burst: rate}
		held := math.Min(Validity(limit).Seconds(), 5) * rate
		early := (1 - richPart) * limit.Burst
		if room := 0.1*(5*rate+limit.Burst) + 20; held+early > room {
			t.Fatalf("rate %v: %v tokens held and %v admitted early, room for %v", rate, held, early, room)
		}
	}
}
