package blackboard

import (
	"slices"
	"sync/atomic"

	"github.com/baobablanding/baobablanding/clock"
)

// HeldSegments is the set of quarantined segments for whose trial batch items wait on this
// daemon. It is immutable.
type HeldSegments struct {
	// Sets holds the quarantined segments of each item, sorted, each combination once, the
	// smallest first.
	Sets [][]Segment
}

// ItemTrials is what this daemon knows of trials by batch items. It is immutable; the zero
// value is empty.
type ItemTrials struct {
	// Leases are the trials that items of this daemon may run.
	Leases []*TrialLease
	// BySegment says, for the segments of items that wait here, when the next trial is due.
	BySegment map[Segment]ItemTrialStatus
}

// ItemTrialStatus is the state of the trials of one segment by batch items.
type ItemTrialStatus struct {
	// Due is when the next trial may be taken at the earliest.
	Due clock.Instant
	// Trials is the number of trials so far, Holder the daemon that took the last one, or "".
	Trials int
	Holder string
}

// lease returns a lease that covers all the segments and that no item has taken, or nil.
func (t *ItemTrials) lease(segments []Segment, now clock.Instant) *TrialLease {
	for _, l := range t.Leases {
		if l.isFree(now) && !slices.ContainsFunc(segments, func(s Segment) bool { return !slices.Contains(l.Segments, s) }) {
			return l
		}
	}
	return nil
}

// TrialOutcome is what became of a trial by a batch item.
type TrialOutcome int32

// Outcomes of trials.
const (
	TrialNotSent  TrialOutcome = iota // no engine got the item
	TrialAnswered                     // the engine wrote a response
	TrialSpent                        // the engine may have crashed, or did not answer
)

const (
	leaseFree int32 = iota
	leaseTaken
	leaseEnded
)

// TrialLease is the right of this daemon to send one batch item with the segments to an
// engine. Its methods may be called from several goroutines.
type TrialLease struct {
	// Segments are the quarantined segments.
	Segments []Segment
	// StartBefore is when an item must have been sent.
	StartBefore clock.Instant

	state   atomic.Int32
	outcome atomic.Int32
	ended   chan struct{}
}

// NewTrialLease returns a lease that no item has taken.
func NewTrialLease(segments []Segment, startBefore clock.Instant) *TrialLease {
	return &TrialLease{Segments: segments, StartBefore: startBefore, ended: make(chan struct{})}
}

func (l *TrialLease) isFree(now clock.Instant) bool {
	return l.state.Load() == leaseFree && now < l.StartBefore
}

// take reports whether the caller may send an item. Only one caller may.
func (l *TrialLease) take(now clock.Instant) bool {
	return now < l.StartBefore && l.state.CompareAndSwap(leaseFree, leaseTaken)
}

// End ends the lease of an item that was taken. If no engine got the item, another item may
// take the lease.
func (l *TrialLease) End(outcome TrialOutcome) {
	if outcome == TrialNotSent {
		l.state.CompareAndSwap(leaseTaken, leaseFree)
		return
	}
	l.outcome.Store(int32(outcome))
	if l.state.CompareAndSwap(leaseTaken, leaseEnded) {
		close(l.ended)
	}
}

// Expire ends the lease if no item has it. It reports whether it did.
func (l *TrialLease) Expire() bool { return l.state.CompareAndSwap(leaseFree, leaseEnded) }

// Ended returns a channel that is closed when an item has run under the lease.
func (l *TrialLease) Ended() <-chan struct{} { return l.ended }

// Outcome returns the outcome of a lease that ended.
func (l *TrialLease) Outcome() TrialOutcome { return TrialOutcome(l.outcome.Load()) }

// Quarantined returns the quarantined ones of the gate's segments, sorted.
func (g *SegmentGate) Quarantined(quarantine *Quarantine) []Segment {
	var found []Segment
	for _, s := range g.Segments {
		if quarantine.BySegment[s] != nil {
			found = append(found, s)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// ItemBlocked reports whether the batch item must not run: it has a quarantined segment, and
// there is no lease for its trial. Batch items do not use the trials of online requests.
func (g *SegmentGate) ItemBlocked(quarantine *Quarantine, trials *ItemTrials, now clock.Instant) bool {
	held := g.Quarantined(quarantine)
	return len(held) > 0 && trials.lease(held, now) == nil
}

// EnterItem reports whether the batch item may be sent to an engine now, for which it takes
// a lease if necessary.
func (g *SegmentGate) EnterItem(quarantine *Quarantine, trials *ItemTrials, now clock.Instant) bool {
	held := g.Quarantined(quarantine)
	if len(held) == 0 {
		return true
	}
	lease := trials.lease(held, now)
	if lease == nil || !lease.take(now) {
		return false
	}
	g.lease = lease
	return true
}

// Lease returns the lease under which the batch item runs, or nil.
func (g *SegmentGate) Lease() *TrialLease { return g.lease }

// EndLease ends the lease under which the batch item ran, if there is one.
func (g *SegmentGate) EndLease(outcome TrialOutcome) {
	if g.lease != nil {
		g.lease.End(outcome)
		g.lease = nil
	}
}
