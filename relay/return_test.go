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
	for i, c := range []struct{ timeout, least, most time.Duration }{
		{0, minRateRetryAfter, minRateRetryAfter},
		{0, minRateRetryAfter, minRateRetryAfter},
		{5 * time.Second, minRateRetryAfter, minRateRetryAfter},
		{5 * time.Second, minRateRetryAfter + 1, 500 * time.Millisecond}, // behind the one before
	} {
		limiter.Grant.Publish(blackboard.NewGrant(0, 0, clock.Now().Add(60*time.Millisecond)))
		e := result.FromError(s.admitByRate(t.Context(), w, &Request{Received: clock.Now(), CallerTimeout: c.timeout}))
		if e.Code != result.RateExceeded || e.Verdict != result.NotRun || e.RetryAfter < c.least || e.RetryAfter > c.most {
			t.Errorf("caller %d: %v, retry after %v; want rate_exceeded, %v to %v", i, e, e.RetryAfter, c.least, c.most)
		}
	}
	if got := mostRefused(board.RateLimiters.Value()); len(got) != 1 || got[0].rate != 4 {
		t.Errorf("counted %v, want 4 refusals", got)
	}
}
