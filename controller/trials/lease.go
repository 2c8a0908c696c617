package trials

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/quarantine"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// table is the store's table of trials. It has one part, so that a transaction covers all
	// segments of an item.
	table = "trials"
	// callTimeout bounds a call of the store.
	callTimeout = 2 * time.Second
	// returnTimeout bounds the return of an unused lease when the daemon stops.
	returnTimeout = 500 * time.Millisecond
)

// lease is a lease with the rows that it changed.
type lease struct {
	*blackboard.TrialLease
	before  []store.Row // Version 0 for one that did not exist
	version int64       // of the rows that were written
}

// keyOf returns the key of a segment's row.
func keyOf(s blackboard.Segment) store.Key {
	return store.Key{Table: table, Name: fmt.Sprintf("%016x", uint64(s))}
}

// take asks the store for a trial of the segments. It publishes the lease that it gets.
func (c *Controller) take(ctx context.Context, set []blackboard.Segment) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := clock.Now()
	rows, storeTime, err := c.read(callCtx, set)
	if err != nil {
		c.callFailed(set, err)
		return
	}
	if l := c.confirmUnknown(set, rows, storeTime); l != nil {
		c.hold(ctx, l)
		return
	}
	if !c.isDue(set, storeTime) {
		return
	}
	tx, written, err := c.takeTx(set, rows, storeTime)
	if err != nil {
		c.callFailed(set, err)
		return
	}
	response, err := c.store.Commit(callCtx, tx)
	if err != nil {
		c.commitFailed(set, written, err)
		return
	}
	for s, state := range written {
		c.rows[s] = knownRow{ItemTrials: state, due: c.rows[s].due}
	}
	c.hold(ctx, &lease{
		TrialLease: blackboard.NewTrialLease(set, sentAt.Add(quarantine.ItemTrialStartTime)), before: rows, version: response.Version,
	})
}

// takeTx returns the transaction that takes a trial of the segments, and the states that it
// writes.
func (c *Controller) takeTx(set []blackboard.Segment, rows []store.Row, storeTime time.Duration) (store.Tx, map[blackboard.Segment]quarantine.ItemTrials, error) {
	var tx store.Tx
	written := make(map[blackboard.Segment]quarantine.ItemTrials)
	for i, s := range set {
		written[s] = c.rows[s].Take(c.self, storeTime)
		value, err := json.Marshal(written[s])
		if err != nil {
			return store.Tx{}, nil, err
		}
		tx.If = append(tx.If, store.Condition{Key: rows[i].Key, Version: rows[i].Version})
		tx.Put = append(tx.Put, store.Row{Key: rows[i].Key, Value: value})
	}
	return tx, written, nil
}

// read returns the rows of the segments, in their order, and the store's time of the first
// call. It records what they say.
func (c *Controller) read(ctx context.Context, set []blackboard.Segment) (rows []store.Row, storeTime time.Duration, err error) {
	for _, s := range set {
		key := keyOf(s)
		found, err := c.store.Get(ctx, store.Range{Table: key.Table, From: key.Name, To: key.Name + "\x00", Limit: 1})
		if err != nil {
			return nil, 0, err
		}
		row := store.Row{Key: key}
		if len(found.Rows) > 0 {
			row = found.Rows[0]
		}
		if storeTime == 0 {
			storeTime = found.StoreTime
		}
		known := c.rows[s]
		known.ItemTrials = c.decode(row)
		c.rows[s] = known
		rows = append(rows, row)
	}
	c.failing = false
	return rows, storeTime, nil
}

// decode returns the state in a row. One that cannot be read counts as none, and is replaced.
func (c *Controller) decode(row store.Row) quarantine.ItemTrials {
	var state quarantine.ItemTrials
	if len(row.Value) == 0 {
		return state
	}
	if err := json.Unmarshal(row.Value, &state); err != nil {
		c.log.Warn().Str("segment", row.Name).Err(err).Msg("row of a segment's trials cannot be read")
		return quarantine.ItemTrials{}
	}
	return state
}

// isDue reports whether the rows and the last crashes allow a trial now. If not, it records when
// they do.
func (c *Controller) isDue(set []blackboard.Segment, storeTime time.Duration) bool {
	now := clock.Now()
	isDue := true
	for _, s := range set {
		row := c.rows[s]
		wait := row.Wait(storeTime)
		row.due = now
		if wait > 0 {
			row.due, isDue = now.Add(wait+spread()), false
		}
		c.rows[s] = row
	}
	due := c.dueAt(set)
	return isDue && due != 0 && due <= now
}

// callFailed puts off a trial after a call of the store that failed. Without the store there
// is no trial.
func (c *Controller) callFailed(set []blackboard.Segment, err error) {
	c.putOff(set, retryTime)
	if !c.failing && !errors.Is(err, context.Canceled) {
		c.log.Warn().Strs("segments", segmentNames(set)).Err(err).Msg("trials of batch items are not taken: the store does not answer")
	}
	c.failing = true
}

// commitFailed puts off a trial that another daemon took, or of which it is not known whether
// this daemon has it.
func (c *Controller) commitFailed(set []blackboard.Segment, written map[blackboard.Segment]quarantine.ItemTrials, err error) {
	if errors.Is(err, store.ErrConflict) {
		c.putOff(set, 0)
		return
	}
	c.callFailed(set, err)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		for s, state := range written {
			row := c.rows[s]
			row.unknown = state
			c.rows[s] = row
		}
	}
}

// confirmUnknown returns the lease if the rows show that a call without a response gave it to
// this daemon and there is time left to use it, or nil.
func (c *Controller) confirmUnknown(set []blackboard.Segment, rows []store.Row, storeTime time.Duration) *lease {
	left := quarantine.ItemTrialStartTime
	version := rows[0].Version
	for i, s := range set {
		row := c.rows[s]
		unknown := row.unknown
		row.unknown = quarantine.ItemTrials{}
		c.rows[s] = row
		if unknown.Trials == 0 || row.ItemTrials != unknown || rows[i].Version != version {
			return nil
		}
		left = min(left, quarantine.ItemTrialStartTime-(storeTime-row.LastTrial))
	}
	if left <= 0 {
		return nil
	}
	// What was there before is not known, so an unused lease counts as a trial.
	return &lease{TrialLease: blackboard.NewTrialLease(set, clock.Now().Add(left)), version: version}
}

// putOff lets the next trial of the segments wait.
func (c *Controller) putOff(set []blackboard.Segment, wait time.Duration) {
	due := clock.Now().Add(wait + spread())
	for _, s := range set {
		row := c.rows[s]
		row.due = due
		c.rows[s] = row
	}
}

// hold adds a lease and waits for its end on another goroutine.
func (c *Controller) hold(ctx context.Context, l *lease) {
	c.leases = append(c.leases, l)
	c.metrics.leases.Inc()
	c.log.Info().Strs("segments", segmentNames(l.Segments)).Int("trials", c.rows[l.Segments[0]].Trials).
		Msg("a batch item of this daemon may run as a trial of quarantined segments")
	c.watchers.Go(func() { c.watch(ctx, l) })
}
