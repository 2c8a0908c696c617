package agent

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

func noWaitRequest() *peer.RunRequest {
	req := onlineRequest("a")
	req.NoWait = true
	return req
}

func TestNoWaitRequestIsRejectedAtOnce(t *testing.T) {
	p := newTestPool(t, fleet.StateReady, 1, fleet.Rules{})
	slot := mustAcquire(t, p, noWaitRequest())
	_, err := p.acquire(context.Background(), noWaitRequest(), nil)
	if e := result.FromError(err); e.Code != result.QueueFull || e.Verdict != result.NotRun || e.RetryAfter <= 0 {
		t.Errorf("rejected with %v, verdict %v, retry after %v", e, e.Verdict, e.RetryAfter)
	}
	p.release(slot)
	mustAcquire(t, p, noWaitRequest())
}

func TestNoWaitRequestTakesBatchSlot(t *testing.T) {
	p := newTestPool(t, fleet.StateReady, 1, fleet.Rules{})
	preempted := false
	batch, err := p.acquire(context.Background(), batchRequest(), func(error) { preempted = true })
	if err != nil {
		t.Fatal(err)
	}
	online := mustAcquire(t, p, noWaitRequest())
	if !preempted {
		t.Error("batch request was not preempted")
	}
	p.release(batch)
	p.release(online)
	if counts := p.slots.Load(); counts != 0 {
		t.Errorf("slots = %#x after all requests ended, want 0", counts)
	}
}

// TestColdSignLimitsUpstreamUntilProbe guards against a limit that grows too early: after
// a cold sign, a success of the new epoch must not raise it before a probe has checked
// the upstream.
func TestColdSignLimitsUpstreamUntilProbe(t *testing.T) {
	board := newTestBoard(fleet.StateReady, 4, 1, fleet.Rules{})
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	p := a.slotPool(testUpstream)
	limit := func() int {
		up, err := p.availableUpstream()
		if err != nil {
			t.Fatal(err)
		}
		return p.limit(up)
	}
	failed := mustAcquire(t, p, onlineRequest("a"))
	p.recordColdSign(failed)
	p.release(failed)
	served := mustAcquire(t, p, onlineRequest("a"))
	p.recordSuccess(served)
	p.release(served)
	if got := limit(); got != 1 {
		t.Errorf("limit is %d before a probe, want 1", got)
	}
	publishUpstream(board, func(up *blackboard.Upstream) { up.ProbedColdSigns, up.RampRestarts = 1, 1 })
	served = mustAcquire(t, p, onlineRequest("a"))
	p.recordSuccess(served)
	p.release(served)
	if got := limit(); got != 2 {
		t.Errorf("limit is %d after the probe and one success, want 2", got)
	}
}
