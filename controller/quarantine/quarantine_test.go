package quarantine

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// startController runs a controller in a fleet of three daemons until the test ends.
func startController(t *testing.T) (*blackboard.EntryBoard, *prometheus.Registry) {
	board := blackboard.NewEntryBoard()
	members := []blackboard.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	board.Roster.Publish(&blackboard.Roster{Self: members[0], Members: members, Loaded: true})
	reg := prometheus.NewRegistry()
	c := New(board, NewMetrics(reg, board), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return board, reg
}

// decisionsCounted returns the number of decisions that the metrics tell.
func decisionsCounted(t *testing.T, reg *prometheus.Registry) float64 {
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "baobab_quarantine_decisions_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// crash returns the crash of an engine by a request with segment 1 and another one.
func crash(engine string, request uint64) blackboard.EngineCrash {
	return blackboard.EngineCrash{Engine: engine, Request: request, Segments: []blackboard.Segment{1, blackboard.Segment(request)}, SeenAt: clock.Now()}
}

// await waits until the quarantine satisfies the condition.
func await(t *testing.T, board *blackboard.EntryBoard, what string, condition func(*blackboard.Quarantine) bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		snap := board.Quarantine.Load()
		if condition(snap.Value) {
			return
		}
		select {
		case <-snap.Changed():
		case <-deadline:
			t.Fatalf("not so after 5 s: %s; quarantine %+v", what, snap.Value)
		}
	}
}

// TestCrashesOfTwoDaemonsQuarantineASegment guards against a daemon that keeps on sending a
// segment that crashed one engine here and another one elsewhere, and against a segment that
// stays blocked although it was answered.
func TestCrashesOfTwoDaemonsQuarantineASegment(t *testing.T) {
	board, reg := startController(t)
	segments := []blackboard.Segment{7, 1}
	board.Crashes.Report(crash("i-1", 100))
	await(t, board, "one crash makes a suspect", func(q *blackboard.Quarantine) bool { return q.Suspected[1] && len(q.BySegment) == 0 })
	board.PeerEvidence.Put(blackboard.Evidence{Crashes: []blackboard.CrashClaim{{Reporter: "b", EngineCrash: crash("i-2", 200)}}})
	await(t, board, "two crashes quarantine a segment", func(q *blackboard.Quarantine) bool {
		gate := blackboard.SegmentGate{Segments: segments}
		wait, blocked := gate.Blocked(q, clock.Now())
		return blocked && len(q.BySegment) == 1 && wait > 50*time.Second && !gate.Enter(q, clock.Now()) && !q.BySegment[1].TakeTrial(clock.Now())
	})
	if got := decisionsCounted(t, reg); got != 1 {
		t.Errorf("%g decisions were counted, want 1", got)
	}
	board.SoundSegments.Record(segments, clock.Now())
	await(t, board, "an answer here ends the quarantine", func(q *blackboard.Quarantine) bool { return len(q.BySegment) == 0 && !q.Suspected[1] })
	evidence := board.Evidence.Load()
	for !hasClear(evidence.Value, 1) {
		<-evidence.Changed()
		evidence = board.Evidence.Load()
	}
}

func hasClear(e *blackboard.Evidence, s blackboard.Segment) bool {
	for _, c := range e.Clears {
		if c.Segment == s && c.SeenHere {
			return true
		}
	}
	return false
}

// TestTrialIsTakenOnceAndLaterByOthers guards against several trials of one daemon, and
// against a trial that stays with a daemon without requests.
func TestTrialIsTakenOnceAndLaterByOthers(t *testing.T) {
	board, _ := startController(t)
	claim := blackboard.DecisionClaim{Segment: 1, LastCrash: clock.Now().Add(-time.Minute), TrialDue: clock.Now().Add(-20 * time.Minute)}
	for _, reporter := range []string{"b", "c"} {
		claim.Reporter = reporter
		board.PeerEvidence.Put(blackboard.Evidence{Decisions: []blackboard.DecisionClaim{claim}})
	}
	await(t, board, "a decision of two daemons is adopted", func(q *blackboard.Quarantine) bool { return len(q.BySegment) == 1 })
	if board.Quarantine.Value().BySegment[1].MayTry {
		t.Error("a daemon may run a trial before it knows the store's clock")
	}
	board.SyncStoreClock(time.Hour, clock.Now()) // a window begins
	await(t, board, "the trial is due", func(q *blackboard.Quarantine) bool {
		return q.BySegment[1].TakeTrial(clock.Now()) && !q.BySegment[1].TakeTrial(clock.Now())
	})
	board.Crashes.Report(crash("i-9", 300))
	await(t, board, "the crash of the trial extends the quarantine", func(q *blackboard.Quarantine) bool {
		gate := blackboard.SegmentGate{Segments: []blackboard.Segment{1}}
		wait, blocked := gate.Blocked(q, clock.Now())
		return blocked && wait > 100*time.Second
	})
}
