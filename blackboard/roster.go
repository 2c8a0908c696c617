package blackboard

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
	// Members lists all daemons, sorted by name. It includes this daemon once its
	// registration was read from the store.
	Members []Peer
	// Loaded reports whether the registrations were read from the store since the
	// daemon started.
	Loaded bool
}

// Has reports whether a daemon with the incarnation runs.
func (r *Roster) Has(incarnation string) bool {
	for i := range r.Members {
		if r.Members[i].Incarnation == incarnation {
			return true
		}
	}
	return false
}

// Member returns the running daemon with the incarnation, or false if there is none.
func (r *Roster) Member(incarnation string) (Peer, bool) {
	for i := range r.Members {
		if r.Members[i].Incarnation == incarnation {
			return r.Members[i], true
		}
	}
	return Peer{}, false
}

// DataCentreOf returns the data centre of the daemon with the incarnation, or ""
// if no such daemon runs.
func (r *Roster) DataCentreOf(incarnation string) string {
	p, _ := r.Member(incarnation)
	return p.DataCentre
}

// Responsible returns the incarnation of the running daemon that is responsible for the named
// piece of work, or "" if there is none. All daemons with the same members find the same one:
// that with the highest hash of name and incarnation. It leaves out the excluded incarnation.
func (r *Roster) Responsible(name, excluded string) string {
	var best string
	var bestHash uint64
	id := xxhash.Sum64String(name)
	for i := range r.Members {
		incarnation := r.Members[i].Incarnation
		if incarnation == excluded {
			continue
		}
		hash := HashPair(id, xxhash.Sum64String(incarnation))
		if best == "" || hash > bestHash {
			best, bestHash = incarnation, hash
		}
	}
	return best
}

// Size returns the number of running daemons, at least 1.
func (r *Roster) Size() int { return max(len(r.Members), 1) }

// maxMeshDaemons is the largest fleet in which each daemon reports its load to all others.
const maxMeshDaemons = 16

// ReportsBySums reports whether the daemons report their load to those of their own data
// centre only, while the data centres send each other the sums of these reports.
func (r *Roster) ReportsBySums() bool { return len(r.Members) > maxMeshDaemons }

const (
	// minReportInterval is the time between two load reports to few daemons.
	minReportInterval = 30 * time.Millisecond
	// reportIntervalPerDaemon is the interval for each daemon that gets the reports. It
	// bounds the number of reports that a daemon sends and receives per second.
	reportIntervalPerDaemon = 3 * time.Millisecond
	// SumInterval is the time between two sums that a data centre sends to the others.
	SumInterval = 200 * time.Millisecond
)

// ReportReceivers returns the daemons that get the load reports of this one.
func (r *Roster) ReportReceivers() []Peer {
	var receivers []Peer
	for _, p := range r.Members {
		if p.Incarnation != r.Self.Incarnation && (!r.ReportsBySums() || p.DataCentre == r.Self.DataCentre) {
			receivers = append(receivers, p)
		}
	}
	return receivers
}

// ReportInterval returns the time between two load reports of a daemon with the given
// number of receivers.
func ReportInterval(receivers int) time.Duration {
	return max(minReportInterval, time.Duration(receivers)*reportIntervalPerDaemon)
}

// LoadDelays says how long it takes until this daemon learns of a request that another
// daemon sends to an engine.
type LoadDelays struct {
	// Near holds for daemons of this data centre, Far for others.
	Near, Far time.Duration
}

// LoadDelays returns how long it takes to learn of other daemons' requests.
func (r *Roster) LoadDelays() LoadDelays {
	interval := ReportInterval(len(r.ReportReceivers()))
	if r.ReportsBySums() {
		return LoadDelays{Near: interval, Far: interval + SumInterval}
	}
	return LoadDelays{Near: interval, Far: interval}
}
