// Package trials takes trials of quarantined segments for the batch items that wait on this
// daemon. A row of the store for each segment allows one daemon of the fleet at a time to send
// one item, and spaces the trials. Package policy/quarantine has the times.
package trials

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/quarantine"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// spreadTime is the time over which daemons with waiting items ask for a trial that is
	// due, so that most of them find it taken by reading and do not write.
	spreadTime = 500 * time.Millisecond
	// retryTime is the time after a call of the store that failed, and after a lease for which
	// no engine had room.
	retryTime = time.Second
	// maxWait is the longest time between two checks.
	maxWait = time.Second
)

// Controller writes the blackboard's ItemTrials section. Its fields belong to the goroutine
// of Run unless noted otherwise.
type Controller struct {
	board   *blackboard.EntryBoard
	store   store.Store
	self    string // incarnation
	metrics *Metrics
	log     *log.Logger

	rows     map[blackboard.Segment]knownRow
	leases   []*lease
	returned chan *lease    // that ended
	watchers sync.WaitGroup // goroutines that wait for the end of a lease
	failing  bool           // the last call of the store failed
}

// knownRow is what is known of a segment's row.
type knownRow struct {
	quarantine.ItemTrials
	due     clock.Instant         // when the row allows the next trial, with the spread
	unknown quarantine.ItemTrials // the state that a call without a response may have written
}

// New returns a controller that holds leases as the incarnation.
func New(board *blackboard.EntryBoard, s store.Store, incarnation string, metrics *Metrics, logger *log.Logger) *Controller {
	return &Controller{
		board: board, store: s, self: incarnation, metrics: metrics, log: logger,
		rows: make(map[blackboard.Segment]knownRow), returned: make(chan *lease),
	}
}

// Run takes trials as they become due for items that wait, until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	defer c.watchers.Wait()
	for {
		held := c.board.HeldSegments.Load()
		c.forget(held.Value)
		wait := maxWait
		for _, set := range held.Value.Sets {
			wait = min(wait, c.takeDue(ctx, set))
			if c.failing { // each further call may take as long to fail
				wait = retryTime
				break
			}
		}
		c.publish()
		timer := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-held.Changed():
		case l := <-c.returned:
			c.leaseEnded(l)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// forget drops what is known of segments for which no item waits.
func (c *Controller) forget(held *blackboard.HeldSegments) {
	for s := range c.rows {
		if !slices.ContainsFunc(held.Sets, func(set []blackboard.Segment) bool { return slices.Contains(set, s) }) {
			delete(c.rows, s)
		}
	}
}

// takeDue takes a trial of the segments if one is due, and returns the time until the next
// check.
func (c *Controller) takeDue(ctx context.Context, set []blackboard.Segment) time.Duration {
	if c.holds(set) || c.board.StoreNow() <= 0 || ctx.Err() != nil {
		return maxWait
	}
	due := c.dueAt(set)
	if due == 0 {
		return maxWait
	}
	if wait := due.Sub(clock.Now()); wait > 0 {
		return min(wait, maxWait)
	}
	c.take(ctx, set)
	c.publish() // a lease must be used soon, and the calls for other sets may take long
	return 0
}

// holds reports whether this daemon has a lease of one of the segments.
func (c *Controller) holds(set []blackboard.Segment) bool {
	return slices.ContainsFunc(c.leases, func(l *lease) bool {
		return slices.ContainsFunc(set, func(s blackboard.Segment) bool { return slices.Contains(l.Segments, s) })
	})
}

// dueAt returns when the next trial of the segments is due as far as this daemon knows, or 0 if
// one of them is not quarantined. It sets the spread of each segment once.
func (c *Controller) dueAt(set []blackboard.Segment) clock.Instant {
	var due clock.Instant
	bySegment := c.board.Quarantine.Value().BySegment
	for _, s := range set {
		q := bySegment[s]
		if q == nil {
			return 0
		}
		row, known := c.rows[s]
		if !known {
			row.due = quarantine.ItemTrialDue(q.Since, 0).Add(spread())
			c.rows[s] = row
		}
		due = max(due, row.due, quarantine.ItemTrialDue(q.Since, row.Trials))
	}
	return due
}

// spread returns a random part of spreadTime.
func spread() time.Duration { return rand.N(spreadTime) }

// publish publishes the leases and what is known of the trials of held segments.
func (c *Controller) publish() {
	next := &blackboard.ItemTrials{BySegment: make(map[blackboard.Segment]blackboard.ItemTrialStatus)}
	for _, l := range c.leases {
		next.Leases = append(next.Leases, l.TrialLease)
	}
	for s, row := range c.rows {
		next.BySegment[s] = blackboard.ItemTrialStatus{
			Due: max(row.due, c.dueAfterCrash(s, row.Trials)), Trials: row.Trials, Holder: row.Holder,
		}
	}
	old := c.board.ItemTrials.Value()
	if !slices.Equal(old.Leases, next.Leases) || !maps.Equal(old.BySegment, next.BySegment) {
		c.board.ItemTrials.Publish(next)
	}
}

// dueAfterCrash returns when the last crash allows a trial.
func (c *Controller) dueAfterCrash(s blackboard.Segment, trials int) clock.Instant {
	if q := c.board.Quarantine.Value().BySegment[s]; q != nil {
		return quarantine.ItemTrialDue(q.Since, trials)
	}
	return 0
}

// segmentNames returns the segments as they are logged.
func segmentNames(segments []blackboard.Segment) []string {
	names := make([]string, len(segments))
	for i, s := range segments {
		names[i] = strconv.FormatUint(uint64(s), 16)
	}
	return names
}
