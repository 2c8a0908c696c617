// Package roster registers this entry daemon in the store and keeps the set of
// entry daemons that run on the board.
package roster

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/follow"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// Table holds one row for each start of a daemon.
const Table = "daemons"

const (
	// heartbeat is the time between two writes of a daemon's row.
	heartbeat = 900 * time.Millisecond
	// readInterval is the time between two readings of all rows.
	readInterval = 900 * time.Millisecond
	// lapseTime is how long a daemon may leave its row unchanged while the store
	// is read.
	lapseTime = 3200 * time.Millisecond
	// forgetTime is how long the row of a lapsed daemon is kept.
	forgetTime = 20 * time.Second
	// maxCounted bounds the time between two readings that counts: a daemon does
	// not lapse because the store was away.
	maxCounted = time.Second
	// retryInterval is the time after a failed write.
	retryInterval = 200 * time.Millisecond
	// leaveTimeout bounds the removal of the row in a planned stop.
	leaveTimeout = 500 * time.Millisecond
)

// Controller keeps Roster.
type Controller struct {
	board *blackboard.Entry
	store store.Store
	self  blackboard.Peer
	log   *log.Logger
}

// New returns the controller of the daemon.
func New(board *blackboard.Entry, s store.Store, self blackboard.Peer, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, self: self, log: logger}
}

func (c *Controller) key() store.Key { return store.Key{Table: Table, Name: c.self.Incarnation} }

// RunHeartbeat writes the daemon's row until ctx is done.
func (c *Controller) RunHeartbeat(ctx context.Context) {
	value, err := json.Marshal(c.self)
	if err != nil {
		c.log.Error().Err(err).Msg("daemon cannot be registered")
		return
	}
	contact := follow.NewContact(c.log, "daemon's row")
	for ctx.Err() == nil {
		wait, sent := heartbeat, clock.Now()
		_, err := c.store.Commit(ctx, store.Tx{Put: []store.Row{{Key: c.key(), Value: value}}})
		if err != nil {
			wait = retryInterval
		}
		contact.Note(err, sent)
		timer.Sleep(ctx, wait)
	}
}

// Leave removes the daemon's row, so that others take its work over at once.
func (c *Controller) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := c.store.Commit(ctx, store.Tx{Remove: []store.Key{c.key()}}); err != nil {
		c.log.Warn().Err(err).Msg("daemon's row was not removed; others wait until it lapses")
	}
}

// seen is what was observed of one daemon.
type seen struct {
	peer    blackboard.Peer
	version int64
	changed time.Duration // observed time at the last change
}

// observer decides which daemons run. It belongs to one goroutine.
type observer struct {
	observed time.Duration // time during which the store was read
	last     clock.Instant // of the last reading
	byID     map[string]*seen
}

// RunObserver follows the rows of all daemons until ctx is done.
func (c *Controller) RunObserver(ctx context.Context) {
	o := &observer{byID: make(map[string]*seen), last: clock.Now()}
	follow.Table(ctx, c.store, Table, readInterval, follow.NewContact(c.log, "rows of all daemons"), func(batch store.Batch, _ clock.Instant) {
		c.observe(ctx, o, batch)
	})
}

func (c *Controller) observe(ctx context.Context, o *observer, batch store.Batch) {
	o.advance(clock.Now())
	o.apply(batch, func(row store.Row, err error) {
		c.log.Error().Str("row", row.Name).Int64("row_version", row.Version).Err(err).Msg("row of a daemon cannot be read")
	})
	c.publish(o.running())
	for _, key := range o.forgotten() {
		if _, err := c.store.Commit(ctx, store.Tx{Remove: []store.Key{key}}); err != nil {
			c.log.Warn().Str("row", key.Name).Err(err).Msg("row of a lapsed daemon was not removed")
		}
	}
}

// advance counts the time since the last reading.
func (o *observer) advance(now clock.Instant) {
	o.observed += min(now.Sub(o.last), maxCounted)
	o.last = now
}

func (o *observer) apply(batch store.Batch, unreadable func(store.Row, error)) {
	present := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(o.byID, row.Name)
			continue
		}
		present[row.Name] = true
		known := o.byID[row.Name]
		if known != nil {
			if row.Version != known.version {
				known.version, known.changed = row.Version, o.observed
			}
			continue
		}
		s := &seen{version: row.Version, changed: o.observed}
		if err := json.Unmarshal(row.Value, &s.peer); err != nil {
			unreadable(row, err)
			continue
		}
		o.byID[row.Name] = s
	}
	if batch.Whole {
		for id := range o.byID {
			if !present[id] {
				delete(o.byID, id)
			}
		}
	}
}

// running returns the daemons that run: those whose row changed lately, and of
// several starts on one VM only the newest.
func (o *observer) running() []blackboard.Peer {
	newest := make(map[string]*seen)
	for _, s := range o.byID {
		if o.observed-s.changed > lapseTime {
			continue
		}
		if other := newest[s.peer.Name]; other == nil || s.version > other.version {
			newest[s.peer.Name] = s
		}
	}
	peers := make([]blackboard.Peer, 0, len(newest))
	for _, s := range newest {
		peers = append(peers, s.peer)
	}
	slices.SortFunc(peers, func(a, b blackboard.Peer) int { return strings.Compare(a.Name, b.Name) })
	return peers
}

// forgotten returns the rows of daemons that lapsed long ago.
func (o *observer) forgotten() []store.Key {
	var keys []store.Key
	for id, s := range o.byID {
		if o.observed-s.changed > forgetTime {
			keys = append(keys, store.Key{Table: Table, Name: id})
		}
	}
	return keys
}

func (c *Controller) publish(peers []blackboard.Peer) {
	old := c.board.Roster.Value()
	if old.Known && slices.Equal(old.Peers, peers) {
		return
	}
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		names = append(names, p.Name)
	}
	c.log.Info().Strs("daemons", names).Msg("running entry daemons")
	c.board.Roster.Publish(&blackboard.Roster{Self: c.self, Peers: peers, Known: true})
}
