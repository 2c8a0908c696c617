package trials

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/quarantine"
	"github.com/baobablanding/baobablanding/store"
)

// watch waits for the end of a lease, brings its rows up to date and tells the goroutine of
// Run. If ctx is done while the item runs, the lease ends by its time.
func (c *Controller) watch(ctx context.Context, l *lease) {
	if !awaitEnd(ctx, l) {
		return
	}
	c.settle(context.WithoutCancel(ctx), l)
	select {
	case c.returned <- l:
	case <-ctx.Done():
	}
}

// awaitEnd waits until the lease has ended, and ends it if no item has taken it in time. It
// reports false if ctx is done while an item has it.
func awaitEnd(ctx context.Context, l *lease) bool {
	timer := time.NewTimer(l.StartBefore.Sub(clock.Now()))
	defer timer.Stop()
	for {
		select {
		case <-l.Ended():
			return true
		case <-ctx.Done():
			return l.Expire()
		case <-timer.C:
			if l.Expire() {
				return true
			}
			timer.Reset(quarantine.ItemTrialRunTime) // an item runs
		}
	}
}

// settle writes the outcome of a lease: the rows of segments that were answered are removed,
// and those of a lease that was not used are as before. Otherwise they stay and count.
func (c *Controller) settle(ctx context.Context, l *lease) {
	outcome := l.Outcome()
	c.metrics.count(outcome)
	tx := store.Tx{}
	for i, s := range l.Segments {
		key := keyOf(s)
		tx.If = append(tx.If, store.Condition{Key: key, Version: l.version})
		switch {
		case outcome == blackboard.TrialAnswered, outcome == blackboard.TrialNotSent && l.before != nil && l.before[i].Version == 0:
			tx.Remove = append(tx.Remove, key)
		case outcome == blackboard.TrialNotSent && l.before != nil:
			tx.Put = append(tx.Put, store.Row{Key: key, Value: l.before[i].Value})
		}
	}
	line := c.log.Info().Strs("segments", segmentNames(l.Segments)).Str("outcome", outcomeNames[outcome])
	if len(tx.Put)+len(tx.Remove) > 0 {
		ctx, cancel := context.WithTimeout(ctx, returnTimeout)
		defer cancel()
		if _, err := c.store.Commit(ctx, tx); err != nil && !errors.Is(err, store.ErrConflict) {
			line = line.Err(err)
		}
	}
	line.Msg("trial by a batch item ended")
}

// leaseEnded drops a lease. A segment whose trial did not start is tried again soon, by
// whichever daemon then has room.
func (c *Controller) leaseEnded(ended *lease) {
	for i, l := range c.leases {
		if l == ended {
			c.leases = append(c.leases[:i:i], c.leases[i+1:]...)
			break
		}
	}
	if ended.Outcome() == blackboard.TrialAnswered {
		for _, s := range ended.Segments {
			delete(c.rows, s)
		}
		return
	}
	wait := time.Duration(0)
	if ended.Outcome() == blackboard.TrialNotSent {
		wait = retryTime
	}
	c.putOff(ended.Segments, wait)
}
