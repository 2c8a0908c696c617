package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

// EntryBoard is the state that the controllers of one entry daemon share. An entry
// daemon forwards requests directly to the engines that are registered in the
// store. A section is written by one component, which its comment names, and may
// be read by any goroutine.
type EntryBoard struct {
	// Catalog is the configuration in force, or nil before the first one.
	// controller/directory writes it.
	Catalog Section[*catalog.Catalog]
	// Engines is the set of registered engines. controller/directory writes it.
	Engines Section[*Engines]
	// TakenOut is the set of data centres, by name, that get no new work.
	// controller/directory writes it.
	TakenOut Section[map[string]bool]
	// ConfigRead is the last read of the operators' rows, which hold the
	// configuration and the data centres that are taken out. controller/directory
	// writes it.
	ConfigRead Section[ConfigRead]
	// StoreReads tells when daemons last read the store, as far as this one hears.
	// controller/directory writes it.
	StoreReads Section[StoreReads]
	// Roster is the set of running entry daemons. controller/roster writes it,
	// after package daemon has published the daemon itself.
	Roster Section[*Roster]
	// ExpiredMembers lists the incarnations, sorted, whose rows in the store have not
	// changed for so long that they may be removed. controller/roster writes it.
	ExpiredMembers Section[[]string]
	// PreferredEngines is the set of this daemon's preferred engines, by ID.
	// controller/loads writes it.
	PreferredEngines Section[map[string]bool]
	// Jobs is the set of batch jobs. controller/jobs writes it; package relay adds
	// the heads that it writes or reads itself.
	Jobs Section[*Jobs]
	// JobsReadAt is the clock.Instant at which the last read of the job heads was
	// sent, or 0. controller/jobs writes it.
	JobsReadAt atomic.Int64
	// storeClockOffset is the store's clock minus the clock of this VM, in ns, or nil
	// before the store's clock was read.
	storeClockOffset atomic.Pointer[int64]
	// RateLimiters holds this daemon's rate limiter of each workspace.
	// controller/rates writes it.
	RateLimiters Section[*RateLimiters]
	// Phase is the life-cycle phase of the process. Package daemon writes it.
	Phase Section[Phase]
	// BatchDemand is the batch work that waits on this daemon. controller/jobs
	// writes it.
	BatchDemand Section[BatchDemand]
	// Quarantine is the set of prompt segments that crash engines.
	// controller/quarantine writes it.
	Quarantine Section[*Quarantine]
	// Crashes holds the crashes of engines that requests saw, for
	// controller/quarantine.
	Crashes *CrashQueue
	// Evidence is what this daemon and others know about segments that may crash engines.
	// controller/quarantine writes it.
	Evidence Section[*Evidence]
	// PeerEvidence holds the evidence that other daemons reported, for
	// controller/quarantine.
	PeerEvidence *EvidenceQueue
	// SoundSegments are the prompt segments that engines answered lately. Requests
	// and batch items record them.
	SoundSegments SoundSegments
	// PeersWithBatchDemand is the number of other daemons on which batch items wait.
	// controller/loads writes it.
	PeersWithBatchDemand atomic.Int64
	// NearPeersWithBatchDemand is the number of these in this daemon's data centre.
	// controller/loads writes it.
	NearPeersWithBatchDemand atomic.Int64
	// PeerReportAge is the mean age, as a time.Duration, of what this daemon knows of the
	// others' requests. controller/loads writes it.
	PeerReportAge atomic.Int64
	// PeerReadAt is the clock.Instant of the latest read of the configuration that
	// another daemon reported, or 0. controller/loads writes it.
	PeerReadAt atomic.Int64
	// ReportingDaemons is the number of daemons whose load is known from a recent
	// report, including this daemon. controller/loads writes it.
	ReportingDaemons atomic.Int64
}

// NewEntryBoard returns a board whose pointer sections hold empty values instead of
// nil, except for Catalog.
func NewEntryBoard() *EntryBoard {
	b := new(EntryBoard)
	b.Engines.Publish(NewEngines(nil))
	b.Roster.Publish(new(Roster))
	b.Jobs.Publish(NewJobs(nil))
	b.RateLimiters.Publish(NewRateLimiters())
	b.Quarantine.Publish(new(Quarantine))
	b.Crashes = NewCrashQueue()
	b.Evidence.Publish(new(Evidence))
	b.PeerEvidence = NewEvidenceQueue()
	b.ReportingDaemons.Store(1)
	return b
}

// SyncStoreClock records the time of the store's clock at the given instant.
func (b *EntryBoard) SyncStoreClock(storeTime time.Duration, at clock.Instant) {
	offset := int64(storeTime) - int64(at)
	b.storeClockOffset.Store(&offset)
}

// StoreNow returns the current time of the store's clock, extrapolated from the
// time that was recorded last, or 0 if none was recorded since the daemon started.
func (b *EntryBoard) StoreNow() time.Duration {
	offset := b.storeClockOffset.Load()
	if offset == nil {
		return 0
	}
	return time.Duration(int64(clock.Now()) + *offset)
}

// PeerReadWithin reports whether another daemon has read the configuration from
// the store less than age ago.
func (b *EntryBoard) PeerReadWithin(age time.Duration) bool {
	at := clock.Instant(b.PeerReadAt.Load())
	return at != 0 && clock.Since(at) < age
}

// ReportingFraction returns the fraction, at most 1, of the running daemons whose load
// is known from a recent report.
func (b *EntryBoard) ReportingFraction() float64 {
	return min(float64(b.ReportingDaemons.Load())/float64(b.Roster.Value().Size()), 1)
}

// ConfigRead is one read of the operators' rows.
type ConfigRead struct {
	// SentAt is the instant at which the read was sent, or 0 before the first one.
	// The read includes every change that was acknowledged before.
	SentAt clock.Instant
	// Version is the version of the store that the read shows.
	Version int64
}

// SentWithin reports whether the read was sent less than age before now.
func (r ConfigRead) SentWithin(age time.Duration, now clock.Instant) bool {
	return r.SentAt != 0 && now.Sub(r.SentAt) < age
}

// StoreReads tells when this daemon and those whose load reports arrive read the store.
type StoreReads struct {
	// LatestAt is the instant at which the latest of their reads was sent.
	LatestAt clock.Instant
	// OutageEnd is the instant at which it was found that the store was available again
	// after a time in which none of them could read it, or 0.
	OutageEnd clock.Instant
}

// BatchDemand is the batch work that waits on a daemon.
type BatchDemand struct {
	// WaitingItems is the number of batch items that wait for an engine.
	WaitingItems int
}
