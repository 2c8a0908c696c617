package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// TestDecisions compares the decisions of a daemon named "self" with testdata/decisions. Each
// input line is a crash "time reporter engine data-centre request segment...", a decision
// "time reporter decision segment", an answer "time answer segment", with the time at which it
// was given if it is learned later, or a "time check"; a crash without segments is the end of an
// engine that had only sound requests. A segment with + was known to be sound. Times are in ms and
// in order.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, d *datadriven.TestData) string {
		daemons := 9
		d.MaybeScanArgs(t, "daemons", &daemons)
		l := NewLedger("self")
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var ms int64
			words := strings.Fields(line)
			fmt.Sscan(words[0], &ms)
			now := dayStart.Add(time.Duration(ms) * time.Millisecond)
			apply(l, words[1:], now)
			l.Evaluate(now, daemons)
			fmt.Fprintf(&out, "%d:%s\n", ms, describe(l))
		}
		return out.String()
	})
}

// segmentNamed returns the segment that a letter stands for.
func segmentNamed(name string) blackboard.Segment { return blackboard.Segment(name[0]) }

func apply(l *Ledger, words []string, now clock.Instant) {
	switch {
	case words[0] == "check":
	case words[0] == "answer":
		at := now
		if len(words) > 2 { // it is learned later
			var ms int64
			fmt.Sscan(words[2], &ms)
			at = dayStart.Add(time.Duration(ms) * time.Millisecond)
		}
		l.Clear(blackboard.ClearClaim{Segment: segmentNamed(words[1]), AnsweredAt: at}, now)
	case words[1] == "decision":
		l.AddDecisionClaim(blackboard.DecisionClaim{Reporter: words[0], Segment: segmentNamed(words[2]), LastCrash: now, TrialDue: now.Add(quarantineTime)}, now)
	default:
		c := blackboard.CrashClaim{Reporter: words[0], EngineDataCentre: words[2]}
		c.Reporter, c.SumOf, _ = strings.Cut(words[0], "@")
		c.EngineCrash = blackboard.EngineCrash{Engine: words[1], Request: uint64(words[3][0]), SeenAt: now}
		for _, s := range words[4:] {
			if name, isSound := strings.CutPrefix(s, "+"); isSound {
				c.Held = append(c.Held, segmentNamed(name))
				continue
			}
			c.Segments = append(c.Segments, segmentNamed(s))
		}
		l.AddCrash(c, now)
	}
}

// describe returns the decisions, with the seconds from their last crash to their trial, and
// the suspected segments.
func describe(l *Ledger) string {
	var parts []string
	for s, v := range l.Decisions() {
		parts = append(parts, fmt.Sprintf(" %c quarantined %.0fs", rune(s), v.TrialDue.Sub(v.LastCrash).Seconds()))
	}
	for s := range l.Suspected() {
		parts = append(parts, fmt.Sprintf(" %c suspected", rune(s)))
	}
	slices.Sort(parts)
	return strings.Join(parts, "")
}

// TestOneFaultyDaemonQuarantinesNothing guards against a daemon that blocks a model by claims of
// crashes and decisions, and against a ledger that they fill without bound.
func TestOneFaultyDaemonQuarantinesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger("self"), dayStart
		for range rapid.IntRange(1, 300).Draw(t, "claims") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			segment := blackboard.Segment(rapid.IntRange(1, 100).Draw(t, "segment"))
			if rapid.Bool().Draw(t, "is crash") {
				l.AddCrash(blackboard.CrashClaim{Reporter: "faulty", EngineCrash: blackboard.EngineCrash{
					Engine: rapid.StringN(1, 2, 2).Draw(t, "engine"), Request: rapid.Uint64().Draw(t, "request"),
					Segments: []blackboard.Segment{segment, segment + 1}, SeenAt: now.Add(-time.Duration(rapid.Int64().Draw(t, "age") % int64(time.Hour))),
				}}, now)
			} else {
				l.AddDecisionClaim(blackboard.DecisionClaim{Reporter: "faulty", Segment: segment, LastCrash: now, TrialDue: now.Add(time.Hour)}, now)
			}
			l.Evaluate(now, minVotingDaemons)
		}
		if len(l.Decisions()) > 0 {
			t.Fatalf("decisions %v", l.Decisions())
		}
		if len(l.crashes) > maxCrashesByPeer || len(l.claims) > maxClaimsByPeer {
			t.Fatalf("%d crashes and %d decisions of one daemon are kept", len(l.crashes), len(l.claims))
		}
	})
}

// TestOneTrialOfTheFleetInAWindow guards against a trial by each daemon, and against segments
// that are never tried because few requests have them.
func TestOneTrialOfTheFleetInAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []blackboard.Peer
		for i := range rapid.IntRange(1, 410).Draw(t, "daemons") {
			members = append(members, blackboard.Peer{Name: fmt.Sprint("entry-", i)})
		}
		segment := blackboard.Segment(rapid.Uint64().Draw(t, "segment"))
		at := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "time"))
		count := func(overdue, at time.Duration) (n int) {
			for _, self := range members {
				if TrialOf(segment, overdue, at, &blackboard.Roster{Self: self, Members: members, Loaded: true}).MayTry {
					n++
				}
			}
			return n
		}
		start := at / trialWindow * trialWindow
		first, second := start+time.Millisecond, start+trialWindow/2
		if got := count(0, first); got != 1 {
			t.Errorf("%d daemons may run the trial of a window, want 1", got)
		}
		if got := count(0, second) + count(-1, first) + count(0, 0); got != 0 {
			t.Errorf("%d daemons may run a trial that is not due, or late in a window", got)
		}
		if got := count(20*ownersDoubleTime, first); got != len(members) {
			t.Errorf("%d of %d daemons may run a trial that has long been due", got, len(members))
		}
	})
}
