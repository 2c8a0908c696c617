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

// admittedCounts returns the counts of admitted requests, by workspace, that the next
// report carries: those that changed lately.
func (c *Controller) admittedCounts() map[string]int64 {
	changed := make(map[string]int64)
	for name, limiter := range c.board.RateLimiters.Value().ByWorkspace {
		count := limiter.AdmittedHere.Load()
		last := c.sentCounts[name]
		if last.count != count {
			last = sentCount{count: count}
		}
		if last.sends < sendsPerCount && count > 0 {
			changed[name] = count
		}
		last.sends++
		c.sentCounts[name] = last
	}
	return changed
}

// addPeerAdmissions adds the growth of another daemon's reported counts of admitted
// requests to the workspaces' limiters, and keeps the reported counts in counts. A count
// that is new or has fallen adds one.
func addPeerAdmissions(limiters *blackboard.RateLimiters, counts, reported map[string]int64) {
	for name, count := range reported {
		before, ok := counts[name]
		if !ok || count < before {
			before = count - 1 // only changed counts are sent: at least one request was admitted
		}
		counts[name] = count
		if limiter := limiters.ByWorkspace[name]; limiter != nil {
			limiter.AdmittedByPeers.Add(count - before)
		}
	}
}
