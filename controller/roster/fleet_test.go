package roster

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// simStep is the resolution of the simulated time.
	simStep = 10 * time.Millisecond
	// simPartWrites is the number of transactions a second that a part of the store takes.
	simPartWrites = 200
	// simMaxQueue is the waiting time in a part from which the store rejects transactions.
	simMaxQueue = time.Second
)

// simStore is the part of the store that holds the rows of all daemons.
type simStore struct {
	now       clock.Instant
	rate      int           // transactions a second
	freeAt    clock.Instant // when the transactions that wait are done
	version   int64
	changes   []store.Row     // in the order of their versions
	appliedAt []clock.Instant // of the changes
	commits   int
	rejected  int
}

// commit applies a transaction that puts or removes rows and returns when it is done, and
// false if it is rejected.
func (s *simStore) commit(rows ...store.Row) (clock.Instant, bool) {
	if s.freeAt.Sub(s.now) > simMaxQueue {
		s.rejected++
		return s.now, false
	}
	s.freeAt = max(s.freeAt, s.now).Add(time.Second / time.Duration(s.rate))
	s.commits++
	s.version++
	for _, row := range rows {
		row.Version = s.version
		s.changes, s.appliedAt = append(s.changes, row), append(s.appliedAt, s.freeAt)
	}
	return s.freeAt, true
}

// compact keeps the last change of each row, as a read of the whole table shows them.
func (s *simStore) compact() {
	last := make(map[string]int)
	for i, row := range s.changes {
		last[row.Name] = i
	}
	n := 0
	for i, row := range s.changes {
		if last[row.Name] == i {
			s.changes[n], s.appliedAt[n] = row, s.appliedAt[i]
			n++
		}
	}
	s.changes, s.appliedAt = s.changes[:n], s.appliedAt[:n]
}

// simDaemon is one daemon with its observer.
type simDaemon struct {
	peer                                 blackboard.Peer
	observer                             *observer
	read                                 int // changes that were read
	nextRead, nextHeartbeat, nextRemoval clock.Instant
	stoppedUntil                         clock.Instant
	removing                             []string // with allRemove: rows still to be removed before the next read
}

// simFleet is a fleet of daemons on one store. With allRemove, each daemon removes each row of
// expired members by a transaction of its own, and reads nothing meanwhile, as it once was.
type simFleet struct {
	simStore
	daemons   []*simDaemon
	allRemove bool
	observing bool // set after the last kill, since what daemons knew before is gone
	starts    int
}

// lostForGood is an instant that the simulation does not reach.
const lostForGood = clock.Instant(1 << 62)

// start starts the daemon at the index as a new incarnation after the delay.
func (f *simFleet) start(i int, delay time.Duration) {
	f.starts++
	name := fmt.Sprintf("vm-%d", i)
	self := blackboard.Peer{Name: name, Incarnation: blackboard.NewIncarnation(name, fmt.Sprint(f.starts))}
	at := f.now.Add(delay)
	spread := time.Duration(i*37%90) * simStep
	f.daemons[i] = &simDaemon{
		peer: self, observer: newObserver(at), stoppedUntil: at,
		nextRead: at.Add(spread), nextHeartbeat: at.Add(spread), nextRemoval: at.Add(spread + removalInterval),
	}
}

// step advances the time of the fleet by simStep.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	for _, d := range f.daemons {
		if f.now < d.stoppedUntil {
			continue
		}
		if f.now >= d.nextHeartbeat {
			f.heartbeat(d)
		}
		if f.now >= d.nextRead && f.observing {
			if len(d.removing) > 0 {
				f.removeNext(d)
			} else {
				f.readRows(d)
			}
		}
		if f.now >= d.nextRemoval && !f.allRemove {
			d.nextRemoval = f.now.Add(removalInterval)
			f.remove(nextRemovals(&blackboard.Roster{Self: d.peer, Members: d.observer.running()}, d.observer.expired()))
		}
	}
}

func (f *simFleet) heartbeat(d *simDaemon) {
	value, _ := json.Marshal(d.peer)
	done, ok := f.commit(store.Row{Key: store.Key{Table: Table, Name: d.peer.Incarnation}, Value: value})
	d.nextHeartbeat = done.Add(heartbeatInterval)
	if !ok {
		d.nextHeartbeat = f.now.Add(retryInterval)
	}
}

// readRows reads the changes that the store has applied.
func (f *simFleet) readRows(d *simDaemon) {
	update := store.TableUpdate{WholeTable: false}
	for d.read < len(f.changes) && f.appliedAt[d.read] <= f.now {
		update.Rows = append(update.Rows, f.changes[d.read])
		d.read++
	}
	d.observer.advance(f.now)
	d.observer.apply(update, func(store.Row, error) {})
	d.nextRead = f.now.Add(readInterval)
	if f.allRemove {
		d.removing = d.observer.expired()
	}
}

// removeNext removes one of the rows that the daemon removes one after another.
func (f *simFleet) removeNext(d *simDaemon) {
	incarnation := d.removing[0]
	d.removing = d.removing[1:]
	done, _ := f.commit(store.Row{Key: store.Key{Table: Table, Name: incarnation}, Deleted: true})
	d.nextRead = max(done, f.now.Add(simStep))
	if len(d.removing) == 0 {
		d.nextRead = done.Add(readInterval)
	}
}

// remove removes the rows in one transaction.
func (f *simFleet) remove(keys []store.Key) {
	if len(keys) == 0 {
		return
	}
	rows := make([]store.Row, len(keys))
	for i, key := range keys {
		rows[i] = store.Row{Key: key, Deleted: true}
	}
	f.commit(rows...)
}

// run advances the fleet by d.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.step()
	}
}

// isMissed reports whether every running daemon has noticed that the lost one is gone.
func (f *simFleet) isMissed(lost blackboard.Peer) bool {
	for _, d := range f.daemons {
		if f.now < d.stoppedUntil {
			continue
		}
		if m := d.observer.members[lost.Incarnation]; m != nil && d.observer.elapsed-m.changedAt <= expiryTime {
			return false
		}
	}
	return true
}

// simResult is the outcome of a simulation.
type simResult struct {
	noticed   time.Duration // until every daemon missed the one that was lost
	perSecond float64       // all transactions a second, in the time of removal
	rejected  int
}

// newKilledFleet returns a fleet whose daemons were all killed several times and started again,
// at the moment in which the rows of the killed ones are to be removed.
func newKilledFleet(size, kills, rate int, allRemove bool) *simFleet {
	f := &simFleet{simStore: simStore{now: clock.Instant(time.Hour), rate: rate}, daemons: make([]*simDaemon, size), allRemove: allRemove}
	for kill := range kills + 1 {
		for i := range size {
			f.start(i, time.Duration(500+i*13%500)*time.Millisecond)
		}
		if kill < kills {
			f.run(2 * time.Second)
		}
	}
	f.compact()
	f.observing = true
	f.run(removalTime + 2*time.Second)
	return f
}

const (
	// simLimit is how long the simulation waits until a lost daemon is noticed, and
	// simCountedTime the shortest time over which transactions are counted.
	simLimit       = 60 * time.Second
	simCountedTime = 10 * time.Second
)

// loseOne loses a daemon for good and runs until every other one has noticed, or simLimit.
func (f *simFleet) loseOne() simResult {
	f.commits, f.rejected = 0, 0
	began := f.now
	lost := f.daemons[len(f.daemons)-1]
	lost.stoppedUntil = lostForGood
	r := simResult{noticed: simLimit}
	for f.now.Sub(began) < simCountedTime || r.noticed == simLimit && f.now.Sub(began) < simLimit {
		f.run(100 * time.Millisecond)
		if r.noticed == simLimit && f.isMissed(lost.peer) {
			r.noticed = f.now.Sub(began)
		}
	}
	r.perSecond, r.rejected = float64(f.commits)/f.now.Sub(began).Seconds(), f.rejected
	return r
}

// TestLostDaemonIsNoticedBesideManyOldRows guards against lost daemons whose batch jobs nobody
// takes up, because all daemons remove the rows of killed incarnations instead of reading the
// roster (review/2). A lost daemon must be noticed within its expiry and two reads and
// heartbeats, and removals may add one transaction each removalInterval in the whole fleet.
func TestLostDaemonIsNoticedBesideManyOldRows(t *testing.T) {
	const kills, target = 10, expiryTime + 2*readInterval + 2*heartbeatInterval
	for _, c := range []struct{ size, rate int }{
		{34, simPartWrites},
		{133, simPartWrites},
		{410, 3 * simPartWrites}, // its heartbeats alone need 455 a second
	} {
		r := newKilledFleet(c.size, kills, c.rate, false).loseOne()
		t.Logf("%d daemons, %d kills: a lost daemon is noticed after %v; %.1f transactions a second, %d rejected", c.size, kills, r.noticed, r.perSecond, r.rejected)
		if r.noticed > target {
			t.Errorf("%d daemons: a lost daemon is noticed after %v, want at most %v", c.size, r.noticed, target)
		}
		if most := float64(c.size)/heartbeatInterval.Seconds() + 1/removalInterval.Seconds() + 1; r.perSecond > most {
			t.Errorf("%d daemons: %.1f transactions a second, want at most %.1f", c.size, r.perSecond, most)
		}
		if c.size > 34 { // the larger ones take the simulation half a minute
			continue
		}
		old := newKilledFleet(c.size, kills, c.rate, true).loseOne()
		t.Logf("%d daemons, each removes all rows: noticed after %v; %.1f transactions a second, %d rejected", c.size, old.noticed, old.perSecond, old.rejected)
		if old.noticed <= target {
			t.Errorf("%d daemons: the simulation does not show the fault that it guards against", c.size)
		}
	}
}
