package blackboard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/fleet"
)

const (
	// nearLimit is the number of upstreams of a group that one gateway prefers.
	nearLimit = 48
	// nearLocal is the number of those that are in the gateway's data centre, if
	// it has as many.
	nearLocal = 36
	// ringPoints is the number of points of each upstream on the ring.
	ringPoints = 32
)

// Topology groups the upstreams of a configuration as one gateway sees them. It
// is immutable and outlives the snapshots of Upstreams that use it.
type Topology struct {
	byModel map[string]*Group
	byRoute map[string]*Group
	single  map[string]*Group
}

// Group is a set of interchangeable upstreams, each given by its index in
// Upstreams.All.
type Group struct {
	// Members lists all upstreams of the group.
	Members []int32
	// Near lists those that the gateway prefers: those of its data centre
	// first, then of its region, then of others. Different gateways prefer
	// different ones, so that each talks to few.
	Near []int32
	// Ring orders the upstreams of the gateway's region by hash. Every gateway
	// of the region has the same ring.
	Ring []RingPoint
}

// RingPoint is one point of an upstream on a Group's ring.
type RingPoint struct {
	// Hash is the position of the point.
	Hash uint64
	// Member is the upstream's index in Upstreams.All.
	Member int32
}

// NewTopology returns the topology of the view for the named gateway in the data
// centre.
func NewTopology(view *fleet.View, gateway, dataCentre string) *Topology {
	b := newGroupBuilder(view, gateway, dataCentre)
	t := &Topology{
		byModel: make(map[string]*Group),
		byRoute: make(map[string]*Group),
		single:  make(map[string]*Group),
	}
	index := make(map[string]int32)
	models := make(map[string][]int32)
	for i := range view.Inventory.Upstreams {
		spec := &view.Inventory.Upstreams[i]
		index[spec.Name] = int32(i)
		t.single[spec.Name] = b.group([]int32{int32(i)})
		if spec.Kind != fleet.Engine {
			continue
		}
		for _, m := range spec.Models {
			models[m] = append(models[m], int32(i))
		}
	}
	for m, members := range models {
		t.byModel[m] = b.group(members)
	}
	for i := range view.Inventory.Routes {
		r := &view.Inventory.Routes[i]
		t.byRoute[r.Name] = b.group(membersOf(index, r.Upstreams))
	}
	return t
}

func membersOf(index map[string]int32, names []string) []int32 {
	members := make([]int32, 0, len(names))
	for _, name := range names {
		if i, ok := index[name]; ok {
			members = append(members, i)
		}
	}
	return members
}

// groupBuilder builds groups for one gateway.
type groupBuilder struct {
	places  []place // of each upstream of the inventory
	gateway uint64
}

// place is where an upstream is, seen from the gateway.
type place struct {
	hash     uint64
	distance int
}

// Distances from a gateway.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
)

func newGroupBuilder(view *fleet.View, gateway, dataCentre string) *groupBuilder {
	regions := make(map[string]string)
	for _, dc := range view.Inventory.DataCentres {
		regions[dc.Name] = dc.Region
	}
	b := &groupBuilder{
		places:  make([]place, len(view.Inventory.Upstreams)),
		gateway: xxhash.Sum64String(gateway),
	}
	for i := range view.Inventory.Upstreams {
		spec := &view.Inventory.Upstreams[i]
		p := &b.places[i]
		p.hash = xxhash.Sum64String(spec.Name)
		p.distance = otherRegion
		switch dc := view.DataCentreOf(spec); {
		case dc == dataCentre:
			p.distance = sameDataCentre
		case regions[dc] == regions[dataCentre]:
			p.distance = sameRegion
		}
	}
	return b
}

func (b *groupBuilder) group(members []int32) *Group {
	return &Group{Members: members, Near: b.near(members), Ring: b.ring(members)}
}

// near returns the members with the highest hashes together with the gateway:
// at most nearLocal of the data centre while others are there, nearLimit in all.
func (b *groupBuilder) near(members []int32) []int32 {
	if len(members) <= nearLimit {
		return members
	}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(x, y int32) int {
		p, q := &b.places[x], &b.places[y]
		if c := cmp.Compare(p.distance, q.distance); c != 0 {
			return c
		}
		return cmp.Compare(Mix(q.hash, b.gateway), Mix(p.hash, b.gateway))
	})
	local := 0
	for local < len(sorted) && b.places[sorted[local]].distance == sameDataCentre {
		local++
	}
	kept := min(local, max(nearLocal, nearLimit-(len(sorted)-local)))
	near := slices.Clone(sorted[:kept])
	return append(near, sorted[local:local+nearLimit-kept]...)
}

func (b *groupBuilder) ring(members []int32) []RingPoint {
	ring := make([]RingPoint, 0, len(members)*ringPoints)
	for _, m := range members {
		if b.places[m].distance == otherRegion {
			continue
		}
		for point := range uint64(ringPoints) {
			ring = append(ring, RingPoint{Hash: Mix(b.places[m].hash, point+1), Member: m})
		}
	}
	slices.SortFunc(ring, func(x, y RingPoint) int { return cmp.Compare(x.Hash, y.Hash) })
	return ring
}

// Mix returns a hash of two numbers.
func Mix(a, b uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (a ^ b*multiplier) * multiplier
	x ^= x >> 32
	x *= multiplier
	return x ^ x>>29
}
