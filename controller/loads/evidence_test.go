package loads

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

// crashOf returns the crash of an engine that the daemon reports.
func crashOf(reporter string, request uint64, segment blackboard.Segment) blackboard.CrashClaim {
	return blackboard.CrashClaim{Reporter: reporter, EngineDataCentre: "dc-1", EngineCrash: blackboard.EngineCrash{
		Engine: "i-1", StartedAtMs: 1764900000000, Request: request, Segments: []blackboard.Segment{segment}, SeenAt: clock.Now(),
	}}
}

// reportersHeard empties the daemon's queue and returns the names of the daemons that
// reported crashes and decisions, and the segments that were answered.
func (d *daemon) reportersHeard() (reporters []string, answered []blackboard.Segment) {
	names, segments := make(map[string]bool), make(map[blackboard.Segment]bool)
	for range len(d.board.PeerEvidence.Chan()) {
		e := <-d.board.PeerEvidence.Chan()
		for _, c := range e.Crashes {
			names[c.Reporter] = true
		}
		for _, v := range e.Decisions {
			names[v.Reporter] = true
		}
		for _, c := range e.Clears {
			segments[c.Segment] = true
		}
	}
	return slices.Sorted(maps.Keys(names)), slices.Sorted(maps.Keys(segments))
}

// TestEvidenceReachesAllDaemons guards against crashes that only those know who saw them, in
// a fleet that reports to all and in one whose data centres send sums.
func TestEvidenceReachesAllDaemons(t *testing.T) {
	for _, each := range []int{3, 7} {
		n := newNetwork(3, each)
		saw := n.daemons[4]
		saw.board.Evidence.Publish(&blackboard.Evidence{
			Crashes: []blackboard.CrashClaim{crashOf(saw.peer.Name, 7, 1), crashOf("another", 8, 1)},
			Clears:  []blackboard.ClearClaim{{Segment: 5, AnsweredAt: clock.Now(), SeenHere: true}},
		})
		for _, d := range n.daemons { // as controller/quarantine does
			if d != saw && d.peer.DataCentre == saw.peer.DataCentre {
				d.board.Evidence.Publish(&blackboard.Evidence{
					Crashes: []blackboard.CrashClaim{crashOf(saw.peer.Name, 7, 1)},
					Clears:  []blackboard.ClearClaim{{Segment: 5, AnsweredAt: clock.Now()}},
				})
			}
		}
		n.run(time.Second)
		for _, d := range n.daemons {
			reporters, answered := d.reportersHeard()
			if d != saw && (!slices.Equal(reporters, []string{saw.peer.Name}) || !slices.Equal(answered, []blackboard.Segment{5})) {
				t.Errorf("%d daemons: %s heard of crashes that %v saw and of answers %v", 3*each, d.peer.Name, reporters, answered)
			}
		}
	}
}

// TestSumNamesFewDaemons guards against reports that grow with the daemons that saw crashes
// by one segment.
func TestSumNamesFewDaemons(t *testing.T) {
	n := newNetwork(3, 7)
	sender := n.daemons[1]
	var e blackboard.Evidence
	for i, d := range n.daemons {
		if d.peer.DataCentre == sender.peer.DataCentre {
			e.Crashes = append(e.Crashes, crashOf(d.peer.Name, uint64(i), 1))
		}
	}
	sender.board.Evidence.Publish(&e)
	told := sender.newSum(sender.board.Roster.Value(), 1).Evidence
	if len(told.Crashes) != maxVotesOfSum {
		t.Errorf("the sum names %d daemons for a segment, want %d", len(told.Crashes), maxVotesOfSum)
	}
}

// TestEvidenceIsSentOftenWhileFreshAndThenOnceASecond also guards against reports that grow
// without bound.
func TestEvidenceIsSentOftenWhileFreshAndThenOnceASecond(t *testing.T) {
	const pieces, interval = 12, 30 * time.Millisecond
	var e blackboard.Evidence
	for i := range pieces {
		e.Crashes = append(e.Crashes, crashOf("self", uint64(i), 1))
	}
	s, now := make(evidenceSender), clock.Now()
	sent := make(map[uint64]int)
	for i := range int(10 * time.Second / interval) {
		now = now.Add(interval)
		chosen := s.choose(ownPieces(&e, "self"), maxToldByDaemon, now)
		for _, p := range chosen {
			sent[p.crash.Request]++
		}
		data, err := peer.EncodeLoadReport(peer.LoadReport{Evidence: encodeEvidence(chosen, "self", now)})
		if err != nil || len(data) > 1000 {
			t.Fatalf("report %d has %d bytes of evidence: %v", i, len(data), err)
		}
	}
	for request, times := range sent {
		if times < 9 || times > 9+int(freshTime/interval) {
			t.Errorf("crash %d was sent %d times in 10 s", request, times)
		}
	}
	if len(sent) != pieces {
		t.Errorf("%d of %d crashes were sent", len(sent), pieces)
	}
	if s.choose(nil, maxToldByDaemon, now); len(s) != 0 {
		t.Errorf("%d pieces are remembered that are not told any more", len(s))
	}
}

// TestReportClaimsOnlyForItsOwnDaemons guards against a daemon that speaks for others, and
// against evidence that is too large.
func TestReportClaimsOnlyForItsOwnDaemons(t *testing.T) {
	n := newNetwork(3, 7)
	d := n.daemons[0]
	var e peer.Evidence
	for i := range 100 {
		e.Crashes = append(e.Crashes, peer.Crash{Reporter: n.daemons[i%len(n.daemons)].peer.Name, Engine: "i-1", Segments: make([]uint64, 100), AgeMs: 1 << 62})
		e.Decisions = append(e.Decisions, peer.QuarantineDecision{Reporter: fmt.Sprint(i), TrialInMs: -1 << 63})
	}
	from := n.daemons[1].peer // in dc-1, as entry-004, entry-007 and so on
	d.apply(peer.LoadReport{From: from.Incarnation, Sequence: 1, Evidence: &e})
	if reporters, _ := d.reportersHeard(); !slices.Equal(reporters, []string{from.Name}) {
		t.Errorf("a daemon's report was taken as evidence of %v", reporters)
	}
	d.apply(peer.LoadReport{From: from.Incarnation, Sequence: 2, Evidence: &e, DataCentre: &peer.DataCentreSum{Name: "dc-1", Daemons: 7, Forwarded: true}})
	got := <-d.board.PeerEvidence.Chan()
	for _, c := range got.Crashes {
		if c.SumOf != "dc-1" || len(c.Segments) > maxToldSegments || d.board.Roster.Value().DataCentreOf(c.Reporter+"/1") != "dc-1" {
			t.Errorf("a data centre's sum was taken as evidence %+v", c)
		}
	}
	d.apply(peer.LoadReport{From: from.Incarnation, Sequence: 3, Evidence: &e, DataCentre: &peer.DataCentreSum{Name: "dc-2", Daemons: 7, Forwarded: true}})
	if reporters, _ := d.reportersHeard(); len(reporters) > 0 {
		t.Errorf("a daemon's sum of another data centre was taken as evidence of %v", reporters)
	}
	d.apply(peer.LoadReport{From: "stranger/1", Sequence: 1, Evidence: &peer.Evidence{Clears: []peer.SegmentAnswer{{Segment: 1}}}})
	if _, answered := d.reportersHeard(); len(answered) > 0 {
		t.Error("a stranger's report was taken as evidence")
	}
}

// TestDecisionsAndAnswersDoNotQueueBehindCrashes guards against a decision, or the answer that
// ends it, that other daemons learn seconds late because many crashes wait to be told.
func TestDecisionsAndAnswersDoNotQueueBehindCrashes(t *testing.T) {
	var pieces []piece
	for i := range 50 {
		pieces = append(pieces, piece{key: pieceKey{engine: "i", request: uint64(i + 1)}, crash: new(blackboard.CrashClaim)})
	}
	pieces = append(pieces, piece{key: pieceKey{segment: 1, at: 1}, decision: new(blackboard.DecisionClaim)},
		piece{key: pieceKey{segment: 1, at: 2}, clear: new(blackboard.ClearClaim)})
	told := make(evidenceSender).choose(pieces, maxToldByDaemon, clock.Now())
	if len(told) != maxToldByDaemon || told[0].clear == nil || told[1].decision == nil || told[2].crash == nil {
		t.Errorf("the first report holds %+v, want the answer, the decision and a crash", told)
	}
}
