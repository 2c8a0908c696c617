package admit

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
	"github.com/baobablanding/baobablanding/policy/share"
)

// newFull returns a limiter whose bucket is full.
func newFull(rate, burst float64, start time.Time) *Limiter {
	l := NewLimiter(start)
	l.Update(start, func(a share.Account, _ float64) (share.Account, float64) {
		a.Base = share.Amount{Rate: rate, Burst: burst}
		return a, burst
	})
	return l
}

func TestLimiterNeverExceedsRateAndBurstInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		start := time.Unix(0, 0)
		l := newFull(rate, float64(burst), start)
		now := start
		var admitted []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			if ok, _ := l.Take(now); ok {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				window := admitted[j].Sub(admitted[i]).Seconds()
				if limit := float64(burst) + rate*window + 1e-6; float64(j-i+1) > limit {
					t.Fatalf("%d requests in %.3fs, limit %.2f", j-i+1, window, limit)
				}
			}
		}
	})
}

func TestLimiterTokensAreKeptThroughChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		l := newFull(1, 20, start)
		taken, now := 0, start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			n, _ := l.TakeUpTo(now, rapid.IntRange(0, 3).Draw(t, "n"), 0)
			taken += n
			l.Update(now, nil)
			now = now.Add(time.Millisecond)
		}
		if limit := 20 + now.Sub(start).Seconds(); float64(taken) > limit {
			t.Fatalf("%d tokens taken, limit %.3f", taken, limit)
		}
	})
}

func TestLimiterStopsAtTheEndOfALoan(t *testing.T) {
	start := time.Unix(0, 0)
	l := newFull(0.001, 1, start)
	l.Update(start, func(a share.Account, level float64) (share.Account, float64) {
		loan := share.Loan{Peer: "b", Amount: share.Amount{Rate: 100, Burst: 10}, End: start.Add(time.Second)}
		return a.WithBorrowed(loan), level + 10
	})
	if n, _ := l.TakeUpTo(start.Add(999*time.Millisecond), 5, 0); n != 5 {
		t.Fatalf("took %d tokens during the loan, want 5", n)
	}
	if n, _ := l.TakeUpTo(start.Add(time.Second), 100, 0); n != 1 {
		t.Fatalf("took %d tokens after the end of the loan, want 1 of the base share", n)
	}
}

func TestLimiterConcurrentTakesAndChanges(t *testing.T) {
	const goroutines, tokens = 8, 200000
	start := time.Now()
	l := newFull(1e-3, tokens, start)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range goroutines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				if ok, _ := l.Take(time.Now()); !ok {
					return
				}
				taken.Add(1)
			}
		}()
	}
	for range 5000 {
		l.Update(time.Now(), nil)
	}
	wg.Wait()
	if n := taken.Load(); n > tokens || n < tokens-1 {
		t.Fatalf("%d tokens taken, want %d", n, tokens)
	}
}

func BenchmarkLimiterTake(b *testing.B) {
	l := newFull(1e9, 1e6, time.Now())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Take(time.Now())
		}
	})
}

func BenchmarkLimiterTakeOfManyWorkspaces(b *testing.B) {
	const workspaces = 64
	limiters := make([]*Limiter, workspaces)
	for i := range limiters {
		limiters[i] = newFull(1e9, 1e6, time.Now())
	}
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := int(next.Add(7)); pb.Next(); i++ {
			limiters[i%workspaces].Take(time.Now())
		}
	})
}
