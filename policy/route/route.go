// Package route decides which upstream gets a request.
package route

import (
	"github.com/baobablanding/baobablanding/blackboard"
)

// Request describes what a decision needs to know of a request.
type Request struct {
	// DataCentre is where the gateway runs.
	DataCentre string
	// Tried reports upstreams that an earlier attempt of the request used.
	Tried func(*blackboard.Upstream) bool
	// Random is a random number that breaks ties.
	Random uint64
}

// remotePenalty is the extra load, in requests for each slot, at which a local
// upstream is as good as an idle one in another data centre.
const remotePenalty = 0.5

// Choose returns the usable candidate with the lowest expected wait, or nil.
func Choose(candidates []*blackboard.Upstream, req *Request) *blackboard.Upstream {
	if len(candidates) == 0 {
		return nil
	}
	var best *blackboard.Upstream
	var bestScore float64
	start := int(req.Random % uint64(len(candidates)))
	for i := range candidates {
		u := candidates[(start+i)%len(candidates)]
		if !u.Usable() || req.Tried(u) {
			continue
		}
		if s := score(u, req.DataCentre); best == nil || s < bestScore {
			best, bestScore = u, s
		}
	}
	return best
}

// score returns the load of an upstream for each of its slots.
func score(u *blackboard.Upstream, dataCentre string) float64 {
	load := u.Load.InFlight.Load()
	limit := u.Spec.Slots
	if r := u.Load.Report.Load(); r != nil {
		load = max(load, int64(r.InFlight+r.Queued)+load-r.OwnInFlight)
		limit = max(r.Limit, 1)
	}
	s := float64(load) / float64(limit)
	if u.DataCentre != dataCentre {
		s += remotePenalty
	}
	return s
}
