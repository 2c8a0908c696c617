package blackboard

import (
	"fmt"
	"testing"

	"github.com/baobablanding/baobablanding/fleet"
)

// bigView returns a view with engines spread over ten data centres of four
// regions.
func bigView(engines int) *fleet.View {
	var inv fleet.Inventory
	for i := range 10 {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: fmt.Sprint("dc-", i), Region: fmt.Sprint("region-", i%4)})
	}
	for i := range engines {
		name := fmt.Sprint("engine-", i)
		inv.VMs = append(inv.VMs, fleet.VM{Name: name, DataCentre: fmt.Sprint("dc-", i%10)})
		inv.Upstreams = append(inv.Upstreams, fleet.Upstream{Name: name, VM: name, Kind: fleet.Engine, Models: []string{"m"}})
	}
	return fleet.NewView(fleet.State{Inventory: inv})
}

func TestNearIsSmallLocalAndCoversEveryEngine(t *testing.T) {
	const engines, gateways = 1800, 410
	view := bigView(engines)
	chosen := make([]int, engines)
	members := make([]int32, engines)
	for i := range members {
		members[i] = int32(i)
	}
	for i := range gateways {
		home := fmt.Sprint("dc-", i%10)
		near := newGroupBuilder(view, fmt.Sprint("gateway-", i), home).near(members)
		if len(near) != nearLimit {
			t.Fatalf("%d upstreams are near, want %d", len(near), nearLimit)
		}
		local := 0
		for _, m := range near {
			chosen[m]++
			if view.DataCentreOf(&view.Inventory.Upstreams[m]) == home {
				local++
			}
		}
		if local != nearLocal {
			t.Fatalf("%d of the near upstreams are local, want %d", local, nearLocal)
		}
	}
	least, most := chosen[0], chosen[0]
	for _, n := range chosen {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("each engine is near to %d to %d of %d gateways", least, most, gateways)
	if least < 3 {
		t.Errorf("an engine is near to only %d gateways", least)
	}
}

func TestRingIsTheSameInARegion(t *testing.T) {
	view := bigView(200)
	a := NewTopology(view, "gateway-a", "dc-0").byModel["m"].Ring
	b := NewTopology(view, "gateway-b", "dc-4").byModel["m"].Ring
	if len(a) != len(b) {
		t.Fatalf("rings of %d and %d points", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("point %d is %v and %v", i, a[i], b[i])
		}
	}
}

func BenchmarkNewTopology(b *testing.B) {
	view := bigView(1800)
	b.ReportAllocs()
	for range b.N {
		NewTopology(view, "gateway", "dc-0")
	}
}
