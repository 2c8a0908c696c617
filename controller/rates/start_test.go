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
	limiter.TokensRequested.Add(1)
	for end := clock.Now().Add(120 * time.Millisecond); clock.Now() < end; time.Sleep(time.Millisecond) {
		grant := limiter.Grant.Value()
		if limiter.Take(grant, clock.Now()) {
			return true
		}
		if _, empty := grant.BucketEmptyUntil(clock.Now()); empty {
			return false
		}
	}
	return false
}

// TestStartOfAllDaemonsServesRequestsWithinTheRate guards against refusals by daemons that
// start together and whose first writes of a shared bucket take long, as behind those of all
// others, although its content was read. Together they must stay at the rate.
func TestStartOfAllDaemonsServesRequestsWithinTheRate(t *testing.T) {
	const daemons, burst, rate, requests = 6, 24, 24, 20 // requests of each daemon; its part of the burst is 4
	rows := &slowStore{Store: storetest.New(), delay: 200 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	var controllers, callers sync.WaitGroup
	defer controllers.Wait()
	defer cancel()
	var served, atStart atomic.Int64
	start := time.Now()
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
			for i := range requests {
				if !waitForToken(snap.Value.ByWorkspace["w"]) {
					time.Sleep(20 * time.Millisecond)
				} else if served.Add(1); i < 3 {
					atStart.Add(1)
				}
			}
		})
	}
	callers.Wait()
	// 10% and 20 requests above the rate and the burst are allowed.
	most := (burst+rate*time.Since(start).Seconds())*1.1 + 20
	if got := served.Load(); atStart.Load() != 3*daemons || float64(got) > most {
		t.Errorf("%d of the first %d requests were served, %d of all; want all of the first and at most %v", atStart.Load(), 3*daemons, got, most)
	}
}
