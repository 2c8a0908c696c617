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

func TestRequestThatMayNotWaitIsRefusedAtOnce(t *testing.T) {
	d := testAdmission(t, fleet.Ready, 1, fleet.Rules{})
	g := take(t, d, noWaitRequest())
	_, err := d.acquire(context.Background(), noWaitRequest(), nil)
	if e := result.From(err); e.Code != result.QueueFull || e.Verdict != result.NotRun || e.RetryAfter <= 0 {
		t.Errorf("refused with %v, verdict %v, retry after %v", e, e.Verdict, e.RetryAfter)
	}
	d.release(g)
	take(t, d, noWaitRequest())
}

func TestRequestThatMayNotWaitTakesABatchSlot(t *testing.T) {
	d := testAdmission(t, fleet.Ready, 1, fleet.Rules{})
	ended := false
	batch, err := d.acquire(context.Background(), batchRequest(), func(error) { ended = true })
	if err != nil {
		t.Fatal(err)
	}
	online := take(t, d, noWaitRequest())
	if !ended {
		t.Error("the batch request was not ended")
	}
	d.release(batch)
	d.release(online)
	if s := d.slots.Load(); s != 0 {
		t.Errorf("slots = %#x after all ended", s)
	}
}

// TestSignOfAColdStartHoldsUntilAProbe lets a request of the new epoch succeed
// before any probe has looked at the upstream.
func TestSignOfAColdStartHoldsUntilAProbe(t *testing.T) {
	board := testBoard(fleet.Ready, 4, 1, fleet.Rules{})
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	d := a.admission(testUpstream)
	limit := func() int {
		up, err := d.current()
		if err != nil {
			t.Fatal(err)
		}
		return d.limit(up)
	}
	failed := take(t, d, onlineRequest("a"))
	d.turnedCold(failed)
	d.release(failed)
	answered := take(t, d, onlineRequest("a"))
	d.answered(answered)
	d.release(answered)
	if got := limit(); got != 1 {
		t.Errorf("limit %d before a probe, want 1", got)
	}
	publishUpstream(board, func(up *blackboard.Upstream) { up.CheckedSigns, up.ColdStarts = 1, 1 })
	answered = take(t, d, onlineRequest("a"))
	d.answered(answered)
	d.release(answered)
	if got := limit(); got != 2 {
		t.Errorf("limit %d after the probe and one answer, want 2", got)
	}
}
