// Package quarantine decides which prompt segments crash engines, from the crashes that the
// daemons of a fleet saw and from the answers that clear a segment. It does no I/O; a Ledger
// belongs to one goroutine.
package quarantine

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// evidenceTime is how long a crash counts and an answer is remembered.
	evidenceTime = 10 * time.Minute
	// maxCrashes bounds the crashes in a ledger, maxCrashesByPeer those that another daemon
	// reported.
	maxCrashes, maxCrashesByPeer = 512, 32
	// maxCrashSegments bounds the segments of a crash: the last ones, which the fewest
	// requests share.
	maxCrashSegments = 8
	// maxDecisions bounds the decisions.
	maxDecisions = 256
	// maxClaimsByPeer bounds the decisions that another daemon claims.
	maxClaimsByPeer = 64
	// reportDelay is the difference up to which two claims mean the same time.
	reportDelay = 2 * time.Second
	// maxClears bounds the answers in a ledger.
	maxClears = 1024
)

// Ledger holds the evidence that one daemon knows, and its decisions.
type Ledger struct {
	self      string // name of the daemon
	crashes   []blackboard.CrashClaim
	claims    map[claimKey]blackboard.DecisionClaim
	clears    map[blackboard.Segment]cleared
	decisions map[blackboard.Segment]*Decision
	ends      map[engineStart]engineEnd
	overruled map[blackboard.Segment]clock.Instant // by segment: the last crash of a decision that was overruled
	version   uint64
	told      int // number of answers that other daemons are told

	evaluated   evaluated
	evaluatedAt clock.Instant
}

// claimKey identifies the claim of a decision.
type claimKey struct {
	segment  blackboard.Segment
	reporter string
}

// cleared is the latest known answer to a request with a segment.
type cleared struct {
	blackboard.ClearClaim
	contradictedAt clock.Instant // when evidence against the segment last arrived
}

// NewLedger returns an empty ledger of the named daemon.
func NewLedger(self string) *Ledger {
	return &Ledger{
		self: self, claims: make(map[claimKey]blackboard.DecisionClaim),
		clears: make(map[blackboard.Segment]cleared), decisions: make(map[blackboard.Segment]*Decision),
		ends: make(map[engineStart]engineEnd), overruled: make(map[blackboard.Segment]clock.Instant),
	}
}

// Version changes whenever the content of the ledger does.
func (l *Ledger) Version() uint64 { return l.version }

// IsEmpty reports whether the ledger holds no evidence and no decision.
func (l *Ledger) IsEmpty() bool {
	return len(l.crashes)+len(l.claims)+len(l.clears)+len(l.decisions)+len(l.ends)+len(l.overruled) == 0
}

// Decision returns the decision on the segment, or nil.
func (l *Ledger) Decision(segment blackboard.Segment) *Decision { return l.decisions[segment] }

// Decisions returns the decisions. The caller must not modify the map.
func (l *Ledger) Decisions() map[blackboard.Segment]*Decision { return l.decisions }

// Suspected returns the segments of crashes on which there is no decision.
func (l *Ledger) Suspected() map[blackboard.Segment]bool {
	suspected := make(map[blackboard.Segment]bool)
	for _, c := range l.crashes {
		for _, s := range c.Segments {
			if l.decisions[s] == nil {
				suspected[s] = true
			}
		}
	}
	return suspected
}

// AddCrash adds a crash. It leaves out the segments that were answered after it. Without any, it
// is only the end of an engine.
func (l *Ledger) AddCrash(c blackboard.CrashClaim, now clock.Instant) {
	c.SeenAt = min(c.SeenAt, now)
	if now.Sub(c.SeenAt) > evidenceTime {
		return
	}
	l.noteEnd(&c)
	c.Segments = l.uncleared(c.Segments, c.SeenAt, now)
	if len(c.Segments) == 0 {
		return
	}
	if i := slices.IndexFunc(l.crashes, func(o blackboard.CrashClaim) bool { return isSameCrash(&o, &c) }); i >= 0 {
		// The time of a claim is late by the delay of the report that brought it.
		if c.SeenAt < l.crashes[i].SeenAt {
			l.crashes[i].SeenAt = c.SeenAt
			l.version++
		}
		return
	}
	l.version++
	l.crashes = append(l.crashes, c)
	l.boundCrashes(c.Reporter)
}

// isSameCrash reports whether both claims are one daemon's report of one request.
func isSameCrash(a, b *blackboard.CrashClaim) bool {
	return a.Reporter == b.Reporter && a.Engine == b.Engine && a.StartedAtMs == b.StartedAtMs && a.Request == b.Request
}

// uncleared returns those of the segments that were not answered after the crash.
func (l *Ledger) uncleared(segments []blackboard.Segment, crashedAt, now clock.Instant) []blackboard.Segment {
	var kept []blackboard.Segment
	for _, s := range segments {
		c, ok := l.clears[s]
		if ok {
			c.contradictedAt = now
			l.clears[s] = c
		}
		if ok && c.AnsweredAt >= crashedAt || slices.Contains(kept, s) {
			continue
		}
		kept = append(kept, s)
	}
	return kept[max(len(kept)-maxCrashSegments, 0):]
}

// boundCrashes drops the oldest crash that the daemon reported if these are too many, and the
// oldest of other daemons, or else of all, if all are too many.
func (l *Ledger) boundCrashes(reporter string) {
	byReporter := func(c *blackboard.CrashClaim) bool { return c.Reporter == reporter }
	byPeers := func(c *blackboard.CrashClaim) bool { return c.Reporter != l.self }
	if reporter != l.self && l.countCrashes(byReporter) > maxCrashesByPeer {
		l.dropOldestCrash(byReporter)
	}
	if len(l.crashes) <= maxCrashes {
		return
	}
	if !l.dropOldestCrash(byPeers) {
		l.dropOldestCrash(func(*blackboard.CrashClaim) bool { return true })
	}
}

// countCrashes returns the number of the selected crashes.
func (l *Ledger) countCrashes(selected func(*blackboard.CrashClaim) bool) int {
	n := 0
	for i := range l.crashes {
		if selected(&l.crashes[i]) {
			n++
		}
	}
	return n
}

// dropOldestCrash drops the oldest of the selected crashes. It reports whether there was one.
func (l *Ledger) dropOldestCrash(selected func(*blackboard.CrashClaim) bool) bool {
	oldest := -1
	for i := range l.crashes {
		if selected(&l.crashes[i]) && (oldest < 0 || l.crashes[i].SeenAt < l.crashes[oldest].SeenAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	l.crashes = slices.Delete(l.crashes, oldest, oldest+1)
	return true
}

// AddDecisionClaim adds another daemon's claim that it holds a segment in quarantine.
func (l *Ledger) AddDecisionClaim(v blackboard.DecisionClaim, now clock.Instant) {
	v.LastCrash = min(v.LastCrash, now)
	v.TrialDue = min(v.TrialDue, v.LastCrash.Add(maxQuarantineTime))
	if len(l.uncleared([]blackboard.Segment{v.Segment}, v.LastCrash, now)) == 0 || now.Sub(v.TrialDue) > forgetTime || l.isOverruled(&v) {
		return
	}
	key := claimKey{v.Segment, v.Reporter}
	old, known := l.claims[key]
	if !known && l.countClaims(v.Reporter) >= maxClaimsByPeer {
		return
	}
	if known && old.Extensions == v.Extensions && v.TrialDue.Sub(old.TrialDue).Abs() < reportDelay {
		return // repeated
	}
	l.claims[key] = v
	l.version++
}

// countClaims returns the number of decisions that the daemon claims.
func (l *Ledger) countClaims(reporter string) int {
	n := 0
	for key := range l.claims {
		if key.reporter == reporter {
			n++
		}
	}
	return n
}

// Clear records that an engine answered a request with the segment, and drops the evidence
// from before. For later evidence, see segmentEvidence. It reports whether it ended a decision.
func (l *Ledger) Clear(c blackboard.ClearClaim, now clock.Instant) (ended bool) {
	c.AnsweredAt = min(c.AnsweredAt, now)
	old, known := l.clears[c.Segment]
	if known && old.AnsweredAt >= c.AnsweredAt {
		return false
	}
	if !known && len(l.clears) >= maxClears {
		l.dropOldestClear()
	}
	l.version++
	l.clears[c.Segment] = cleared{ClearClaim: c, contradictedAt: now}
	for i := range l.crashes {
		if l.crashes[i].SeenAt <= c.AnsweredAt {
			l.crashes[i].Segments = without(l.crashes[i].Segments, c.Segment)
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(c blackboard.CrashClaim) bool { return len(c.Segments) == 0 })
	for key, claim := range l.claims {
		if key.segment == c.Segment && claim.LastCrash <= c.AnsweredAt {
			delete(l.claims, key)
		}
	}
	v := l.decisions[c.Segment]
	if v == nil {
		return false
	}
	if v.LastCrash <= c.AnsweredAt {
		delete(l.decisions, c.Segment)
		return true
	}
	v.reconsider = v.reconsider || !known // an answer from before the crashes counts whenever it is learned
	return false
}

// without returns a copy of the segments without one.
func without(segments []blackboard.Segment, s blackboard.Segment) []blackboard.Segment {
	if !slices.Contains(segments, s) {
		return segments
	}
	return slices.DeleteFunc(slices.Clone(segments), func(o blackboard.Segment) bool { return o == s })
}

// dropOldestClear drops the answer that was seen first.
func (l *Ledger) dropOldestClear() {
	var oldest blackboard.Segment
	at := clock.Instant(-1)
	for s, c := range l.clears {
		if at < 0 || c.AnsweredAt < at {
			oldest, at = s, c.AnsweredAt
		}
	}
	delete(l.clears, oldest)
}
