// Package timer holds waits that end with a context.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d and returns whether ctx still runs. It returns false at once
// when ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
