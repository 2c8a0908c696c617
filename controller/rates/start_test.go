package rates

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store/storetest"
)

// waitForToken asks the limiter for a token as a request does, for at most 120 ms.
func waitForToken(limiter *blackboard.RateLimiter) bool {
	timeout := time.After(120 * time.Millisecond)
	limiter.TokensRequested.Add(1)
	for {
		grant := limiter.Grant.Load()
		if limiter.Take(grant.Value, clock.Now()) {
			return true
		}
		if _, empty := grant.Value.BucketEmptyUntil(clock.Now()); empty {
			return false
		}
		select {
		case <-grant.Changed():
		case <-timeout:
			return false
		}
	}
}

// TestStartOfAllDaemonsServesRequestsWithinTheRate guards against refusals by daemons that
// start together and whose first writes of a shared bucket take long, as behind those of all
// others, although its content was read. They must not admit more than it holds.
func TestStartOfAllDaemonsServesRequestsWithinTheRate(t *testing.T) {
	const daemons, burst, rate, requests = 6, 30, 30, 3 // requests of each daemon
	rows := &slowStore{Store: storetest.New(), delay: 200 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	var controllers, callers sync.WaitGroup
	defer controllers.Wait()
	defer cancel()
	var served, asked atomic.Int64
	for range daemons {
		board := blackboard.NewEntryBoard()
		board.Roster.Publish(&blackboard.Roster{Members: make([]blackboard.Peer, daemons), Loaded: true})
		board.Catalog.Publish(catalog.New(catalog.Content{Workspaces: []*catalog.Workspace{{Name: "w", Rate: rate, Burst: burst}}}))
		controllers.Go(func() {
			New(board, rows, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}).Run(ctx)
		})
		callers.Go(func() {
			snap := board.RateLimiters.Load()
			for ; snap.Value.ByWorkspace["w"] == nil; snap = board.RateLimiters.Load() {
				<-snap.Changed()
			}
			for range requests {
				asked.Add(1)
				if waitForToken(snap.Value.ByWorkspace["w"]) {
					served.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if served.Load() < asked.Load() || served.Load() > burst {
		t.Errorf("%d of %d requests were served, want all, and at most the burst of %d", served.Load(), asked.Load(), burst)
	}
}
