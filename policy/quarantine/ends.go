package quarantine

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// burstTime is the time within which ends of several engines probably have one cause, such
	// as a lost rack or a rolling kill.
	burstTime = time.Second
	// maxEnds bounds the ends of engines in a ledger.
	maxEnds = 512
	// maxHeldByEnd bounds the segments that are kept for an end.
	maxHeldByEnd = 64
)

// engineEnd is the end of an engine, whatever it was running.
type engineEnd struct {
	at       clock.Instant
	reporter string // of the first report
	isSure   bool   // this daemon saw it, or two others reported it
	// held are segments of this daemon's requests that the engine held, also sound ones.
	held []blackboard.Segment
}

// KnowsEnd reports whether the end of the engine in the claim is known.
func (l *Ledger) KnowsEnd(c *blackboard.CrashClaim) bool {
	_, known := l.ends[startOf(c)]
	return known
}

// noteEnd records the end of an engine that a daemon reports. Claims of one other daemon alone
// do not count, so that it cannot keep segments out of quarantine.
func (l *Ledger) noteEnd(c *blackboard.CrashClaim) {
	start := startOf(c)
	end, known := l.ends[start]
	wasSure := end.isSure
	if !known {
		if len(l.ends) >= maxEnds {
			l.dropOldestEnd()
		}
		end = engineEnd{at: c.SeenAt, reporter: c.Reporter}
	}
	end.at = min(end.at, c.SeenAt)
	end.isSure = end.isSure || c.Reporter == l.self || c.Reporter != end.reporter
	if room := maxHeldByEnd - len(end.held); room > 0 {
		end.held = append(end.held, c.Held[:min(len(c.Held), room)]...)
	}
	l.ends[start] = end
	if end.isSure && !wasSure {
		l.reconsiderNear(end.at)
	}
}

// dropOldestEnd drops the end that was first.
func (l *Ledger) dropOldestEnd() {
	var oldest engineStart
	at := clock.Instant(-1)
	for start, end := range l.ends {
		if at < 0 || end.at < at {
			oldest, at = start, end.at
		}
	}
	delete(l.ends, oldest)
}

// isInBurst reports whether the crash of an engine is no evidence against the segment, because
// within a second at least as many engines ended that held no request with it, as far as is
// known, and that no quarantined segment explains. An engine that held a request of a daemon which
// knows the segment as sound counts for neither: the segment may have turned deadly. Two deadly
// segments may crash engines at the same time, so that a few other ends do not void many crashes.
func (d *evidenceIndex) isInBurst(c *blackboard.CrashClaim, s blackboard.Segment) bool {
	a := d.bySegment[s]
	suspect := make(map[engineStart]bool)
	with := make(map[engineStart]bool)
	for _, o := range a.crashes {
		suspect[startOf(o)] = true
		if o.SeenAt.Sub(c.SeenAt).Abs() < burstTime {
			with[startOf(o)] = true
		}
	}
	without := 0
	for start, end := range d.ends {
		if end.isSure && !suspect[start] && !slices.Contains(end.held, s) && end.at.Sub(c.SeenAt).Abs() < burstTime && !d.isExplainedEnd(start) {
			without++
		}
	}
	return without >= len(with)
}

// isVoid reports whether crashes with the segment are known, none of which is evidence.
func (d *evidenceIndex) isVoid(s blackboard.Segment) bool {
	a := d.bySegment[s]
	if a == nil {
		return false
	}
	for _, c := range a.crashes {
		if !d.isInBurst(c, s) {
			return false
		}
	}
	return true
}

// isExplainedEnd reports whether the engine held a request with a quarantined segment.
func (d *evidenceIndex) isExplainedEnd(start engineStart) bool {
	for _, s := range d.segments[start] {
		if d.decisions[s] != nil {
			return true
		}
	}
	return false
}

// reconsiderNear lets the decisions be weighed again whose last crash was near the time: an
// end that is learned late counts as one that was known before.
func (l *Ledger) reconsiderNear(at clock.Instant) {
	for _, v := range l.decisions {
		if v.LastCrash.Sub(at).Abs() < 2*burstTime {
			v.reconsider = true
			l.version++
		}
	}
}

// overrule ends a decision that all that is known now does not justify, and reports whether it
// did. A decision that a trial confirmed is not weighed again, and one that was adopted rests on
// crashes that this daemon may not know: it ends if those that it knows are no evidence.
func (l *Ledger) overrule(v *Decision, isJustified, isVoid bool) bool {
	v.reconsider = false
	if v.Extensions > 0 || v.adopted && !isVoid || !v.adopted && isJustified {
		return false
	}
	delete(l.decisions, v.Segment)
	l.overruled[v.Segment] = v.LastCrash
	for key, claim := range l.claims {
		if key.segment == v.Segment && l.isOverruled(&claim) {
			delete(l.claims, key)
		}
	}
	l.version++
	return true
}

// isOverruled reports whether the claim of a decision rests on no later crash than one that this
// daemon weighed and found insufficient.
func (l *Ledger) isOverruled(claim *blackboard.DecisionClaim) bool {
	at, ok := l.overruled[claim.Segment]
	return ok && claim.LastCrash <= at.Add(reportDelay)
}

// expireEnds drops ends and overruled decisions that are too old.
func (l *Ledger) expireEnds(now clock.Instant) {
	for start, end := range l.ends {
		if now.Sub(end.at) > evidenceTime {
			delete(l.ends, start)
		}
	}
	for s, at := range l.overruled {
		if now.Sub(at) > evidenceTime {
			delete(l.overruled, s)
		}
	}
}
