package jobs

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// TestItemsStartWithoutTheStoreOnlyInAnOutageForAll checks when a daemon may start
// items while the store is unavailable to it.
func TestItemsStartWithoutTheStoreOnlyInAnOutageForAll(t *testing.T) {
	const late = maxReadAgeToStart + time.Second
	for _, c := range []struct {
		name       string
		own, peers time.Duration // ages of the last reads
		reporting  int64         // number of the 5 daemons whose load reports arrive
		want       bool
	}{
		{"store is available", 0, late, 1, true},
		{"store is unavailable for all", late, late, 5, true},
		{"store is available to a peer", late, 0, 5, false},
		{"few daemons report", late, late, 3, false},
		{"one daemon does not report", late, late, 4, true},
		{"nothing was read yet", late, late, 5, false},
	} {
		board := blackboard.NewEntryBoard()
		board.Roster.Publish(&blackboard.Roster{Members: make([]blackboard.Peer, 5), Loaded: true})
		now := clock.Now()
		board.ConfigRead.Publish(blackboard.ConfigRead{SentAt: now.Add(-c.own)})
		board.PeerReadAt.Store(int64(now.Add(-c.peers)))
		board.ReportingDaemons.Store(c.reporting)
		if c.name == "nothing was read yet" {
			board.ConfigRead.Publish(blackboard.ConfigRead{})
		}
		controller := New(board, nil, Engines{}, blackboard.Peer{}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		if got := controller.canStart(); got != c.want {
			t.Errorf("%s: canStart() = %v", c.name, got)
		}
	}
}
