package blackboard

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// Entry is the state that the controllers of one entry daemon share. An entry
// daemon forwards requests directly to the engines that are registered in the
// store. A section is written by one component, which its comment names, and may
// be read by any goroutine.
type Entry struct {
	// Catalog is the configuration in force, or nil before the first one.
	// controller/directory writes it.
	Catalog Section[*catalog.Catalog]
	// Engines is the set of registered engines. controller/directory writes it.
	Engines Section[*Engines]
	// TakenOut is the set of data centres, by name, that get no new work.
	// controller/directory writes it.
	TakenOut Section[map[string]bool]
	// Reading is the last read of the operators' rows, which hold the
	// configuration and the data centres that are taken out. controller/directory
	// writes it.
	Reading Section[Reading]
	// Roster is the set of running entry daemons. controller/roster writes it,
	// after package daemon has published the daemon itself.
	Roster Section[*Roster]
	// Homes is the set of this daemon's preferred engines, by ID.
	// controller/loads writes it.
	Homes Section[map[string]bool]
	// Jobs is the set of batch jobs. controller/jobs writes it; package relay adds
	// the heads that it writes or reads itself.
	Jobs Section[*Jobs]
	// JobsRead is the clock.Instant at which the last read of the job heads was
	// sent, or 0. controller/jobs writes it.
	JobsRead atomic.Int64
	// storeClockOffset is the store's clock minus the clock of this VM, in ns.
	storeClockOffset atomic.Int64
	// Shares holds this daemon's part of the rate of each workspace.
	// controller/rates writes it.
	Shares Section[*Shares]
	// Phase is the life-cycle phase of the process. Package daemon writes it.
	Phase Section[Phase]
	// Demand is the batch work that waits on this daemon. controller/jobs
	// writes it.
	Demand Section[Demand]
	// Rivals is the number of other daemons on which batch items wait.
	// controller/loads writes it.
	Rivals atomic.Int64
	// PeersRead is the clock.Instant of the latest read of the configuration that
	// another daemon reported, or 0. controller/loads writes it.
	PeersRead atomic.Int64
	// Heard is the number of daemons whose load is known from a recent report,
	// including this daemon. controller/loads writes it.
	Heard atomic.Int64
}

// NewEntry returns a board whose pointer sections hold empty values instead of
// nil, except for Catalog.
func NewEntry() *Entry {
	b := new(Entry)
	b.Engines.Publish(NewEngines(nil))
	b.Roster.Publish(new(Roster))
	b.Jobs.Publish(NewJobs(nil))
	b.Shares.Publish(NewShares())
	b.Heard.Store(1)
	return b
}

// SetStoreNow records the current time of the store's clock.
func (b *Entry) SetStoreNow(now time.Duration) {
	b.storeClockOffset.Store(int64(now) - int64(clock.Now()))
}

// StoreNow returns the current time of the store's clock, extrapolated from the
// time that was recorded last.
func (b *Entry) StoreNow() time.Duration {
	return time.Duration(int64(clock.Now()) + b.storeClockOffset.Load())
}

// PeersReadWithin reports whether another daemon has read the configuration from
// the store less than age ago.
func (b *Entry) PeersReadWithin(age time.Duration) bool {
	at := clock.Instant(b.PeersRead.Load())
	return at != 0 && clock.Since(at) < age
}

// HeardPart returns the fraction, at most 1, of the running daemons whose load is
// known from a recent report.
func (b *Entry) HeardPart() float64 {
	return min(float64(b.Heard.Load())/float64(b.Roster.Value().Size()), 1)
}

// Reading is one read of the operators' rows.
type Reading struct {
	// Sent is the instant at which the read was sent, or 0 before the first one.
	// The read includes every change that was acknowledged before.
	Sent clock.Instant
	// Version is the version of the store that the read shows.
	Version int64
}

// Within reports whether the read was sent less than age before now.
func (r Reading) Within(age time.Duration, now clock.Instant) bool {
	return r.Sent != 0 && now.Sub(r.Sent) < age
}

// Peer is one running entry daemon, as registered in the store.
type Peer struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// Incarnation identifies one start of the daemon, see NewIncarnation.
	Incarnation string `json:"incarnation"`
	// Address is the UDP address on which the daemon receives load reports.
	Address string `json:"address"`
	// DataCentre is where the daemon runs.
	DataCentre string `json:"data_centre"`
}

// NewIncarnation returns the incarnation of a daemon on the VM; start must be
// unique for each start of the daemon.
func NewIncarnation(vm, start string) string { return vm + incarnationSeparator + start }

// SameVM reports whether both incarnations belong to daemons on the same VM. It
// returns false if either is malformed.
func SameVM(a, b string) bool {
	vmA, _, okA := strings.Cut(a, incarnationSeparator)
	vmB, _, okB := strings.Cut(b, incarnationSeparator)
	return okA && okB && vmA == vmB
}

// incarnationSeparator separates the VM's name from the identifier of the start.
const incarnationSeparator = "/"

// Roster is the set of running entry daemons.
type Roster struct {
	// Self is this daemon.
	Self Peer
	// Peers lists all daemons, sorted by name. It includes this daemon once its
	// registration was read from the store.
	Peers []Peer
	// Known reports whether the registrations were read from the store since the
	// daemon started.
	Known bool
}

// Has reports whether a daemon with the incarnation runs.
func (r *Roster) Has(incarnation string) bool {
	for i := range r.Peers {
		if r.Peers[i].Incarnation == incarnation {
			return true
		}
	}
	return false
}

// DataCentreOf returns the data centre of the daemon with the incarnation, or ""
// if no such daemon runs.
func (r *Roster) DataCentreOf(incarnation string) string {
	for i := range r.Peers {
		if r.Peers[i].Incarnation == incarnation {
			return r.Peers[i].DataCentre
		}
	}
	return ""
}

// Size returns the number of running daemons, at least 1.
func (r *Roster) Size() int { return max(len(r.Peers), 1) }

// Demand is the batch work that waits on a daemon.
type Demand struct {
	// Waiting is the number of batch items that wait for an engine.
	Waiting int
}
