package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBucketNeverExceedsRateAndBurstInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		start := time.Unix(0, 0)
		b := NewBucket(rate, float64(burst), start, false)
		now := start
		var admitted []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			if ok, _ := b.Take(now); ok {
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

func BenchmarkBucketTake(b *testing.B) {
	bucket := NewBucket(1e6, 1e6, time.Now(), false)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			bucket.Take(time.Now())
		}
	})
}
