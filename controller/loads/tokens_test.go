package loads

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/peer"
)

// publishMemory lets the daemon's configuration say how many tokens an engine holds.
func publishMemory(c *Controller, tokens int64) {
	c.board.Catalog.Publish(catalog.New(catalog.Content{Services: []*catalog.Service{{MemoryTokens: tokens}}}))
}

// TestPlacedTokensAreKnownToAll guards against engines that daemons fill together because the
// tokens placed by others are counted twice, kept after they are gone, or not known in another
// data centre.
func TestPlacedTokensAreKnownToAll(t *testing.T) {
	n := newNetwork(3, 6)
	for _, d := range n.daemons {
		publishMemory(d.Controller, 72_000)
		d.board.Engines.Value().ByID("i-1").Load.Tokens.Store(100)
	}
	n.run(2 * time.Second)
	for _, d := range n.daemons {
		if placed := d.board.Engines.Value().ByID("i-1").PlacedTokens(); placed != 1800 {
			t.Fatalf("%s knows of %d tokens, want 1800", d.peer.Name, placed)
		}
		if age := time.Duration(d.board.PeerReportAge.Load()); age <= 0 || age > maxReportAge {
			t.Errorf("%s: what it knows of the others is %v old", d.peer.Name, age)
		}
	}
	c, e := newTestController()
	c.apply(peer.LoadReport{From: "other", Sequence: 1, Tokens: map[string]int64{"i-1": 500, "gone": 3}})
	c.apply(peer.LoadReport{From: "other", Sequence: 2, Tokens: map[string]int64{"i-1": 200}})
	c.applyTotals(c.board.Roster.Value())
	if e.PlacedTokens() != 200 {
		t.Errorf("%d tokens by the last report, want 200", e.PlacedTokens())
	}
	c.apply(peer.LoadReport{From: "other", Sequence: 3})
	if e.PlacedTokens() != 0 {
		t.Errorf("%d tokens after the request ended, want 0", e.PlacedTokens())
	}
}

// TestTokensAreNotReportedWithoutACapacity guards against load reports that change where the
// configuration does not say how many tokens an engine holds.
func TestTokensAreNotReportedWithoutACapacity(t *testing.T) {
	c, e := newTestController()
	e.Load.Tokens.Store(100)
	for range 2 {
		if r := c.newReport(c.board.Roster.Value(), 1); r.Tokens != nil {
			t.Errorf("tokens are reported: %v", r.Tokens)
		}
		publishMemory(c, 0)
	}
}
