package roster

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

// removedRetention is how long a removed member is remembered, in the observer's time. The store
// may perform a heartbeat seconds after it was sent.
const removedRetention = 10 * time.Minute

// member is what was read of one incarnation of a daemon.
type member struct {
	peer        blackboard.Peer
	version     int64
	changedAt   time.Duration // observer's time at the last change of the row
	firstRead   int           // number of the read that first showed the row
	unconfirmed bool          // the row came back after its removal, perhaps by a late heartbeat
}

// isNewerThan reports whether the incarnation started after the other one on its VM. Its row
// appeared in a later read then. The version decides only between rows that appeared in the same
// read, since a heartbeat that the store performs late gives the earlier one the newer version.
func (m *member) isNewerThan(other *member) bool {
	if m.firstRead != other.firstRead {
		return m.firstRead > other.firstRead
	}
	return m.version > other.version
}

// removedMember is a member whose row was removed.
type removedMember struct {
	firstRead int
	at        time.Duration // observer's time
}

// observer decides which members run. It belongs to one goroutine. Its time advances only
// while the store can be read.
type observer struct {
	elapsed  time.Duration // the observer's time: how long the store could be read
	lastRead clock.Instant // when the last read was applied
	reads    int           // number of reads that were applied
	members  map[string]*member
	removed  map[string]removedMember // by incarnation
}

// newObserver returns an observer that knows no members, at the instant now.
func newObserver(now clock.Instant) *observer {
	return &observer{lastRead: now, members: make(map[string]*member), removed: make(map[string]removedMember)}
}

// advance adds the time since the last read to the observer's time. It returns the part that
// is not counted.
func (o *observer) advance(now clock.Instant) (uncounted time.Duration) {
	gap := now.Sub(o.lastRead)
	o.elapsed += min(gap, maxCountedGap)
	o.lastRead = now
	return max(gap-maxCountedGap, 0)
}

// errForeignRow reports a row whose key is not the incarnation that it holds.
var errForeignRow = errors.New("row is not one that a daemon writes of itself")

// apply applies the rows of one read. It calls unreadable for each row that cannot be
// decoded and skips the row.
func (o *observer) apply(update store.TableUpdate, unreadable func(store.Row, error)) {
	o.reads++
	present := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		if row.Deleted {
			o.remove(row.Name)
			continue
		}
		present[row.Name] = true
		existing := o.members[row.Name]
		if existing != nil {
			if row.Version != existing.version {
				existing.version, existing.changedAt, existing.unconfirmed = row.Version, o.elapsed, false
			}
			continue
		}
		m := o.newMember(row)
		err := json.Unmarshal(row.Value, &m.peer)
		if err == nil && m.peer.Incarnation != row.Name {
			err = errForeignRow
		}
		if err != nil {
			unreadable(row, err)
			continue
		}
		o.members[row.Name] = m
	}
	if update.WholeTable {
		for id := range o.members {
			if !present[id] {
				o.remove(id)
			}
		}
	}
	o.forgetRemoved()
}

// newMember returns the member of a row that appears. An incarnation whose row was removed keeps
// its place in the order, and does not run until its row changes once more.
func (o *observer) newMember(row store.Row) *member {
	m := &member{version: row.Version, changedAt: o.elapsed, firstRead: o.reads}
	if removed, ok := o.removed[row.Name]; ok {
		m.firstRead, m.unconfirmed = removed.firstRead, true
	}
	return m
}

// remove removes the member and remembers it for removedRetention.
func (o *observer) remove(incarnation string) {
	m, ok := o.members[incarnation]
	if !ok {
		return
	}
	delete(o.members, incarnation)
	o.removed[incarnation] = removedMember{firstRead: m.firstRead, at: o.elapsed}
}

// forgetRemoved forgets the members that were removed long ago.
func (o *observer) forgetRemoved() {
	maps.DeleteFunc(o.removed, func(_ string, r removedMember) bool { return o.elapsed-r.at > removedRetention })
}

// running returns the members that run, ordered by name: those whose row changed lately,
// and of several incarnations on one VM only the newest.
func (o *observer) running() []blackboard.Peer {
	newest := make(map[string]*member)
	for _, m := range o.members {
		if m.unconfirmed || o.elapsed-m.changedAt > expiryTime {
			continue
		}
		if other := newest[m.peer.Name]; other == nil || m.isNewerThan(other) {
			newest[m.peer.Name] = m
		}
	}
	peers := make([]blackboard.Peer, 0, len(newest))
	for _, m := range newest {
		peers = append(peers, m.peer)
	}
	slices.SortFunc(peers, func(a, b blackboard.Peer) int { return strings.Compare(a.Name, b.Name) })
	return peers
}

// expired returns the incarnations of the members that expired long ago, sorted.
func (o *observer) expired() []string {
	var incarnations []string
	for id, m := range o.members {
		if o.elapsed-m.changedAt > removalTime {
			incarnations = append(incarnations, id)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}
