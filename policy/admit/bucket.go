// Package admit decides whether a request is within its workspace's rate.
package admit

import (
	"sync/atomic"
	"time"
)

// Bucket is a rate limiter that is safe for concurrent use without locks. It
// admits at most burst + rate × d requests in any window of length d. It keeps
// one word: the time at which the bucket would be full again.
type Bucket struct {
	interval  int64 // ns between two requests at the sustained rate
	tolerance int64 // ns of burst
	full      atomic.Int64
	origin    time.Time
}

// NewBucket returns a bucket for rate requests per second and a burst of
// requests. It starts empty at the given time if empty is set, otherwise full.
func NewBucket(rate, burst float64, start time.Time, empty bool) *Bucket {
	interval := int64(float64(time.Second) / rate)
	b := &Bucket{
		interval:  interval,
		tolerance: int64(burst * float64(interval)),
		origin:    start,
	}
	if empty {
		b.full.Store(b.tolerance)
	}
	return b
}

// Take admits one request at the given time, or returns the time after which
// one may be admitted.
func (b *Bucket) Take(now time.Time) (bool, time.Duration) {
	at := int64(now.Sub(b.origin))
	for {
		full := b.full.Load()
		next := max(full, at) + b.interval
		if wait := next - at - b.tolerance; wait > 0 {
			return false, time.Duration(wait)
		}
		if b.full.CompareAndSwap(full, next) {
			return true, 0
		}
	}
}
