package relay

import (
	"fmt"
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
)

// TestOnlyWorkspacesWithTheMostRefusalsAreListed guards against metrics whose number grows with
// the number of workspaces.
func TestOnlyWorkspacesWithTheMostRefusalsAreListed(t *testing.T) {
	limiters := blackboard.NewRateLimiters()
	for i := range 30 {
		l := blackboard.NewRateLimiter()
		l.Refused.Store(int64(i))
		limiters.ByWorkspace[fmt.Sprint("w", i)] = l
	}
	listed := mostRefused(limiters)
	if len(listed) != maxListedWorkspaces || listed[0].name != "w29" || listed[9].name != "w20" {
		t.Errorf("listed %v, want w29 to w20", listed)
	}
}
