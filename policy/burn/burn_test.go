package burn

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
)

func TestRate(t *testing.T) {
	for _, c := range []struct {
		count  Count
		target float64
		want   float64
	}{
		{Count{}, 0.95, 0},
		{Count{100, 100}, 0.95, 0},
		{Count{95, 100}, 0.95, 1},
		{Count{90, 100}, 0.95, 2},
		{Count{0, 100}, 0.99, 100},
	} {
		if got := Rate(c.count, c.target); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("Rate(%v, %v) = %v, want %v", c.count, c.target, got, c.want)
		}
	}
}

func TestEvaluateAlertsOnlyWhileBothWindowsBurn(t *testing.T) {
	hot, calm := Count{80, 100}, Count{99, 100}
	for _, c := range []struct {
		short, long Count
		want        bool
	}{{hot, hot, true}, {hot, calm, false}, {calm, hot, false}, {calm, calm, false}} {
		states := Evaluate(map[time.Duration]Count{5 * time.Minute: c.short, time.Hour: c.long}, 0.99)
		if states[0].Alert != c.want {
			t.Errorf("short %v, long %v: alert %v, want %v", c.short, c.long, states[0].Alert, c.want)
		}
	}
}

// TestHistoryCountsWindows checks the count of each window against a plain list of
// events, also when the cumulative count exceeds 2^32.
func TestHistoryCountsWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		h := NewHistory(now)
		var count Count
		if rapid.Bool().Draw(t, "wraps") {
			count = Count{Good: 1<<32 - 20, Total: 1<<32 - 10}
			for end := now.Add(104 * day); now.Before(end); now = now.Add(2 * time.Hour) {
				h.Add(now, count)
			}
		}
		const longestGap = 20 * time.Minute
		var events []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, int(longestGap/time.Second)).Draw(t, "gap")) * time.Second)
			h.Add(now, count)
			count.Total++
			events = append(events, now)
		}
		for _, w := range Windows() {
			got := count.Sub(h.CountAtStart(now, w, count)).Total
			var least, most uint64
			for _, e := range events {
				age := now.Sub(e)
				if age < w {
					least++
				}
				if age <= w+intervalOf(w)+longestGap {
					most++
				}
			}
			if got < least || got > most {
				t.Fatalf("window %s counts %d, want %d to %d", w, got, least, most)
			}
		}
	})
}

// intervalOf returns the interval between the samples that are used for the window.
func intervalOf(window time.Duration) time.Duration {
	for _, r := range rings {
		if window <= r.maxWindow {
			return r.interval
		}
	}
	return 0
}

func TestHistoryIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	h := NewHistory(now)
	for range 4 * day / SampleInterval {
		now = now.Add(SampleInterval)
		h.Add(now, Count{})
	}
	for i, want := range []int{61, 25, 37} {
		if got := len(h.rings[i].samples); got != want {
			t.Errorf("ring %d keeps %d samples, want %d", i, got, want)
		}
	}
}
