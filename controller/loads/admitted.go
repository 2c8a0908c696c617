package loads

import "github.com/baobablanding/baobablanding/blackboard"

// sendsPerCount is the number of reports that carry a count after it changed, since
// datagrams may be lost.
const sendsPerCount = 3

// sentCount is the last count of one workspace's admitted requests that was sent.
type sentCount struct {
	count int64
	sends int // that carried the count
}

// changedCounts selects the counts, by workspace, that a report carries: those that changed
// lately.
type changedCounts map[string]sentCount

// changed returns the counts that the next report carries.
func (s changedCounts) changed(counts map[string]int64) map[string]int64 {
	changed := make(map[string]int64)
	for name, count := range counts {
		last := s[name]
		if last.count != count {
			last = sentCount{count: count}
		}
		if last.sends < sendsPerCount && count > 0 {
			changed[name] = count
		}
		last.sends++
		s[name] = last
	}
	return changed
}

// admittedCounts returns the number of requests that this daemon admitted, by workspace.
func admittedCounts(limiters *blackboard.RateLimiters) map[string]int64 {
	counts := make(map[string]int64, len(limiters.ByWorkspace))
	for name, limiter := range limiters.ByWorkspace {
		counts[name] = limiter.AdmittedHere.Load()
	}
	return counts
}

// countGrowth returns by how much reported counts grew since the last report, whose counts
// are in counts, and keeps the reported ones there. A count that is new or has fallen grew
// by one.
func countGrowth(counts, reported map[string]int64) map[string]int64 {
	grown := make(map[string]int64, len(reported))
	for name, count := range reported {
		before, ok := counts[name]
		if !ok || count < before {
			before = count - 1 // only changed counts are sent: at least one request was admitted
		}
		counts[name] = count
		grown[name] = count - before
	}
	return grown
}

// addPeerAdmissions adds the requests that other daemons admitted to the workspaces'
// limiters.
func addPeerAdmissions(limiters *blackboard.RateLimiters, admitted map[string]int64) {
	for name, n := range admitted {
		if limiter := limiters.ByWorkspace[name]; limiter != nil {
			limiter.AdmittedByPeers.Add(n)
		}
	}
}
