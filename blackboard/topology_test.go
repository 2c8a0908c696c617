package blackboard

import (
	"fmt"
	"testing"

	"github.com/baobablanding/baobablanding/fleet"
)

// viewWithEngines returns a view with the given number of engines, spread over ten
// data centres in four regions.
func viewWithEngines(engines int) *fleet.View {
	var inv fleet.Inventory
	for i := range 10 {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: fmt.Sprint("dc-", i), Region: fmt.Sprint("region-", i%4)})
	}
	for i := range engines {
		name := fmt.Sprint("engine-", i)
		inv.VMs = append(inv.VMs, fleet.VM{Name: name, DataCentre: fmt.Sprint("dc-", i%10)})
		inv.Upstreams = append(inv.Upstreams, fleet.Upstream{Name: name, VM: name, Kind: fleet.KindEngine, Models: []string{"m"}})
	}
	return fleet.NewView(fleet.State{Inventory: inv})
}

// TestPreferredEnginesAreFewLocalAndCoverAllEngines checks the number of engines
// that each gateway prefers, how many of them are in its data centre, and that no
// engine is preferred by fewer than three gateways.
func TestPreferredEnginesAreFewLocalAndCoverAllEngines(t *testing.T) {
	const engines, gateways = 1800, 410
	view := viewWithEngines(engines)
	gatewaysOf := make([]int, engines) // number of gateways that prefer the engine
	members := make([]int32, engines)
	for i := range members {
		members[i] = int32(i)
	}
	for i := range gateways {
		dataCentre := fmt.Sprint("dc-", i%10)
		preferred := newGroupBuilder(view, fmt.Sprint("gateway-", i), dataCentre).preferred(members)
		if len(preferred) != preferredLimit {
			t.Fatalf("gateway prefers %d upstreams, want %d", len(preferred), preferredLimit)
		}
		local := 0
		for _, m := range preferred {
			gatewaysOf[m]++
			if view.DataCentreOf(&view.Inventory.Upstreams[m]) == dataCentre {
				local++
			}
		}
		if local != preferredLocalLimit {
			t.Fatalf("%d of the preferred upstreams are in the gateway's data centre, want %d", local, preferredLocalLimit)
		}
	}
	least, most := gatewaysOf[0], gatewaysOf[0]
	for _, n := range gatewaysOf {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("each engine is preferred by %d to %d of %d gateways", least, most, gateways)
	if least < 3 {
		t.Errorf("an engine is preferred by only %d gateways, want at least 3", least)
	}
}

// TestRingIsTheSameInARegion checks that two gateways of one region, dc-0 and dc-4
// are in the same one, have the same ring.
func TestRingIsTheSameInARegion(t *testing.T) {
	view := viewWithEngines(200)
	a := NewTopology(view, "gateway-a", "dc-0").byModel["m"].Ring
	b := NewTopology(view, "gateway-b", "dc-4").byModel["m"].Ring
	if len(a) != len(b) {
		t.Fatalf("rings have %d and %d points", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("point %d of the rings is %v and %v", i, a[i], b[i])
		}
	}
}

func BenchmarkNewTopology(b *testing.B) {
	view := viewWithEngines(1800)
	b.ReportAllocs()
	for range b.N {
		NewTopology(view, "gateway", "dc-0")
	}
}
