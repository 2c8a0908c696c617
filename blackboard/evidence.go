package blackboard

import (
	"sync/atomic"

	"github.com/baobablanding/baobablanding/clock"
)

// CrashClaim is the crash of an engine as one daemon reports it.
type CrashClaim struct {
	EngineCrash
	// Reporter is the name of the daemon that saw the crash.
	Reporter string
	// SumOf is the data centre whose sum of reports brought the claim, or "" if the
	// reporter told this daemon itself.
	SumOf string
	// EngineDataCentre is where the engine ran, or "" if that is not known.
	EngineDataCentre string
}

// DecisionClaim says that a daemon holds a segment in quarantine.
type DecisionClaim struct {
	// Reporter is the daemon's name. SumOf is as in CrashClaim.
	Reporter, SumOf string
	// Segment is the quarantined segment.
	Segment Segment
	// LastCrash is when the segment last crashed an engine, as far as the daemon knows.
	LastCrash clock.Instant
	// TrialDue is when the fleet may next run one request with the segment.
	TrialDue clock.Instant
	// Extensions is the number of trials that crashed an engine.
	Extensions int
}

// ClearClaim says that an engine answered a request with a suspected segment.
type ClearClaim struct {
	// Segment is the segment.
	Segment Segment
	// AnsweredAt is when the engine answered.
	AnsweredAt clock.Instant
	// SeenHere reports whether this daemon saw the answer.
	SeenHere bool
	// SumOf is as in CrashClaim.
	SumOf string
}

// Evidence is what daemons know about segments that may crash engines. It is immutable.
type Evidence struct {
	// Crashes, Decisions and Clears are the claims of this daemon and of others.
	Crashes   []CrashClaim
	Decisions []DecisionClaim
	Clears    []ClearClaim
}

// EvidenceQueue passes evidence from other daemons to the controller that judges it. It
// drops evidence instead of blocking; daemons repeat theirs.
type EvidenceQueue struct {
	ch      chan Evidence
	dropped atomic.Int64
}

// maxQueuedEvidence is the number of reports with evidence that may wait for the controller.
const maxQueuedEvidence = 256

// NewEvidenceQueue returns an empty queue.
func NewEvidenceQueue() *EvidenceQueue {
	return &EvidenceQueue{ch: make(chan Evidence, maxQueuedEvidence)}
}

// Put queues the evidence.
func (q *EvidenceQueue) Put(e Evidence) {
	select {
	case q.ch <- e:
	default:
		q.dropped.Add(1)
	}
}

// Chan returns the channel from which the controller receives.
func (q *EvidenceQueue) Chan() <-chan Evidence { return q.ch }

// Dropped returns the number of dropped reports with evidence.
func (q *EvidenceQueue) Dropped() int64 { return q.dropped.Load() }
