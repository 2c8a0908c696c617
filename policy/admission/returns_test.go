package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobablanding/baobablanding/clock"
	_ "github.com/baobablanding/baobablanding/history/seed"
	"github.com/baobablanding/baobablanding/policy/bucket"
)

// call is one arrival of a caller's request in a simulation.
type call struct {
	at       time.Duration
	left     time.Duration // until its deadline
	returned bool
}

// servedInPeak returns how many requests of a workspace get a token that asks 55 a second, and
// 330 from the 4th to the 9th second. Each refused caller comes back once, after the time
// that comeBack returns, if that is at most a third of what it has left.
func servedInPeak(limit bucket.Limit, comeBack func(c call, empty time.Duration) time.Duration) (count int) {
	var calls []call
	for at := time.Duration(0); at < 14*time.Second; at += time.Second / 330 {
		if peak := at >= 4*time.Second && at < 9*time.Second; peak || len(calls) == 0 || at-calls[len(calls)-1].at >= time.Second/55 {
			calls = append(calls, call{at: at, left: 5 * time.Second})
		}
	}
	state := bucket.Full(limit, 0)
	for ; len(calls) > 0; calls = calls[1:] {
		c, taken := calls[0], 0
		if state, taken = state.Refill(limit, c.at).Take(limit, 1, 0); taken == 1 {
			count++
			continue
		}
		if after := comeBack(c, state.Wait(limit)); !c.returned && 3*after <= c.left {
			back := call{at: c.at + after, left: c.left - after, returned: true}
			i, _ := slices.BinarySearchFunc(calls, back, func(a, b call) int { return int(a.at - b.at) })
			calls = slices.Insert(calls, i, back)
		}
	}
	return count
}

// TestHotWorkspaceIsServedAfterItsPeak guards against callers that come back within the peak
// in which they were refused, while tokens are left after it. The load is that of the
// heaviest day: six times the usual demand for 5 s against a rate of 78 a second.
func TestHotWorkspaceIsServedAfterItsPeak(t *testing.T) {
	const daemons = 28
	limit := bucket.Limit{Rate: 78, Burst: 78}
	random := rand.New(rand.NewPCG(1, 2))
	constant := servedInPeak(limit, func(_ call, empty time.Duration) time.Duration { return max(empty, 200*time.Millisecond) })
	var queues [daemons]ReturnQueue
	planned := servedInPeak(limit, func(c call, empty time.Duration) time.Duration {
		return queues[random.IntN(daemons)].Join(Refusal{
			Now: clock.Instant(c.at), Earliest: max(empty, 200*time.Millisecond), PerSecond: limit.Rate / daemons,
			CallerLeft: c.left, Random: random.Float64(),
		}).After
	})
	t.Logf("served %d with a constant time, %d with the queue", constant, planned)
	if planned < constant+20 {
		t.Errorf("the queue served %d, a constant time %d; want at least 20 more", planned, constant)
	}
}

// TestCallerThatIsRefusedAloneKeepsItsTime guards against later times for a workspace that
// exceeds its rate by single requests.
func TestCallerThatIsRefusedAloneKeepsItsTime(t *testing.T) {
	var q ReturnQueue
	for now := clock.Instant(1); now < clock.Instant(time.Minute); now = now.Add(2 * time.Second) {
		if r := q.Join(Refusal{Now: now, Earliest: time.Second / 5, PerSecond: 0.01, CallerLeft: 5 * time.Second}); r.After != time.Second/5 {
			t.Fatalf("told %v, want 200ms", r.After)
		}
	}
}

// TestReturnsAreSpreadAndHonoured guards against callers that are told a time that they do
// not wait for, and against reservations closer together than tokens come.
func TestReturnsAreSpreadAndHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q ReturnQueue
		rate, reserved := rapid.Float64Range(0, 500).Draw(t, "rate"), 0
		const earliest, left = 200 * time.Millisecond, 5 * time.Second
		for range rapid.IntRange(1, 300).Draw(t, "refusals") {
			r := q.Join(Refusal{Now: 1, Earliest: earliest, PerSecond: rate, CallerLeft: left, Random: rapid.Float64Range(0, 0.999).Draw(t, "random")})
			if r.After < earliest || r.After > left/3 {
				t.Fatalf("told %v of %v", r.After, left)
			}
			if !r.Late {
				reserved++
			}
		}
		if most := rate*LatestReturn(left).Seconds() + 2; float64(reserved) > most {
			t.Fatalf("reserved %d, want at most %v", reserved, most)
		}
	})
}
