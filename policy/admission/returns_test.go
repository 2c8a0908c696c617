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
	at       clock.Instant
	deadline clock.Instant
	returned bool
}

// served returns how many calls of a workspace get a token from the shared bucket. Each
// refused caller comes back once, after the time that comeBack returns.
func served(calls []call, limit bucket.Limit, comeBack func(c call, empty time.Duration) time.Duration) (count int) {
	state := bucket.Full(limit, 0)
	for len(calls) > 0 {
		c := calls[0]
		calls = calls[1:]
		next, taken := state.Refill(limit, time.Duration(c.at)).Take(limit, 1, 0)
		if state = next; taken == 1 {
			count++
			continue
		}
		after := comeBack(c, state.Wait(limit))
		if c.returned || float64(after) > float64(c.deadline.Sub(c.at))/3 {
			continue
		}
		back := call{at: c.at.Add(after), deadline: c.deadline, returned: true}
		i, _ := slices.BinarySearchFunc(calls, back, func(a, b call) int { return int(a.at - b.at) })
		calls = slices.Insert(calls, i, back)
	}
	return count
}

// peakAfterValley returns the calls of a workspace that asks 55 a second, and 330 a second
// from the 4th to the 9th second.
func peakAfterValley() (calls []call) {
	for at := time.Duration(0); at < 14*time.Second; {
		calls = append(calls, call{at: clock.Instant(at), deadline: clock.Instant(at + 5*time.Second)})
		rate := 55.0
		if at >= 4*time.Second && at < 9*time.Second {
			rate = 330
		}
		at += time.Duration(float64(time.Second) / rate)
	}
	return calls
}

// TestHotWorkspaceIsServedAfterItsPeak guards against callers that come back within the peak
// in which they were refused, while tokens are left after it. The load is that of the
// heaviest day: six times the usual demand for 5 s against a rate of 78 a second.
func TestHotWorkspaceIsServedAfterItsPeak(t *testing.T) {
	const daemons = 28
	limit := bucket.Limit{Rate: 78, Burst: 78}
	random := rand.New(rand.NewPCG(1, 2))
	constant := served(peakAfterValley(), limit, func(_ call, empty time.Duration) time.Duration { return max(empty, 200*time.Millisecond) })
	var queues [daemons]ReturnQueue
	planned := served(peakAfterValley(), limit, func(c call, empty time.Duration) time.Duration {
		return queues[random.IntN(daemons)].Join(Refusal{
			Now: c.at, Earliest: max(empty, 200*time.Millisecond), PerSecond: limit.Rate / daemons,
			CallerLeft: c.deadline.Sub(c.at), Random: random.Float64(),
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
		r := q.Join(Refusal{Now: now, Earliest: 200 * time.Millisecond, PerSecond: 0.01, CallerLeft: 5 * time.Second, Random: 0.9})
		if r.After != 200*time.Millisecond {
			t.Fatalf("told %v, want 200ms", r.After)
		}
	}
}

// TestReturnsAreSpreadAndHonoured guards against callers that are told a time that they do
// not wait for, and against reservations closer together than tokens come.
func TestReturnsAreSpreadAndHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q ReturnQueue
		rate := rapid.Float64Range(0, 500).Draw(t, "rate")
		now, reserved := clock.Instant(1), 0
		const left = 5 * time.Second
		for i := range rapid.IntRange(1, 300).Draw(t, "refusals") {
			r := q.Join(Refusal{Now: now, Earliest: 200 * time.Millisecond, PerSecond: rate, CallerLeft: left, Random: rapid.Float64Range(0, 0.999).Draw(t, "random")})
			if i > 0 && r.Waiting > 0 && r.After > left/3 {
				t.Fatalf("told %v of %v", r.After, left)
			}
			if r.After < 200*time.Millisecond {
				t.Fatalf("told %v, before a token can be there", r.After)
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
