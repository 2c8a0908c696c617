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
	// Places holds the online requests that wait for a place at an engine, for
	// controller/admission.
	Places *PlaceQueue
	// AdmissionQueue lets all services use the admission queue and the memory of engines. It
	// is set before the daemon serves.
	AdmissionQueue atomic.Bool
	// PacedServices is the set of services of which an engine reported its pace lately. They
	// use the admission queue, the learned speed and the memory of engines. controller/loads
	// writes it.
	PacedServices Section[map[string]bool]
	// ServiceRuns holds what is known of the requests of each service that ran on this
	// daemon, by the service's name. controller/admission writes it.
	ServiceRuns Section[map[string]*ServiceRuns]
	// Phase is the life-cycle phase of the process. Package daemon writes it.
	Phase Section[Phase]
	// BatchDemand is the batch work that waits on this daemon. controller/jobs
	// writes it.
	BatchDemand Section[BatchDemand]
	// Quarantine is the set of prompt segments that crash engines.
	// controller/quarantine writes it.
	Quarantine Section[*Quarantine]
	// HeldSegments is the set of quarantined segments for whose trial batch items wait.
	// controller/jobs writes it.
	HeldSegments Section[*HeldSegments]
	// ItemTrials is what is known of trials by batch items. controller/trials writes it.
	ItemTrials Section[*ItemTrials]
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
	// RolloutOrders holds the operators' orders to roll out engine versions.
	// controller/directory writes it.
	RolloutOrders Section[RolloutOrders]
	// Rollouts says which versions of engines may be used, or is nil if the settings do not
	// ask for roll-outs; all versions are used then. controller/rollouts writes it, after
	// package daemon has published an empty one.
	Rollouts Section[*Rollouts]
	// RolloutsValidUntil is the clock.Instant until which this daemon may use Rollouts.
	// Other daemons may have replaced the engines in use after it. controller/rollouts writes
	// it.
	RolloutsValidUntil atomic.Int64
	// PeerRollouts is what other daemons counted of the current orders, by service.
	// controller/loads writes it.
	PeerRollouts Section[map[string]*RolloutTotals]
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
	// ReportsAt is the clock.Instant at which the load reports of other daemons were last
	// added up, without those that are too old, or 0. controller/loads writes it.
	ReportsAt atomic.Int64
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
	b.Places = NewPlaceQueue()
	b.HeldSegments.Publish(new(HeldSegments))
	b.ItemTrials.Publish(new(ItemTrials))
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
	// Held is the number of all batch items that wait, by reason.
	Held [HoldReasons]int
}

// HoldReason says why a batch item waits.
type HoldReason int

// Reasons why items wait.
const (
	HeldForEngine    HoldReason = iota // no engine has room, or others go first
	HeldByQuarantine                   // a segment is quarantined
	HeldAfterCrash                     // an engine crashed with the item a moment ago
	HeldAfterFailure                   // an engine failed the item a moment ago
	HeldByAttempts                     // its attempts are used up, to be confirmed
	HeldByRoute                        // its route is gone or its job too old, to be confirmed
	HeldWithoutStore                   // this daemon does not reach the store
	HeldByLeaving                      // this daemon stops and hands its jobs over
	HoldReasons      = iota
)

// String returns the reason as it is logged.
func (r HoldReason) String() string {
	return [HoldReasons]string{"no_engine", "quarantine", "after_crash", "after_failure", "attempts", "route", "no_store", "leaving"}[r]
}
