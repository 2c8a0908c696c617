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
	// Tried reports whether an earlier attempt of the request used the upstream.
	Tried func(*blackboard.Upstream) bool
	// Random is a random number that breaks ties.
	Random uint64
	// Now is the time of the decision.
	Now time.Time
}

// MaxNoWaitAttempts is the number of attempts at which an agent without a free slot
// rejects the request. After these, the request waits in the queue of an agent.
const MaxNoWaitAttempts = 3

// MaxRejectionHold is how long a rejection by an agent counts against its upstream, if
// the agent does not name a shorter time.
const MaxRejectionHold = 500 * time.Millisecond

// Parts of the score, in units of an upstream's full load.
const (
	// remotePenalty is added for another data centre.
	remotePenalty = 0.25
	// prefixSaving is subtracted for an upstream that probably has the prefix in its
	// cache.
	prefixSaving = 0.6
	// rejectedPenalty makes upstreams that rejected a request lately the last choice.
	rejectedPenalty = 1000
)

const (
	// upstreamsPerPrefix is the number of upstreams that keep the prompts of one
	// prefix in their caches.
	upstreamsPerPrefix = 2
	// maxRingPoints is the number of points of the ring that are searched for them.
	maxRingPoints = 12
	// reportHalfLife is the age at which the weight of a load report has halved.
	reportHalfLife = time.Second
	// assumedLoad is the load that is assumed where nothing is known. A lower load
	// does not improve the score, so that requests spread over all upstreams.
	assumedLoad = 0.5
)

// Choose returns the usable upstream of the group with the lowest score that the
// request has not tried, or nil if there is none. All lists the upstreams that the
// group's indexes refer to. Candidates are the upstreams on the ring that probably
// have the prefix cached and those that the gateway prefers; the other members are
// candidates only if none of these may be used.
func Choose(all []*blackboard.Upstream, group *blackboard.Group, req *Request) *blackboard.Upstream {
	if group == nil {
		return nil
	}
	s := selection{all: all, req: req, now: req.Now.UnixNano()}
	s.considerPrefixUpstreams(group.Ring)
	s.considerAll(group.Preferred)
	if s.best == nil && len(group.Preferred) < len(group.Members) {
		s.considerAll(group.Members)
	}
	return s.best
}

// selection is the best candidate found so far.
type selection struct {
	all   []*blackboard.Upstream
	req   *Request
	now   int64 // ns since 1970
	best  *blackboard.Upstream
	score float64
}

// considerPrefixUpstreams considers the first usable upstreams that follow the
// prefix on the ring. Every gateway with the same ring finds the same ones, so that
// prompts with the same prefix go to the same caches.
func (s *selection) considerPrefixUpstreams(ring []blackboard.RingPoint) {
	if s.req.Prefix == 0 || len(ring) == 0 {
		return
	}
	start := sort.Search(len(ring), func(i int) bool { return ring[i].Hash >= s.req.Prefix })
	var found [upstreamsPerPrefix]int32
	n := 0
	for i := range min(maxRingPoints, len(ring)) {
		member := ring[(start+i)%len(ring)].Member
		if n > 0 && found[0] == member || !s.all[member].IsUsable() {
			continue
		}
		found[n] = member
		n++
		s.consider(s.all[member], prefixSaving/float64(n))
		if n == upstreamsPerPrefix {
			return
		}
	}
}

// considerAll considers the members, beginning at a random one, since the first of
// several with the same score is chosen.
func (s *selection) considerAll(members []int32) {
	if len(members) == 0 {
		return
	}
	start := int(s.req.Random % uint64(len(members)))
	for _, m := range members[start:] {
		s.consider(s.all[m], 0)
	}
	for _, m := range members[:start] {
		s.consider(s.all[m], 0)
	}
}

// consider makes u the best candidate if it may be used and its score less the
// saving is the lowest.
func (s *selection) consider(u *blackboard.Upstream, saving float64) {
	if !u.IsUsable() || s.req.Tried(u) {
		return
	}
	c := score(u, s.req.DataCentre, s.now) - saving
	if s.best == nil || c < s.score {
		s.best, s.score = u, c
	}
}

// Score returns the expected load of an upstream in units of its full load, plus the
// penalties for distance and a recent rejection. The lowest score is best.
func Score(u *blackboard.Upstream, req *Request) float64 {
	return score(u, req.DataCentre, req.Now.UnixNano())
}

// score adds up this gateway's requests at the upstream, which are known exactly,
// and those of other gateways by the last load report. The older the report, the
// more assumedLoad replaces it.
func score(u *blackboard.Upstream, dataCentre string, now int64) float64 {
	own := float64(u.Load.InFlight.Load())
	limit := float64(u.Spec.Slots)
	others := assumedLoad * limit
	if r := u.Load.Report.Load(); r != nil {
		limit = float64(max(r.Limit, 1))
		reported := float64(max(0, int64(r.InFlight+r.Queued)-r.OwnInFlight))
		weight := reportWeight(time.Duration(now - r.ReceivedAt.UnixNano()))
		others = weight*reported + (1-weight)*assumedLoad*limit
	}
	s := max((own+others)/limit, assumedLoad)
	if u.DataCentre != dataCentre {
		s += remotePenalty
	}
	if u.Load.RejectedUntil.Load() > now {
		s += rejectedPenalty
	}
	return s
}

// reportWeight returns the weight of a load report of the given age, from 1 for a
// new one down to 0.
func reportWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}
