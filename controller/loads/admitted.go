package loads

import "github.com/baobablanding/baobablanding/blackboard"

// repeats is in how many reports a count is told after it changed, since
// datagrams may be lost.
const repeats = 3

// told is what was told last about the admissions of one workspace.
type told struct {
	count   int64
	reports int
}

// admissions returns the counts of admitted requests that changed lately.
func (c *Controller) admissions() map[string]int64 {
	changed := make(map[string]int64)
	for name, share := range c.board.Shares.Value().ByWorkspace {
		count := share.Admitted.Load()
		last := c.told[name]
		if last.count != count {
			last = told{count: count}
		}
		if last.reports < repeats && count > 0 {
			changed[name] = count
		}
		last.reports++
		c.told[name] = last
	}
	return changed
}

// addAdmissions takes in the admissions that a daemon tells of. Its counts are
// kept in known.
func addAdmissions(shares *blackboard.Shares, known, now map[string]int64) {
	for name, count := range now {
		before, ok := known[name]
		if !ok || count < before {
			before = count - 1 // the count changed lately, so there was one at least
		}
		known[name] = count
		if share := shares.ByWorkspace[name]; share != nil {
			share.PeersAdmitted.Add(count - before)
		}
	}
}
