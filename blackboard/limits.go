package blackboard

import (
	"context"
	"time"
)

// Limiter is the rate limiter of one workspace on a gateway. Its methods may be
// called from several goroutines.
type Limiter interface {
	// Take admits one request at the given time from the gateway's own tokens. If
	// it does not, it returns the time after which a request may be admitted. It
	// does not block.
	Take(now time.Time) (ok bool, retryAfter time.Duration)
	// TakeRemote asks another gateway for the token of one request that Take rejected.
	// It blocks for some tens of milliseconds at most. The request counts as
	// admitted at the returned time.
	TakeRemote(ctx context.Context) (admitted time.Time, ok bool, retryAfter time.Duration)
}

// Limits holds the rate limiters of the workspaces. It is immutable.
type Limits struct {
	// ByWorkspace maps a workspace's name to its limiter.
	ByWorkspace map[string]Limiter
}
