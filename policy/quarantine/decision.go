package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// quarantineTime is the time from the last crash to the first trial. It doubles with
	// each trial that crashes an engine, up to maxQuarantineTime.
	quarantineTime, maxQuarantineTime = time.Minute, 10 * time.Minute
	// forgetTime is how long after its trial is due a decision is kept if no request with the
	// segment comes.
	forgetTime = 30 * time.Minute
	// maxExtensionsByPeer is how often one other daemon's crashes extend a decision.
	maxExtensionsByPeer = 4
	// minVotingDaemons is the size of a fleet from which on another daemon's claims count
	// only once for a segment.
	minVotingDaemons = 3
	// maxVotesOfSum is the number of daemons of one data centre that count for a segment if
	// the data centre's sum names them.
	maxVotesOfSum = 2
	// evaluateInterval is how often evidence is checked for its age.
	evaluateInterval = 500 * time.Millisecond
	// minAdoptedClaims is the number of daemons whose decision is adopted.
	minAdoptedClaims = 2
)

// evaluated is the state that was evaluated.
type evaluated struct {
	version uint64
	daemons int
}

// Decision is the finding that a segment crashes engines.
type Decision struct {
	// Segment is the segment.
	Segment blackboard.Segment
	// LastCrash is when it last crashed an engine.
	LastCrash clock.Instant
	// TrialDue is when the fleet may run one request with it.
	TrialDue clock.Instant
	// Extensions is the number of trials that crashed an engine.
	Extensions int

	extendedBy map[string]int // by other daemon: how often its crashes extended the decision
	adopted    bool           // from other daemons
	reconsider bool           // evidence from before the decision arrived after it
}

// EventKind says what happened to a decision.
type EventKind int

// Kinds of events.
const (
	Quarantined EventKind = iota // a decision was found
	Adopted                      // the decision of other daemons was adopted
	Extended                     // another crash, or a trial that crashed, extended the decision
	Explained                    // another segment explains all crashes
	Overruled                    // an answer or ends of engines that were learned late speak against it
	Forgotten                    // no request with the segment came for long
)

// Event is a change of a decision.
type Event struct {
	// Kind says what happened.
	Kind EventKind
	// Decision is the state after the change. It belongs to the ledger.
	Decision *Decision
	// Crash is the last crash that led to the change, or nil.
	Crash *blackboard.CrashClaim
	// Reporters are the names of the daemons whose evidence led to the change.
	Reporters []string
}

// Evaluate drops what is too old, and brings the decisions up to date with the evidence. A
// fleet is given by the number of its daemons. It does nothing if it was called less than
// evaluateInterval ago and nothing changed since.
func (l *Ledger) Evaluate(now clock.Instant, daemons int) []Event {
	state := evaluated{version: l.version, daemons: daemons}
	if state == l.evaluated && now.Sub(l.evaluatedAt) < evaluateInterval {
		return nil
	}
	l.evaluated, l.evaluatedAt = state, now
	l.expire(now)
	d := l.evidenceIndex(daemons)
	var events []Event
	for s := range d.bySegment {
		events = append(events, l.weigh(s, d)...)
	}
	events = append(events, l.adopt(daemons, d)...)
	return append(events, l.forget(now)...)
}

// weigh brings the decision on one segment up to date.
func (l *Ledger) weigh(s blackboard.Segment, d *evidenceIndex) []Event {
	a, v := d.bySegment[s], d.decisions[s]
	if v != nil && v.Extensions == 0 && d.isExplainedAway(s) {
		delete(l.decisions, s)
		l.version++
		return []Event{{Kind: Explained, Decision: v}}
	}
	if v != nil && !v.reconsider {
		return l.extend(v, a.crashes)
	}
	counted := slices.DeleteFunc(slices.Clone(a.counted), func(c *blackboard.CrashClaim) bool {
		return v == nil && d.isExplained(c, s) // two decisions on the same crashes do not explain each other away
	})
	isJustified := isSufficient(counted, a.answered, l.othersEnded(a.crashes))
	if isJustified {
		counted = slices.DeleteFunc(counted, func(c *blackboard.CrashClaim) bool { return d.isInBurst(c, s) })
		isJustified = isSufficient(counted, a.answered, l.othersEnded(a.crashes))
	}
	if v != nil {
		if l.overrule(v, isJustified, d.isVoid(s)) {
			return []Event{{Kind: Overruled, Decision: v}}
		}
		return l.extend(v, a.crashes)
	}
	if !isJustified || len(l.decisions) >= maxDecisions {
		return nil
	}
	return []Event{l.quarantine(s, counted)}
}

// expire drops evidence that is too old.
func (l *Ledger) expire(now clock.Instant) {
	before := len(l.crashes) + len(l.claims) + len(l.clears)
	l.crashes = slices.DeleteFunc(l.crashes, func(c blackboard.CrashClaim) bool { return now.Sub(c.SeenAt) > evidenceTime })
	for key, claim := range l.claims {
		if now.Sub(claim.TrialDue) > forgetTime {
			delete(l.claims, key)
		}
	}
	for s, c := range l.clears {
		if now.Sub(c.contradictedAt) > evidenceTime {
			delete(l.clears, s)
		}
	}
	l.expireEnds(now)
	told := l.countTold(now)
	if len(l.crashes)+len(l.claims)+len(l.clears) != before || told != l.told {
		l.told = told
		l.version++
	}
}

// quarantine adds a decision that the crashes, in order of time, justify.
func (l *Ledger) quarantine(s blackboard.Segment, crashes []*blackboard.CrashClaim) Event {
	last := crashes[len(crashes)-1]
	v := &Decision{Segment: s, LastCrash: last.SeenAt, TrialDue: last.SeenAt.Add(quarantineTime), extendedBy: make(map[string]int)}
	l.decisions[s] = v
	l.version++
	return Event{Kind: Quarantined, Decision: v, Crash: last, Reporters: reportersOf(crashes)}
}

// reportersOf returns the names of the daemons that reported the crashes.
func reportersOf(crashes []*blackboard.CrashClaim) []string {
	var names []string
	for _, c := range crashes {
		if !slices.Contains(names, c.Reporter) {
			names = append(names, c.Reporter)
		}
	}
	return names
}

// extend extends a decision by the crashes, in order of time, that came after its last one.
func (l *Ledger) extend(v *Decision, crashes []*blackboard.CrashClaim) []Event {
	var events []Event
	for _, c := range crashes {
		if c.SeenAt <= v.LastCrash {
			continue
		}
		if c.Reporter != l.self {
			if v.extendedBy[c.Reporter] >= maxExtensionsByPeer {
				continue
			}
			v.extendedBy[c.Reporter]++
		}
		if c.SeenAt >= v.TrialDue {
			v.Extensions++
		}
		v.LastCrash = c.SeenAt
		v.TrialDue = c.SeenAt.Add(quarantineTimeAfter(v.Extensions))
		l.version++
		events = append(events, Event{Kind: Extended, Decision: v, Crash: c, Reporters: []string{c.Reporter}})
	}
	return events
}

// quarantineTimeAfter returns the time from a crash to the next trial after the given number
// of trials that crashed an engine.
func quarantineTimeAfter(extensions int) time.Duration {
	return min(quarantineTime<<min(extensions, 8), maxQuarantineTime)
}

// adopt adds the decisions that enough other daemons hold, so that a daemon that restarted
// learns them, except on segments of which it knows an answer, that another one explains, or whose known
// crashes are no evidence. Of different claims the one with the earliest trial counts.
func (l *Ledger) adopt(daemons int, d *evidenceIndex) []Event {
	needed := minAdoptedClaims
	if daemons < minVotingDaemons {
		needed = 1
	}
	bySegment := make(map[blackboard.Segment][]blackboard.DecisionClaim)
	for key, claim := range l.claims {
		if _, answered := l.clears[key.segment]; !answered && l.decisions[key.segment] == nil {
			bySegment[key.segment] = append(bySegment[key.segment], claim)
		}
	}
	var events []Event
	for s, claims := range bySegment {
		reporters := countedClaims(claims)
		if len(reporters) < needed || d.isExplainedAway(s) || d.isVoid(s) || len(l.decisions) >= maxDecisions {
			continue
		}
		first := slices.MinFunc(claims, func(a, b blackboard.DecisionClaim) int { return cmp.Compare(a.TrialDue, b.TrialDue) })
		v := &Decision{Segment: s, LastCrash: first.LastCrash, TrialDue: first.TrialDue, Extensions: max(first.Extensions, 0), extendedBy: make(map[string]int), adopted: true}
		l.decisions[s] = v
		l.version++
		events = append(events, Event{Kind: Adopted, Decision: v, Reporters: reporters})
	}
	return events
}

// countedClaims returns the names of the daemons whose claims count.
func countedClaims(claims []blackboard.DecisionClaim) []string {
	var reporters []string
	votes := make(map[string]int) // by data centre
	for _, c := range claims {
		if c.SumOf != "" && votes[c.SumOf] >= maxVotesOfSum {
			continue
		}
		votes[c.SumOf]++
		reporters = append(reporters, c.Reporter)
	}
	return reporters
}

// forget drops decisions on segments with which no request came for long.
func (l *Ledger) forget(now clock.Instant) []Event {
	var events []Event
	for s, v := range l.decisions {
		if now.Sub(v.TrialDue) > forgetTime {
			delete(l.decisions, s)
			l.version++
			events = append(events, Event{Kind: Forgotten, Decision: v})
		}
	}
	return events
}
