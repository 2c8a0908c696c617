package jobs

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// TestItemsStartWithoutTheStoreOnlyIfItIsAwayForAll checks when a daemon that does
// not reach the store may start items.
func TestItemsStartWithoutTheStoreOnlyIfItIsAwayForAll(t *testing.T) {
	const late = startValidity + time.Second
	for _, c := range []struct {
		name       string
		own, peers time.Duration // ages of the last readings
		heard      int64         // of 5 daemons
		want       bool
	}{
		{"store is reached", 0, late, 1, true},
		{"away for all", late, late, 5, true},
		{"a peer reaches it", late, 0, 5, false},
		{"few peers are heard", late, late, 3, false},
		{"one peer is not heard", late, late, 4, true},
		{"nothing was read yet", late, late, 5, false},
	} {
		board := blackboard.NewEntry()
		board.Roster.Publish(&blackboard.Roster{Peers: make([]blackboard.Peer, 5), Known: true})
		now := clock.Now()
		board.Reading.Publish(blackboard.Reading{Sent: now.Add(-c.own)})
		board.PeersRead.Store(int64(now.Add(-c.peers)))
		board.Heard.Store(c.heard)
		if c.name == "nothing was read yet" {
			board.Reading.Publish(blackboard.Reading{})
		}
		jobs := New(board, nil, nil, blackboard.Peer{}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		if got := jobs.mayStart(); got != c.want {
			t.Errorf("%s: may start %v", c.name, got)
		}
	}
}
