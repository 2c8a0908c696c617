package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

const (
	// freshTime is how long a piece of evidence is in every report.
	freshTime = 300 * time.Millisecond
	// repeatInterval is the time between two reports with it afterwards.
	repeatInterval = time.Second
	// maxToldByDaemon and maxToldBySum bound the pieces of evidence in one report.
	maxToldByDaemon, maxToldBySum = 3, 8
	// maxVotesOfSum is the number of daemons whose claims about one segment a sum names.
	maxVotesOfSum = 2
	// maxToldSegments bounds the segments of a crash in a report.
	maxToldSegments = 8
	// maxHeard bounds the pieces of evidence of each kind that are taken from one report.
	maxHeard = 16
	// maxNameBytes bounds the names in evidence.
	maxNameBytes = 128
)

// pieceKey identifies a piece of evidence.
type pieceKey struct {
	reporter, engine string
	segment          blackboard.Segment // of a decision or an answer
	startedAtMs      int64
	request          uint64
	at               clock.Instant // of a decision: the last crash; of an answer: its time
}

// piece is a piece of evidence: one of its fields but the first is set.
type piece struct {
	key      pieceKey
	crash    *blackboard.CrashClaim
	decision *blackboard.DecisionClaim
	clear    *blackboard.ClearClaim
}

// sending says when a piece was in a report.
type sending struct{ first, last clock.Instant }

// evidenceSender chooses the evidence for a series of reports. It belongs to the goroutine of
// RunSender.
type evidenceSender map[pieceKey]sending

// choose returns at most limit of the pieces for the next report: fresh ones first, among
// them those that matter most, then those that were not sent for the longest time.
func (s evidenceSender) choose(pieces []piece, limit int, now clock.Instant) []piece {
	s.forget(pieces)
	var due []piece
	for _, p := range pieces {
		if last := s[p.key].last; s.isFresh(p.key, now) || now.Sub(last) >= repeatInterval {
			due = append(due, p)
		}
	}
	slices.SortStableFunc(due, func(a, b piece) int {
		return cmp.Or(cmp.Compare(s.rank(&a, now), s.rank(&b, now)), cmp.Compare(s[a.key].last, s[b.key].last))
	})
	due = due[:min(len(due), limit)]
	for _, p := range due {
		sent := s[p.key]
		if sent.first == 0 {
			sent.first = now
		}
		sent.last = now
		s[p.key] = sent
	}
	return due
}

// rank returns the place of a piece among others, the lowest first: of fresh ones an answer,
// which ends a mistake, then a decision, then a crash, which a decision may already explain.
func (s evidenceSender) rank(p *piece, now clock.Instant) int {
	switch {
	case !s.isFresh(p.key, now):
		return 3
	case p.clear != nil:
		return 0
	case p.decision != nil:
		return 1
	default:
		return 2
	}
}

// isFresh reports whether the piece was first sent less than freshTime ago, or never.
func (s evidenceSender) isFresh(key pieceKey, now clock.Instant) bool {
	sent, ok := s[key]
	return !ok || now.Sub(sent.first) < freshTime
}

// forget drops what is known of pieces that are not told any more.
func (s evidenceSender) forget(pieces []piece) {
	if len(s) == 0 {
		return
	}
	told := make(map[pieceKey]bool, len(pieces))
	for _, p := range pieces {
		told[p.key] = true
	}
	for key := range s {
		if !told[key] {
			delete(s, key)
		}
	}
}

// ownPieces returns the evidence that this daemon saw itself, and its decisions.
func ownPieces(e *blackboard.Evidence, self string) []piece {
	return piecesOf(e, func(reporter, _ string) bool { return reporter == self }, func(c *blackboard.ClearClaim) bool { return c.SeenHere })
}

// sumPieces returns the evidence that daemons of this data centre reported, of at most
// maxVotesOfSum daemons for each segment.
func sumPieces(e *blackboard.Evidence) []piece {
	named := make(map[blackboard.Segment][]string)
	isNamed := func(s blackboard.Segment, reporter string) bool {
		if !slices.Contains(named[s], reporter) && len(named[s]) < maxVotesOfSum {
			named[s] = append(named[s], reporter)
		}
		return slices.Contains(named[s], reporter)
	}
	pieces := piecesOf(e, func(_, sumOf string) bool { return sumOf == "" }, func(c *blackboard.ClearClaim) bool { return c.SumOf == "" })
	return slices.DeleteFunc(pieces, func(p piece) bool {
		switch {
		case p.crash != nil:
			return !slices.ContainsFunc(p.crash.Segments, func(s blackboard.Segment) bool { return isNamed(s, p.crash.Reporter) })
		case p.decision != nil:
			return !isNamed(p.decision.Segment, p.decision.Reporter)
		}
		return false
	})
}

// piecesOf returns the selected pieces of the evidence.
func piecesOf(e *blackboard.Evidence, hasReporter func(reporter, sumOf string) bool, isTold func(*blackboard.ClearClaim) bool) []piece {
	var pieces []piece
	for i := range e.Crashes {
		if c := &e.Crashes[i]; hasReporter(c.Reporter, c.SumOf) {
			pieces = append(pieces, piece{key: pieceKey{reporter: c.Reporter, engine: c.Engine, startedAtMs: c.StartedAtMs, request: c.Request}, crash: c})
		}
	}
	for i := range e.Decisions {
		if v := &e.Decisions[i]; hasReporter(v.Reporter, v.SumOf) {
			pieces = append(pieces, piece{key: pieceKey{reporter: v.Reporter, segment: v.Segment, at: v.LastCrash}, decision: v})
		}
	}
	for i := range e.Clears {
		if c := &e.Clears[i]; isTold(c) {
			pieces = append(pieces, piece{key: pieceKey{segment: c.Segment, at: c.AnsweredAt}, clear: c})
		}
	}
	return pieces
}

// encodeEvidence returns the pieces as the sender of a report tells them, or nil if there are
// none.
func encodeEvidence(pieces []piece, sender string, now clock.Instant) *peer.Evidence {
	if len(pieces) == 0 {
		return nil
	}
	by := func(reporter string) string {
		if reporter == sender {
			return ""
		}
		return reporter
	}
	e := new(peer.Evidence)
	for _, p := range pieces {
		switch {
		case p.crash != nil:
			e.Crashes = append(e.Crashes, encodeCrash(p.crash, by(p.crash.Reporter), now))
		case p.decision != nil:
			e.Decisions = append(e.Decisions, peer.QuarantineDecision{
				Reporter: by(p.decision.Reporter), Segment: uint64(p.decision.Segment), AgeMs: ageMs(p.decision.LastCrash, now),
				TrialInMs: -ageMs(p.decision.TrialDue, now), Extensions: p.decision.Extensions,
			})
		case p.clear != nil:
			e.Clears = append(e.Clears, peer.SegmentAnswer{Segment: uint64(p.clear.Segment), AgeMs: ageMs(p.clear.AnsweredAt, now)})
		}
	}
	return e
}

// encodeCrash returns the crash as a report tells it.
func encodeCrash(c *blackboard.CrashClaim, by string, now clock.Instant) peer.Crash {
	told := peer.Crash{
		Reporter: by, Engine: c.Engine, StartedAtMs: c.StartedAtMs, DataCentre: c.EngineDataCentre,
		Request: c.Request, AgeMs: ageMs(c.SeenAt, now),
	}
	for _, s := range c.Segments[max(len(c.Segments)-maxToldSegments, 0):] {
		told.Segments = append(told.Segments, uint64(s))
	}
	return told
}

// ageMs returns the age of the instant in ms. It is negative for one in the future.
func ageMs(at, now clock.Instant) int64 { return now.Sub(at).Milliseconds() }

// passEvidence hands the evidence of a report to the controller that judges it. A report of a
// daemon holds its own claims, the sum of a data centre those of its daemons; claims of others
// are left out.
func (c *Controller) passEvidence(r *peer.LoadReport, roster *blackboard.Roster) {
	sender, ok := roster.Member(r.From)
	if r.Evidence == nil || r.Evidence.IsEmpty() || !ok {
		return
	}
	d := evidenceDecoder{sender: sender.Name, now: clock.Now(), reporters: map[string]bool{sender.Name: true}}
	if r.DataCentre != nil {
		if r.DataCentre.Name != sender.DataCentre {
			return
		}
		d.sumOf = r.DataCentre.Name
		for i := range roster.Members {
			if p := &roster.Members[i]; p.DataCentre == d.sumOf {
				d.reporters[p.Name] = true
			}
		}
	}
	c.board.PeerEvidence.Put(d.decode(r.Evidence))
}

// evidenceDecoder decodes the evidence of one report.
type evidenceDecoder struct {
	sender, sumOf string
	now           clock.Instant
	reporters     map[string]bool // names of the daemons whose claims the report may hold
}

func (d *evidenceDecoder) decode(told *peer.Evidence) blackboard.Evidence {
	var e blackboard.Evidence
	for _, c := range told.Crashes[:min(len(told.Crashes), maxHeard)] {
		reporter := cmp.Or(c.Reporter, d.sender)
		if !d.reporters[reporter] || len(c.Engine)+len(c.DataCentre) > maxNameBytes {
			continue
		}
		claim := blackboard.CrashClaim{Reporter: reporter, SumOf: d.sumOf, EngineDataCentre: c.DataCentre}
		claim.EngineCrash = blackboard.EngineCrash{Engine: c.Engine, StartedAtMs: c.StartedAtMs, Request: c.Request, SeenAt: d.instant(c.AgeMs)}
		for _, s := range c.Segments[max(len(c.Segments)-maxToldSegments, 0):] {
			claim.Segments = append(claim.Segments, blackboard.Segment(s))
		}
		e.Crashes = append(e.Crashes, claim)
	}
	for _, v := range told.Decisions[:min(len(told.Decisions), maxHeard)] {
		if reporter := cmp.Or(v.Reporter, d.sender); d.reporters[reporter] {
			e.Decisions = append(e.Decisions, blackboard.DecisionClaim{
				Reporter: reporter, SumOf: d.sumOf, Segment: blackboard.Segment(v.Segment),
				LastCrash: d.instant(v.AgeMs), TrialDue: d.instant(-v.TrialInMs), Extensions: v.Extensions,
			})
		}
	}
	for _, a := range told.Clears[:min(len(told.Clears), maxHeard)] {
		e.Clears = append(e.Clears, blackboard.ClearClaim{Segment: blackboard.Segment(a.Segment), AnsweredAt: d.instant(a.AgeMs), SumOf: d.sumOf})
	}
	return e
}

// maxAge bounds the ages in evidence, so that they can be computed with.
const maxAge = 24 * time.Hour

// instant returns the instant of the given age.
func (d *evidenceDecoder) instant(ms int64) clock.Instant {
	bound := maxAge.Milliseconds()
	return d.now.Add(-time.Duration(min(max(ms, -bound), bound)) * time.Millisecond)
}
