// Package timer provides waits that end early when a context is done.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, whichever comes first. It reports whether
// it waited for the whole of d.
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
