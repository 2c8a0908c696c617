package loads

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// maxReportedTokens bounds the tokens that are reported for one engine. Other daemons reject
// reports with much larger numbers.
const maxReportedTokens = 1 << 36

// ownTokens returns the tokens of this daemon's requests at each engine whose service has a
// known capacity, or nil if there are none.
func (c *Controller) ownTokens() map[string]int64 {
	cat := c.board.Catalog.Value()
	if cat == nil {
		return nil
	}
	var tokens map[string]int64
	for _, e := range c.board.Engines.Value().All {
		n := e.Load.Tokens.Load()
		if n <= 0 {
			continue
		}
		if c.board.MemoryTokens(cat.Service(e.Service)) <= 0 {
			continue
		}
		if tokens == nil {
			tokens = make(map[string]int64)
		}
		tokens[e.ID] = min(n, maxReportedTokens)
	}
	return tokens
}

// addTokens adds the tokens of a report to sum and returns it. It returns nil if both are nil.
func addTokens(sum, tokens map[string]int64) map[string]int64 {
	if sum == nil && len(tokens) > 0 {
		sum = make(map[string]int64, len(tokens))
	}
	for id, n := range tokens {
		sum[id] += n
	}
	return sum
}

// applyTokens adds the difference between two reports of one daemon to the engines' loads, as
// applyEngineCounts does. The caller holds c.mu.
func (c *Controller) applyTokens(before, after map[string]int64) {
	engines := c.board.Engines.Value()
	for id, n := range after {
		if e := engines.ByID(id); e != nil {
			e.Load.PeerTokens.Add(n - before[id])
		}
	}
	for id, n := range before {
		if _, still := after[id]; !still {
			if e := engines.ByID(id); e != nil {
				e.Load.PeerTokens.Add(-n)
			}
		}
	}
}

// meanAge returns the mean age of what is known of the other daemons. One that does not
// report counts with the age at which reports are dropped.
func (t *totals) meanAge(roster *blackboard.Roster) time.Duration {
	others := max(roster.Size()-1, t.daemons)
	if others == 0 {
		return 0
	}
	return (t.ages + time.Duration(others-t.daemons)*maxReportAge) / time.Duration(others)
}
