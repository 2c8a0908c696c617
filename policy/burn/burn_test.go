package burn

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
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

// TestHistoryCountsWindows checks each window against a plain list of events.
func TestHistoryCountsWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		h := NewHistory(start)
		type event struct{ at time.Time }
		var events []event
		now, count := start, Count{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "gap")) * time.Second)
			h.Add(now, count)
			count.Total++
			events = append(events, event{now})
		}
		for _, w := range Windows() {
			step := coarseStep
			if w <= fineReaches {
				step = FineStep
			}
			got := count.Sub(h.Start(now, w)).Total
			var least, most uint64
			for _, e := range events {
				age := now.Sub(e.at)
				if age < w {
					least++
				}
				if age <= w+step+20*time.Minute {
					most++
				}
			}
			if got < least || got > most {
				t.Fatalf("window %s counts %d, want %d to %d", w, got, least, most)
			}
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	h := NewHistory(now)
	for range 4 * 24 * 3600 / 15 {
		now = now.Add(FineStep)
		h.Add(now, Count{})
	}
	if len(h.fine.list) != fineKept || len(h.coarse.list) != coarseKept {
		t.Errorf("kept %d and %d samples, want %d and %d", len(h.fine.list), len(h.coarse.list), fineKept, coarseKept)
	}
}
