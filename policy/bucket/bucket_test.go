package bucket

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
)

// TestTokensTakenInAnyWindowAreBounded checks that no more tokens are taken in any
// window than the burst and those added in the window, whatever number is asked for.
func TestTokensTakenInAnyWindowAreBounded(t *testing.T) {
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
				t.Fatalf("%d tokens taken in a window, limit %v", sum, allowed)
			}
		}
	})
}

func TestClockThatGoesBackAddsNoTokens(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 5}
	state, taken := Full(limit, time.Second).Take(limit, 9, 0)
	if taken != 5 {
		t.Fatalf("took %d of a full bucket of 5", taken)
	}
	if _, taken = state.Refill(limit, 500*time.Millisecond).Take(limit, 9, 0); taken != 0 {
		t.Errorf("took %d tokens after the clock went back, want 0", taken)
	}
	if wait := state.Wait(limit); wait != 100*time.Millisecond {
		t.Errorf("the next token comes after %v, want 100ms", wait)
	}
}

func TestUnusedTokensAreGivenBack(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 10}
	state, _ := Full(limit, 0).Take(limit, 10, 0)
	if _, taken := state.Take(limit, 4, 3); taken != 3 {
		t.Errorf("took %d after 3 were given back", taken)
	}
}

func TestGrantOfOneDaemonIsBounded(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		want      int
	}{{0, 1}, {3, 4}, {1000, 6}} {
		if got := GrantSize(c.perSecond, Limit{Rate: 20, Burst: 20}); got != c.want {
			t.Errorf("GrantSize at %v a second is %d, want %d", c.perSecond, got, c.want)
		}
	}
}

// TestGrantsAndOverdraftsAreWithinTheTolerance checks that the tokens that daemons
// hold in grants, and their overdrafts, are within the tolerance of a limit in a window
// of 5 s: a tenth more and 20 requests.
func TestGrantsAndOverdraftsAreWithinTheTolerance(t *testing.T) {
	for rate := 1.0; rate <= 500; rate++ {
		limit := Limit{Rate: rate, Burst: rate}
		held := math.Min(GrantLifetime(limit).Seconds(), 5) * rate
		early := (1 - overdraftFraction) * limit.Burst
		if room := 0.1*(5*rate+limit.Burst) + 20; held+early > room {
			t.Fatalf("rate %v: %v tokens held and %v overdrawn, tolerance %v", rate, held, early, room)
		}
	}
}
