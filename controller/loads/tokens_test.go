package loads

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/peer"
)

// TestPlacedTokensAreKnownToAll guards against engines that daemons fill together because the
// tokens placed by others are counted twice, kept after they are gone, or not known in another
// data centre; and against reports that change where engines have no known capacity.
func TestPlacedTokensAreKnownToAll(t *testing.T) {
	for capacity, want := range map[int64]int64{72_000: 1800, 0: 100} {
		n := newNetwork(3, 6)
		for _, d := range n.daemons {
			d.board.Catalog.Publish(catalog.New(catalog.Content{Services: []*catalog.Service{{MemoryTokens: capacity}}}))
			d.board.Engines.Value().ByID("i-1").Load.Tokens.Store(100)
		}
		n.run(time.Second)
		for _, d := range n.daemons {
			age := time.Duration(d.board.PeerReportAge.Load())
			if placed := d.board.Engines.Value().ByID("i-1").PlacedTokens(); placed != want || age <= 0 || age > maxReportAge {
				t.Fatalf("capacity %d: %s knows of %d tokens, want %d; its knowledge is %v old", capacity, d.peer.Name, placed, want, age)
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
