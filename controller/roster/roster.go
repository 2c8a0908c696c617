// Package roster registers this entry daemon as a member in the store and keeps the set
// of running members on the blackboard.
package roster

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// Table is the store's table of members. It holds one row for each incarnation of an
// entry daemon.
const Table = "daemons"

const (
	// heartbeatInterval is the time between two writes of a member's row.
	heartbeatInterval = 900 * time.Millisecond
	// readInterval is the time between two reads of the table.
	readInterval = 900 * time.Millisecond
	// expiryTime is how long a member's row may stay unchanged, while the store can be
	// read, before the member expires.
	expiryTime = 3200 * time.Millisecond
	// removalTime is how long the row of a member stays in the store without a change before
	// it may be removed.
	removalTime = 20 * time.Second
	// maxCountedGap bounds how much of the time between two reads counts towards expiry:
	// no member expires because the store was unavailable.
	maxCountedGap = time.Second
	// retryInterval is the time from a failed write to the next one.
	retryInterval = 200 * time.Millisecond
	// deregisterTimeout bounds the removal of the row when the daemon shuts down.
	deregisterTimeout = 500 * time.Millisecond
)

// Controller writes the blackboard's Roster and ExpiredMembers sections.
type Controller struct {
	board *blackboard.EntryBoard
	store store.Store
	self  blackboard.Peer
	log   *log.Logger
}

// New returns a controller that registers self.
func New(board *blackboard.EntryBoard, s store.Store, self blackboard.Peer, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, self: self, log: logger}
}

// key returns the key of the daemon's row.
func (c *Controller) key() store.Key { return store.Key{Table: Table, Name: c.self.Incarnation} }

// RunHeartbeat writes the daemon's row at regular intervals until ctx is done.
func (c *Controller) RunHeartbeat(ctx context.Context) {
	value, err := json.Marshal(c.self)
	if err != nil {
		c.log.Error().Err(err).Msg("daemon's row cannot be encoded; it is not registered")
		return
	}
	availability := follow.NewAvailabilityLog(c.log, "daemon's row")
	for ctx.Err() == nil {
		wait, sent := heartbeatInterval, clock.Now()
		_, err := c.store.Commit(ctx, store.Tx{Put: []store.Row{{Key: c.key(), Value: value}}})
		if err != nil {
			wait = retryInterval
		}
		availability.Observe(err, sent)
		timer.Sleep(ctx, wait)
	}
}

// Deregister removes the daemon's row, so that other daemons take over its work at once. If
// the store is unavailable, the row expires after its last heartbeat.
func (c *Controller) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if _, err := c.store.Commit(ctx, store.Tx{Remove: []store.Key{c.key()}}); err != nil {
		c.log.Warn().Err(err).Msg("daemon's row was not removed; other daemons wait until it expires")
	}
}

// RunObserver reads the rows of all members until ctx is done and publishes the running ones
// and those that expired long ago.
func (c *Controller) RunObserver(ctx context.Context) {
	o := newObserver(clock.Now())
	follow.PollTable(ctx, c.store, Table, readInterval, follow.NewAvailabilityLog(c.log, "rows of all daemons"), func(update store.TableUpdate, _ clock.Instant) {
		c.observe(o, update)
	})
}

// observe applies one read of the table. It calls no store: the next read must not be held
// up, or lost daemons would be found late.
func (c *Controller) observe(o *observer, update store.TableUpdate) {
	if uncounted := o.advance(clock.Now()); uncounted > readInterval {
		c.log.Info().Dur("uncounted", uncounted).Msg("time since the last read of the daemons' rows counts in part; daemons expire later")
	}
	o.apply(update, func(row store.Row, err error) {
		c.log.Error().Str("row", row.Name).Int64("row_version", row.Version).Err(err).Msg("row of a daemon cannot be decoded")
	})
	c.publish(o.running())
	c.publishExpired(o.expired())
}

// publishExpired publishes the members that expired long ago if they changed.
func (c *Controller) publishExpired(incarnations []string) {
	if !slices.Equal(c.board.ExpiredMembers.Value(), incarnations) {
		c.board.ExpiredMembers.Publish(incarnations)
	}
}

// publish publishes the running members if they changed.
func (c *Controller) publish(members []blackboard.Peer) {
	old := c.board.Roster.Value()
	if old.Loaded && slices.Equal(old.Members, members) {
		return
	}
	names := make([]string, 0, len(members))
	for _, p := range members {
		names = append(names, p.Name)
	}
	c.log.Info().Strs("daemons", names).Msg("set of running entry daemons changed")
	c.board.Roster.Publish(&blackboard.Roster{Self: c.self, Members: members, Loaded: true})
}
