package blackboard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/fleet"
)

const (
	// preferredLimit is the number of upstreams of a group that one gateway
	// prefers.
	preferredLimit = 48
	// preferredLocalLimit is how many of these are in the gateway's data centre, if
	// it has as many and other data centres can fill the rest.
	preferredLocalLimit = 36
	// ringPointsPerMember is the number of points of each upstream on the ring.
	ringPointsPerMember = 32
)

// Topology groups the upstreams of a configuration from the viewpoint of one
// gateway. It is immutable and shared by all snapshots of Upstreams that are made
// for the configuration.
type Topology struct {
	byModel    map[string]*Group
	byRoute    map[string]*Group
	byUpstream map[string]*Group // groups of one upstream
}

// Group is a set of interchangeable upstreams, each given by its index in
// Upstreams.All. It is immutable.
type Group struct {
	// Members lists all upstreams of the group.
	Members []int32
	// Preferred lists the upstreams that the gateway prefers. If these are not all of
	// the group, they are sorted: those of the gateway's data centre first, then those
	// of its region, then the others. Different gateways prefer different upstreams, so
	// that each gateway talks to few of them.
	Preferred []int32
	// Ring is the consistent-hash ring of the upstreams in the gateway's region. It
	// is the same on every gateway of the region.
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
		byModel:    make(map[string]*Group),
		byRoute:    make(map[string]*Group),
		byUpstream: make(map[string]*Group),
	}
	indexByName := make(map[string]int32)
	membersByModel := make(map[string][]int32)
	for i := range view.Inventory.Upstreams {
		spec := &view.Inventory.Upstreams[i]
		indexByName[spec.Name] = int32(i)
		t.byUpstream[spec.Name] = b.group([]int32{int32(i)})
		if spec.Kind != fleet.KindEngine {
			continue
		}
		for _, model := range spec.Models {
			membersByModel[model] = append(membersByModel[model], int32(i))
		}
	}
	for model, members := range membersByModel {
		t.byModel[model] = b.group(members)
	}
	for i := range view.Inventory.Routes {
		r := &view.Inventory.Routes[i]
		t.byRoute[r.Name] = b.group(indexesOf(indexByName, r.Upstreams))
	}
	return t
}

// indexesOf returns the indexes of the named upstreams and skips unknown names.
func indexesOf(indexByName map[string]int32, names []string) []int32 {
	indexes := make([]int32, 0, len(names))
	for _, name := range names {
		if i, ok := indexByName[name]; ok {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// groupBuilder builds groups for one gateway.
type groupBuilder struct {
	locations []location // by the upstream's index in the inventory
	gateway   uint64     // hash of the gateway's name
}

// location is where an upstream runs, as seen from the gateway.
type location struct {
	nameHash uint64
	distance int // sameDataCentre, sameRegion or otherRegion
}

// Distances of an upstream from the gateway, nearest first.
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
		locations: make([]location, len(view.Inventory.Upstreams)),
		gateway:   xxhash.Sum64String(gateway),
	}
	for i := range view.Inventory.Upstreams {
		spec := &view.Inventory.Upstreams[i]
		l := &b.locations[i]
		l.nameHash = xxhash.Sum64String(spec.Name)
		l.distance = otherRegion
		switch dc := view.DataCentreOf(spec); {
		case dc == dataCentre:
			l.distance = sameDataCentre
		case regions[dc] == regions[dataCentre]:
			l.distance = sameRegion
		}
	}
	return b
}

// group returns the group of the members.
func (b *groupBuilder) group(members []int32) *Group {
	return &Group{Members: members, Preferred: b.preferred(members), Ring: b.ring(members)}
}

// preferred returns the members that the gateway prefers. It returns all if there
// are at most preferredLimit. Otherwise it returns preferredLimit members, nearest
// first and chosen by rendezvous hashing of the names of gateway and member. At
// most preferredLocalLimit of them are in the gateway's data centre, unless the
// other data centres have too few members for the rest.
func (b *groupBuilder) preferred(members []int32) []int32 {
	if len(members) <= preferredLimit {
		return members
	}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(x, y int32) int {
		p, q := &b.locations[x], &b.locations[y]
		if c := cmp.Compare(p.distance, q.distance); c != 0 {
			return c
		}
		return cmp.Compare(HashPair(q.nameHash, b.gateway), HashPair(p.nameHash, b.gateway))
	})
	local := 0
	for local < len(sorted) && b.locations[sorted[local]].distance == sameDataCentre {
		local++
	}
	localKept := min(local, max(preferredLocalLimit, preferredLimit-(len(sorted)-local)))
	preferred := slices.Clone(sorted[:localKept])
	return append(preferred, sorted[local:local+preferredLimit-localKept]...)
}

// ring returns the consistent-hash ring of the members in the gateway's region.
func (b *groupBuilder) ring(members []int32) []RingPoint {
	ring := make([]RingPoint, 0, len(members)*ringPointsPerMember)
	for _, m := range members {
		if b.locations[m].distance == otherRegion {
			continue
		}
		for point := range uint64(ringPointsPerMember) {
			ring = append(ring, RingPoint{Hash: HashPair(b.locations[m].nameHash, point+1), Member: m})
		}
	}
	slices.SortFunc(ring, func(x, y RingPoint) int { return cmp.Compare(x.Hash, y.Hash) })
	return ring
}

// HashPair returns a hash of the ordered pair of a and b. It is the same in every
// process.
func HashPair(a, b uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	x := (a ^ b*multiplier) * multiplier
	x ^= x >> 32
	x *= multiplier
	return x ^ x>>29
}
