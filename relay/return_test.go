package relay

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// TestRefusedCallersAreToldDifferentTimes guards against callers of a workspace beyond its
// rate that all come back at once, and against another time for those that do not say how
// long they wait.
func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	s, board := newServer()
	w := &catalog.Workspace{Name: "w", Rate: 10, Burst: 10}
	limiter := blackboard.NewRateLimiter()
	board.RateLimiters.Publish(&blackboard.RateLimiters{ByWorkspace: map[string]*blackboard.RateLimiter{"w": limiter}})
	refuse := func(timeout time.Duration) time.Duration {
		limiter.Grant.Publish(blackboard.NewGrant(0, 0, clock.Now().Add(60*time.Millisecond)))
		err := result.FromError(s.admitByRate(t.Context(), w, &Request{Received: clock.Now(), CallerTimeout: timeout}))
		if err.Code != result.RateExceeded || err.Verdict != result.NotRun {
			t.Fatalf("refused with %v, want rate_exceeded as not run", err)
		}
		return err.RetryAfter
	}
	for range 2 {
		if got := refuse(0); got != minRateRetryAfter {
			t.Errorf("a caller without a time limit is told %v, want %v", got, minRateRetryAfter)
		}
	}
	if got := refuse(5 * time.Second); got != minRateRetryAfter {
		t.Errorf("the first caller is told %v, want %v", got, minRateRetryAfter)
	}
	if got := refuse(5 * time.Second); got <= minRateRetryAfter || got > 500*time.Millisecond {
		t.Errorf("the second caller is told %v, want a time behind the first", got)
	}
	if got := limiter.Refused.Load(); got != 4 {
		t.Errorf("%d refusals are counted, want 4", got)
	}
}
