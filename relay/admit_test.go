package relay

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// newServer returns a server and its board, which has no rate limiters yet.
func newServer() (*Server, *blackboard.EntryBoard) {
	board := blackboard.NewEntryBoard()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return NewServer(board, nil, "dc-1", time.Second, NewMetrics(prometheus.NewRegistry()), logger), board
}

// TestTakeTokenWaitsForLimiterOfNewWorkspace takes a token of a workspace whose
// configuration is published before its rate limiter.
func TestTakeTokenWaitsForLimiterOfNewWorkspace(t *testing.T) {
	s, board := newServer()
	w := &catalog.Workspace{Name: "w", Rate: 10, Burst: 10}
	time.AfterFunc(maxTokenWait/4, func() {
		limiter := blackboard.NewRateLimiter()
		limiter.Grant.Publish(blackboard.NewGrant(1, clock.Now().Add(time.Minute), 0))
		board.RateLimiters.Publish(&blackboard.RateLimiters{ByWorkspace: map[string]*blackboard.RateLimiter{"w": limiter}})
	})
	if err := s.takeToken(t.Context(), w); err != nil {
		t.Errorf("takeToken within the rate: %v", err)
	}
}

func TestTakeTokenFailsWithoutLimiter(t *testing.T) {
	s, _ := newServer()
	start := time.Now()
	err := s.takeToken(t.Context(), &catalog.Workspace{Name: "w", Rate: 10})
	if e := result.FromError(err); err == nil || e.Verdict != result.NotRun || e.RetryAfter == 0 {
		t.Errorf("takeToken without a limiter: error %v, want one that was not run and names a retry time", err)
	}
	if took := time.Since(start); took > 5*maxTokenWait {
		t.Errorf("takeToken failed after %v, want at most 5 times maxTokenWait", took)
	}
}

// TestRequestIsServedAfterItsRateWasRemoved guards against requests that are refused because
// the configuration removed their workspace's rate while their body arrived.
func TestRequestIsServedAfterItsRateWasRemoved(t *testing.T) {
	s, board := newServer()
	board.Catalog.Publish(catalog.New(catalog.Content{Workspaces: []*catalog.Workspace{{Name: "w"}}}))
	if err := s.takeToken(t.Context(), &catalog.Workspace{Name: "w", Rate: 10, Burst: 10}); err != nil {
		t.Errorf("takeToken: %v, want no error without a rate in force", err)
	}
}
