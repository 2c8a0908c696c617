package due

import (
	"slices"
	"testing"
	"time"
)

func TestCompare(t *testing.T) {
	const now = 100 * time.Second
	jobs := map[string]Job{
		"late":          {Due: 90 * time.Second, Remaining: time.Second},
		"cannot end":    {Due: 103 * time.Second, Remaining: 4 * time.Second},
		"soon":          {Due: 108 * time.Second, Remaining: 5 * time.Second},
		"later":         {Due: 118 * time.Second, Remaining: 5 * time.Second},
		"almost done":   {Due: 118 * time.Second, Remaining: time.Second},
		"due, one left": {Due: 102 * time.Second, Remaining: time.Second},
	}
	var names []string
	for name := range jobs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return Compare(jobs[a], jobs[b], now) })
	want := []string{"due, one left", "almost done", "soon", "later", "late", "cannot end"}
	if !slices.Equal(names, want) {
		t.Errorf("order %q, want %q", names, want)
	}
}

func TestRunTimeFollowsWhatItemsTook(t *testing.T) {
	var r RunTime
	if r.Average() != initialRunTime {
		t.Errorf("average before the first run: %v", r.Average())
	}
	for range 100 {
		r.Observe(time.Second)
	}
	if got := r.Average(); got < time.Second || got > 1100*time.Millisecond {
		t.Errorf("average after runs of 1s: %v", got)
	}
	if got := r.Remaining(time.Hour); got <= 0 {
		t.Errorf("an item that ran for an hour has %v left, want more than 0", got)
	}
}
