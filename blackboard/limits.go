package blackboard

import (
	"context"
	"time"
)

// Limiter admits requests of one workspace.
type Limiter interface {
	// Take admits one request at the given time, or returns after what time
	// one may be admitted. It does not wait.
	Take(now time.Time) (ok bool, retryAfter time.Duration)
	// Ask asks another gateway to admit one request that Take refused. It waits
	// some tens of milliseconds at most. The request counts as admitted at the
	// returned time.
	Ask(ctx context.Context) (admitted time.Time, ok bool, retryAfter time.Duration)
}

// Limits holds the limiter of each workspace.
type Limits struct {
	// ByWorkspace maps a workspace's name to its limiter.
	ByWorkspace map[string]Limiter
}
