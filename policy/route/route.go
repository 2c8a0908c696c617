// Package route decides which upstream gets a request.
package route

import (
	"sort"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// Request describes what a decision needs to know of a request.
type Request struct {
	// DataCentre is where the gateway runs.
	DataCentre string
	// Prefix is a hash of the start of the prompt, or 0 if there is none.
	Prefix uint64
	// Tried reports upstreams that an earlier attempt of the request used.
	Tried func(*blackboard.Upstream) bool
	// Random is a random number that breaks ties.
	Random uint64
	// Now is the time of the decision.
	Now time.Time
}

// MaxAsks is the number of agents that are asked for a free slot before a
// request waits at one.
const MaxAsks = 3

// RefusalHold is how long the refusal of an agent that names no time counts.
const RefusalHold = 500 * time.Millisecond

// Weights of the score, all in units of an upstream's full load.
const (
	// remotePenalty is what another data centre costs.
	remotePenalty = 0.25
	// prefixSaving is what a cached prefix saves.
	prefixSaving = 0.6
	// refusedPenalty keeps upstreams that refused lately for the case that there
	// is no other.
	refusedPenalty = 1000
)

const (
	// homes is the number of upstreams that keep the prompts of one prefix.
	homes = 2
	// homeWalk is the number of points of the ring in which homes are searched.
	homeWalk = 12
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = time.Second
	// usualLoad is the load that is assumed where nothing is known. Less than
	// that makes no upstream better, so that requests spread over all of them.
	usualLoad = 0.5
)

// Choose returns the upstream of the group with the lowest expected wait, less
// what a cached prefix saves there, or nil if none is usable.
func Choose(all []*blackboard.Upstream, group *blackboard.Group, req *Request) *blackboard.Upstream {
	if group == nil {
		return nil
	}
	c := choice{all: all, req: req, now: req.Now.UnixNano()}
	c.considerHomes(group.Ring)
	c.considerAll(group.Near)
	if c.best == nil && len(group.Near) < len(group.Members) {
		c.considerAll(group.Members)
	}
	return c.best
}

// choice is the best upstream found so far.
type choice struct {
	all   []*blackboard.Upstream
	req   *Request
	now   int64 // ns since 1970
	best  *blackboard.Upstream
	score float64
}

// considerHomes considers the usable upstreams that follow the prefix on the
// ring. Every gateway finds the same ones, so that prompts of one prefix meet in
// the same caches.
func (c *choice) considerHomes(ring []blackboard.RingPoint) {
	if c.req.Prefix == 0 || len(ring) == 0 {
		return
	}
	start := sort.Search(len(ring), func(i int) bool { return ring[i].Hash >= c.req.Prefix })
	var found [homes]int32
	n := 0
	for i := range min(homeWalk, len(ring)) {
		member := ring[(start+i)%len(ring)].Member
		if n > 0 && found[0] == member || !c.all[member].Usable() {
			continue
		}
		found[n] = member
		n++
		c.consider(c.all[member], prefixSaving/float64(n))
		if n == homes {
			return
		}
	}
}

func (c *choice) considerAll(members []int32) {
	if len(members) == 0 {
		return
	}
	start := int(c.req.Random % uint64(len(members)))
	for _, m := range members[start:] {
		c.consider(c.all[m], 0)
	}
	for _, m := range members[:start] {
		c.consider(c.all[m], 0)
	}
}

func (c *choice) consider(u *blackboard.Upstream, saving float64) {
	if !u.Usable() || c.req.Tried(u) {
		return
	}
	s := score(u, c.req.DataCentre, c.now) - saving
	if c.best == nil || s < c.score {
		c.best, c.score = u, s
	}
}

// Score returns the expected load of an upstream, in units of its full load,
// with what its distance costs.
func Score(u *blackboard.Upstream, req *Request) float64 {
	return score(u, req.DataCentre, req.Now.UnixNano())
}

func score(u *blackboard.Upstream, dataCentre string, now int64) float64 {
	own := float64(u.Load.InFlight.Load())
	limit := float64(u.Spec.Slots)
	others := usualLoad * limit
	if r := u.Load.Report.Load(); r != nil {
		limit = float64(max(r.Limit, 1))
		reported := float64(max(0, int64(r.InFlight+r.Queued)-r.OwnInFlight))
		trust := reportTrust(time.Duration(now - r.At.UnixNano()))
		others = trust*reported + (1-trust)*usualLoad*limit
	}
	s := max((own+others)/limit, usualLoad)
	if u.DataCentre != dataCentre {
		s += remotePenalty
	}
	if u.Load.RefusedUntil.Load() > now {
		s += refusedPenalty
	}
	return s
}

// reportTrust returns the weight of a report of the given age.
func reportTrust(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}
