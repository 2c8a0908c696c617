package blackboard

import "time"

// Limiter admits requests of one workspace.
type Limiter interface {
	// Take admits one request at the given time, or returns after what time
	// one may be admitted.
	Take(now time.Time) (ok bool, retryAfter time.Duration)
}

// Limits holds the limiter of each workspace.
type Limits struct {
	// ByWorkspace maps a workspace's name to its limiter.
	ByWorkspace map[string]Limiter
}
