package trials

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// removalInterval is the time between two reads of all rows of trials by the daemon that
	// removes old ones.
	removalInterval = time.Minute
	// maxRemovals bounds the rows in one transaction. The store takes at most 100 entries, and
	// each row has two.
	maxRemovals = 40
	// removalWork names the removal in Roster.Responsible.
	removalWork = "rows of trials"
)

// RunRemover removes rows that are too old to count, while this is the daemon that is
// responsible for that, until ctx is done.
func (c *Controller) RunRemover(ctx context.Context) {
	for timer.Sleep(ctx, removalInterval) {
		if roster := c.board.Roster.Value(); roster.Responsible(removalWork, "") != roster.Self.Incarnation {
			continue
		}
		if n, err := c.removeOld(ctx); err != nil {
			c.log.Warn().Err(err).Msg("old rows of trials were not removed")
		} else if n > 0 {
			c.log.Info().Int("rows", n).Msg("old rows of trials were removed")
		}
	}
}

// removeOld removes old rows and returns their number. A row that was written since it was read
// makes the transaction fail; the next one reads it again.
func (c *Controller) removeOld(ctx context.Context) (int, error) {
	all, err := store.GetAll(ctx, c.store, store.Range{Table: table})
	if err != nil {
		return 0, err
	}
	var tx store.Tx
	for _, row := range all.Rows {
		if len(tx.Remove) < maxRemovals && c.decode(row).IsOld(all.StoreTime) {
			tx.If = append(tx.If, store.Condition{Key: row.Key, Version: row.Version})
			tx.Remove = append(tx.Remove, row.Key)
		}
	}
	if len(tx.Remove) == 0 {
		return 0, nil
	}
	_, err = c.store.Commit(ctx, tx)
	return len(tx.Remove), err
}
