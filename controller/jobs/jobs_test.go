package jobs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/store/storetest"
)

// TestFailedClaimIsNotRepeatedAtOnce checks that a daemon waits after a claim that
// failed. Without that wait, daemons made hundreds of claims per second during an outage
// of the store (incident inc-e2e7).
func TestFailedClaimIsNotRepeatedAtOnce(t *testing.T) {
	self := blackboard.Peer{Name: "a", Incarnation: "a1"}
	board := blackboard.NewEntryBoard()
	board.Roster.Publish(&blackboard.Roster{Self: self, Members: []blackboard.Peer{self}, Loaded: true})
	rows := &countingStore{Store: storetest.New()}
	rows.NextFailure = storetest.RejectCalls
	c := New(board, rows, nil, self, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	key := job.Key{Workspace: "w", ID: "j"}
	jobs := blackboard.NewJobs(map[job.Key]*job.VersionedHead{key: {Head: job.Head{Owner: "gone", Total: 1}, Version: 1}})
	c.missingSince[key] = clock.Now().Add(-2 * claimDelay)
	ctx, cancel := context.WithTimeout(t.Context(), claimDelay/2)
	defer cancel()
	for ctx.Err() == nil {
		c.reconcile(t.Context(), jobs)
		select {
		case event := <-c.events:
			event()
		case <-time.After(time.Millisecond):
		}
	}
	if rows.commits != 1 {
		t.Errorf("%d claims in %v, want 1", rows.commits, claimDelay/2)
	}
}

// countingStore counts the transactions.
type countingStore struct {
	*storetest.Store
	commits int
}

// Commit implements store.Store.
func (s *countingStore) Commit(ctx context.Context, tx store.Tx) (store.Response, error) {
	s.commits++
	return s.Store.Commit(ctx, tx)
}
