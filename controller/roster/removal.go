package roster

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// removalInterval is the time between two transactions that remove rows of expired
	// members. It leaves room for heartbeats, which use the same part of the store.
	removalInterval = 2 * time.Second
	// maxRemovals bounds the rows in one of these transactions. The store takes at most 100.
	maxRemovals = 50
	// removalWork names the removal in Roster.Responsible.
	removalWork = "rows of expired daemons"
)

// RunRemover removes the rows of members that expired long ago, while this is the daemon that
// is responsible for that, until ctx is done.
func (c *Controller) RunRemover(ctx context.Context) {
	for timer.Sleep(ctx, removalInterval) {
		keys := nextRemovals(c.board.Roster.Value(), c.board.ExpiredMembers.Value())
		if len(keys) == 0 {
			continue
		}
		if _, err := c.store.Commit(ctx, store.Tx{Remove: keys}); err != nil {
			c.log.Warn().Int("rows", len(keys)).Err(err).Msg("rows of expired daemons were not removed")
			continue
		}
		c.log.Info().Int("rows", len(keys)).Msg("rows of expired daemons were removed")
	}
}

// nextRemovals returns the rows that this daemon removes next: none unless it is responsible.
// One daemon does this for all, so that the transactions do not grow with the fleet.
func nextRemovals(roster *blackboard.Roster, expired []string) []store.Key {
	if len(expired) == 0 || roster.Responsible(removalWork, "") != roster.Self.Incarnation {
		return nil
	}
	expired = expired[:min(len(expired), maxRemovals)]
	keys := make([]store.Key, 0, len(expired))
	for _, incarnation := range expired {
		keys = append(keys, store.Key{Table: Table, Name: incarnation})
	}
	return keys
}
