package loads

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

// TestPlacedTokensAreKnownToAll guards against engines that daemons fill together because the
// tokens placed by others are counted twice, kept after they are gone, or not known in another
// data centre; and against reports that change where engines have no known capacity
// or report no pace.
func TestPlacedTokensAreKnownToAll(t *testing.T) {
	for given, want := range map[[2]int64]int64{{72_000, 100}: 1800, {0, 100}: 100, {72_000, 0}: 100} {
		capacity, pace := given[0], given[1]
		n := newNetwork(3, 6)
		for _, d := range n.daemons {
			d.board.Catalog.Publish(catalog.New(catalog.Content{Services: []*catalog.Service{{MemoryTokens: capacity}}}))
			load := d.board.Engines.Value().ByID("i-1").Load
			load.Tokens.Store(100)
			load.OwnPace.Record(pace, clock.Now())
		}
		n.run(time.Second)
		for _, d := range n.daemons {
			age := time.Duration(d.board.PeerReportAge.Load())
			if placed := d.board.Engines.Value().ByID("i-1").PlacedTokens(); placed != want || age <= 0 || age > maxReportAge {
				t.Fatalf("capacity %d, pace %d: %s knows of %d tokens, want %d; its knowledge is %v old", capacity, pace, d.peer.Name, placed, want, age)
			}
		}
	}
	c, e := newTestController()
	for i, want := range []int64{500, 200, 0} {
		c.apply(peer.LoadReport{From: "other", Sequence: int64(i + 1), Tokens: map[string]int64{"i-1": want, "gone": 3}})
		if e.PlacedTokens() != want {
			t.Errorf("%d tokens by the last report, want %d", e.PlacedTokens(), want)
		}
	}
}
