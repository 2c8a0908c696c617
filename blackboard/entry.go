package blackboard

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// Entry is the shared state of an entry daemon, which serves callers straight
// from the engines that are registered in the store. Each section has one
// writing controller, which docs/DESIGN.md names.
type Entry struct {
	// Catalog is the configuration in force, or nil before the first one.
	Catalog Section[*catalog.Catalog]
	// Engines is the set of registered engines.
	Engines Section[*Engines]
	// TakenOut is the set of data centres that get no new work.
	TakenOut Section[map[string]bool]
	// Reading tells how recent the configuration is known to be.
	Reading Section[Reading]
	// Roster is the set of entry daemons that run.
	Roster Section[*Roster]
	// Homes is the set of engines, by id, that this daemon prefers.
	Homes Section[map[string]bool]
	// Jobs is the set of batch jobs.
	Jobs Section[*Jobs]
	// JobsRead is the instant at which the last reading of Jobs was asked for.
	JobsRead atomic.Int64
	// storeOffset is the store's clock less this VM's, in ns.
	storeOffset atomic.Int64
	// Shares holds the rate limiter of each workspace.
	Shares Section[*Shares]
	// Phase is the life cycle of the process.
	Phase Section[Phase]
	// Demand counts batch work that waits on this daemon.
	Demand Section[Demand]
	// Rivals is the number of other daemons on which batch work waits.
	Rivals atomic.Int64
	// PeersRead is the instant of the last reading of the configuration that
	// another daemon told of, or 0.
	PeersRead atomic.Int64
	// Heard is the number of daemons that told of their load lately, this one
	// included.
	Heard atomic.Int64
}

// NewEntry returns a board with empty sections.
func NewEntry() *Entry {
	b := new(Entry)
	b.Engines.Publish(NewEngines(nil))
	b.Roster.Publish(new(Roster))
	b.Jobs.Publish(NewJobs(nil))
	b.Shares.Publish(NewShares())
	b.Heard.Store(1)
	return b
}

// SetStoreNow takes in a reading of the store's clock.
func (b *Entry) SetStoreNow(now time.Duration) {
	b.storeOffset.Store(int64(now) - int64(clock.Now()))
}

// StoreNow returns the store's clock as it is now, from the last reading.
func (b *Entry) StoreNow() time.Duration {
	return time.Duration(int64(clock.Now()) + b.storeOffset.Load())
}

// PeersReadWithin tells whether another daemon reached the store less than age ago.
func (b *Entry) PeersReadWithin(age time.Duration) bool {
	at := clock.Instant(b.PeersRead.Load())
	return at != 0 && clock.Since(at) < age
}

// HeardPart returns the part of the daemons that told of their load lately.
func (b *Entry) HeardPart() float64 {
	return min(float64(b.Heard.Load())/float64(b.Roster.Value().Size()), 1)
}

// Reading is the last reading of the operators' rows.
type Reading struct {
	// Sent is when the reading was asked for: it shows everything that was
	// acknowledged before. It is 0 before the first reading.
	Sent clock.Instant
	// Version is the store's version that the reading shows.
	Version int64
}

// Within tells whether the reading was sent less than age before now.
func (r Reading) Within(age time.Duration, now clock.Instant) bool {
	return r.Sent != 0 && now.Sub(r.Sent) < age
}

// Peer is one running entry daemon.
type Peer struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// Incarnation names one start of the daemon.
	Incarnation string `json:"incarnation"`
	// Address is where the daemon receives datagrams of its peers.
	Address string `json:"address"`
	// DataCentre is where the daemon runs.
	DataCentre string `json:"data_centre"`
}

// NewIncarnation names one start of the daemon on the VM.
func NewIncarnation(vm, start string) string { return vm + incarnationMark + start }

// SameVM tells whether the incarnations are starts of the daemon on one VM.
func SameVM(a, b string) bool {
	vmA, _, okA := strings.Cut(a, incarnationMark)
	vmB, _, okB := strings.Cut(b, incarnationMark)
	return okA && okB && vmA == vmB
}

// incarnationMark stands between the VM's name and the start's.
const incarnationMark = "/"

// Roster is the set of entry daemons that run, in the order of their names.
type Roster struct {
	// Self is this daemon.
	Self Peer
	// Peers lists all daemons, this one too once it is registered.
	Peers []Peer
	// Known tells that the store was read since the daemon started.
	Known bool
}

// Has tells whether the incarnation runs.
func (r *Roster) Has(incarnation string) bool {
	for i := range r.Peers {
		if r.Peers[i].Incarnation == incarnation {
			return true
		}
	}
	return false
}

// DataCentreOf returns the data centre of the incarnation, or "".
func (r *Roster) DataCentreOf(incarnation string) string {
	for i := range r.Peers {
		if r.Peers[i].Incarnation == incarnation {
			return r.Peers[i].DataCentre
		}
	}
	return ""
}

// Size returns the number of daemons, at least 1.
func (r *Roster) Size() int { return max(len(r.Peers), 1) }

// Demand is the batch work that waits on a daemon.
type Demand struct {
	// Waiting is the number of items that wait for an engine.
	Waiting int
}
