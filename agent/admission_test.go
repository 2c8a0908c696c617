package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

const testUpstream = "engine-1"

// newTestBoard returns a board with one engine in the given state.
func newTestBoard(state fleet.UpstreamState, slots, coldSlots int, rules fleet.Rules) *blackboard.Board {
	board := blackboard.New()
	inv := fleet.Inventory{Rules: rules}
	inv.SetDefaults()
	board.Config.Publish(&blackboard.Config{View: fleet.NewView(fleet.State{Inventory: inv})})
	board.Phase.Publish(blackboard.PhaseServing)
	publishUpstream(board, func(up *blackboard.Upstream) {
		up.Spec = &fleet.Upstream{Name: testUpstream, Kind: fleet.KindEngine, Slots: slots, ColdSlots: coldSlots}
		up.State = state
	})
	return board
}

// publishUpstream publishes a changed copy of the board's only upstream.
func publishUpstream(board *blackboard.Board, change func(*blackboard.Upstream)) {
	next := blackboard.Upstream{Connected: true, Load: new(blackboard.UpstreamLoad)}
	if old := board.Upstreams.Value().All; len(old) > 0 {
		next = *old[0]
	}
	change(&next)
	board.Upstreams.Publish(blackboard.NewUpstreams([]*blackboard.Upstream{&next}))
}

func newTestPool(t testing.TB, state fleet.UpstreamState, slots int, rules fleet.Rules) *slotPool {
	t.Helper()
	board := newTestBoard(state, slots, slots, rules)
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	return a.slotPool(testUpstream)
}

func onlineRequest(workspace string) *peer.RunRequest {
	return &peer.RunRequest{Workspace: workspace, Weight: 1, Class: fleet.ClassOnline}
}

func batchRequest() *peer.RunRequest { return &peer.RunRequest{Class: fleet.ClassBatch} }

// mustAcquire takes a slot and fails the test if it gets an error.
func mustAcquire(t *testing.T, p *slotPool, req *peer.RunRequest) *heldSlot {
	t.Helper()
	slot, err := p.acquire(context.Background(), req, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return slot
}

// waitUntilQueued waits until n requests are in the queue.
func waitUntilQueued(t *testing.T, p *slotPool, n int) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for waitingCount(p.slots.Load()) != n {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are waiting, want %d", waitingCount(p.slots.Load()), n)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	p := newTestPool(t, fleet.StateReady, 1, fleet.Rules{MaxOnlineQueue: 200})
	first := mustAcquire(t, p, onlineRequest("busy"))
	var order []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	queueOne := func(workspace string) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slot, err := p.acquire(context.Background(), onlineRequest(workspace), nil)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, workspace)
			mu.Unlock()
			p.release(slot)
		}()
	}
	for i := range 100 {
		queueOne("busy")
		waitUntilQueued(t, p, i+1)
	}
	for i := range 20 {
		queueOne("quiet")
		waitUntilQueued(t, p, 100+i+1)
	}
	p.release(first)
	wg.Wait()
	quiet := 0
	for _, w := range order[:40] {
		if w == "quiet" {
			quiet++
		}
	}
	if quiet < 19 {
		t.Errorf("%d of the first 40 requests served came from the quiet workspace, want at least 19: %v", quiet, order[:40])
	}
}

func TestFullQueueRejectsBusiestWorkspace(t *testing.T) {
	p := newTestPool(t, fleet.StateReady, 1, fleet.Rules{MaxOnlineQueue: 8})
	mustAcquire(t, p, onlineRequest("busy"))
	errs := make(chan error, 100)
	queueOne := func(workspace string) {
		go func() {
			_, err := p.acquire(context.Background(), onlineRequest(workspace), nil)
			errs <- fmt.Errorf("%s: %w", workspace, err)
		}()
	}
	for i := range 8 {
		queueOne("busy")
		waitUntilQueued(t, p, i+1)
	}
	queueOne("quiet")
	err := <-errs
	failed := result.FromError(err)
	if failed.Code != result.QueueFull || failed.Verdict != result.NotRun || failed.RetryAfter <= 0 {
		t.Errorf("rejected with %v, verdict %v, retry after %v", failed, failed.Verdict, failed.RetryAfter)
	}
	if got := err.Error()[:4]; got != "busy" {
		t.Errorf("rejected a request of workspace %q, want the busy one", got)
	}
	waitUntilQueued(t, p, 8)
}

func TestOnlineWaitTimesOut(t *testing.T) {
	const bound = 50 * time.Millisecond
	p := newTestPool(t, fleet.StateReady, 1, fleet.Rules{MaxOnlineWait: bound})
	slot := mustAcquire(t, p, onlineRequest("a"))
	began := time.Now()
	_, err := p.acquire(context.Background(), onlineRequest("a"), nil)
	if f := result.FromError(err); f.Code != result.QueueTimeout || f.Verdict != result.NotRun {
		t.Errorf("got %v with verdict %v, want a queue timeout that was not run", f, f.Verdict)
	}
	if took := time.Since(began); took < bound || took > 10*bound {
		t.Errorf("waited %v, want at least %v and at most 10 times that", took, bound)
	}
	p.release(slot)
	if counts := p.slots.Load(); counts != 0 {
		t.Errorf("slots = %#x after all requests ended, want 0", counts)
	}
}

func TestBatchNeedsIdleSlot(t *testing.T) {
	p := newTestPool(t, fleet.StateReady, 2, fleet.Rules{})
	mustAcquire(t, p, onlineRequest("a"))
	mustAcquire(t, p, batchRequest())
	if _, err := p.acquire(context.Background(), batchRequest(), nil); result.CodeOf(err) != result.QueueFull {
		t.Errorf("batch request without an idle slot got error %v, want a full queue", err)
	}
}

func TestOnlinePreemptsNewestBatchAtOnce(t *testing.T) {
	p := newTestPool(t, fleet.StateReady, 2, fleet.Rules{})
	causes := make(chan string, 2)
	batch := make([]*heldSlot, 2)
	for i := range batch {
		slot, err := p.acquire(context.Background(), batchRequest(), func(cause error) {
			causes <- fmt.Sprintf("%d %s", i, result.CodeOf(cause))
		})
		if err != nil {
			t.Fatal(err)
		}
		batch[i] = slot
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	online, err := p.acquire(ctx, onlineRequest("a"), nil)
	if err != nil {
		t.Fatalf("online request did not get the slot of a batch request: %v", err)
	}
	if got, want := <-causes, "1 preempted"; got != want {
		t.Errorf("preempted batch request %q, want %q", got, want)
	}
	p.release(batch[1])
	if got := usedSlots(p.slots.Load()); got != 2 {
		t.Errorf("%d slots used after the batch request ended, want 2", got)
	}
	p.release(online)
	p.release(batch[0])
	if counts := p.slots.Load(); counts != 0 {
		t.Errorf("slots = %#x after all requests ended, want 0", counts)
	}
}

func TestColdUpstreamPreemptsExcessBatch(t *testing.T) {
	board := newTestBoard(fleet.StateReady, 4, 1, fleet.Rules{})
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	p := a.slotPool(testUpstream)
	for range 3 {
		p.meter.CountCompleted(p.meter.Epoch())
	}
	preempted := 0
	for range 3 {
		if _, err := p.acquire(context.Background(), batchRequest(), func(error) { preempted++ }); err != nil {
			t.Fatal(err)
		}
	}
	publishUpstream(board, func(up *blackboard.Upstream) { up.State, up.RampRestarts = fleet.StateCold, 1 })
	p.refresh()
	if preempted != 2 {
		t.Errorf("%d batch requests were preempted, want 2", preempted)
	}
	if a.Idle(testUpstream) != 0 {
		t.Errorf("cold upstream has %d idle slots for batch requests, want 0", a.Idle(testUpstream))
	}
}

func TestLeavingUpstreamRejectsQueuedRequests(t *testing.T) {
	board := newTestBoard(fleet.StateReady, 1, 1, fleet.Rules{})
	p := New(board, NewMetrics(prometheus.NewRegistry())).slotPool(testUpstream)
	mustAcquire(t, p, onlineRequest("a"))
	errs := make(chan error, 1)
	go func() {
		_, err := p.acquire(context.Background(), onlineRequest("a"), nil)
		errs <- err
	}()
	waitUntilQueued(t, p, 1)
	publishUpstream(board, func(up *blackboard.Upstream) { up.State = fleet.StateLeaving })
	p.refresh()
	if f := result.FromError(<-errs); f.Code != result.UpstreamLeaving || f.Verdict != result.NotRun {
		t.Errorf("rejected with %v, verdict %v", f, f.Verdict)
	}
}

func TestChangedIsClosedWhenSlotIsReleased(t *testing.T) {
	a := New(newTestBoard(fleet.StateReady, 1, 1, fleet.Rules{}), NewMetrics(prometheus.NewRegistry()))
	p := a.slotPool(testUpstream)
	slot := mustAcquire(t, p, onlineRequest("a"))
	changed := a.Changed()
	if n := a.Idle(testUpstream); n != 0 {
		t.Fatalf("Idle = %d while the slot is taken", n)
	}
	p.release(slot)
	select {
	case <-changed:
	case <-time.After(time.Second):
		t.Fatal("channel was not closed after the slot was released")
	}
	if n := a.Idle(testUpstream); n != 1 {
		t.Fatalf("Idle = %d, want 1", n)
	}
}

// TestConcurrentRequestsStayWithinSlots runs online and batch requests, some of which
// are cancelled while they wait, beside state changes of their upstream. No more online
// requests than slots may run at the same time, and no slot may leak.
func TestConcurrentRequestsStayWithinSlots(t *testing.T) {
	const slots, workers, requests = 4, 16, 300
	board := newTestBoard(fleet.StateReady, slots, slots, fleet.Rules{MaxOnlineQueue: 6, MaxOnlineWait: 20 * time.Millisecond})
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	p := a.slotPool(testUpstream)
	var online, batch, maxOnline atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range requests {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(5000))*time.Microsecond)
				runRequest(ctx, p, w%4 == 0, &online, &batch, &maxOnline)
				cancel()
			}
		}()
	}
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for i := range 50 {
			time.Sleep(time.Millisecond)
			publishUpstream(board, func(up *blackboard.Upstream) {
				up.State = []fleet.UpstreamState{fleet.StateLeaving, fleet.StateReady}[i%2]
			})
			p.refresh()
		}
	}()
	wg.Wait()
	<-stop
	if maxOnline.Load() > slots {
		t.Errorf("%d online requests ran at the same time, want at most %d", maxOnline.Load(), slots)
	}
	if counts := p.slots.Load(); counts != 0 {
		t.Errorf("slots = %#x after all requests ended, want 0", counts)
	}
	if p.waitQueue.Len() != 0 || len(p.batch) != 0 {
		t.Errorf("%d waiting and %d batch requests are left, want none", p.waitQueue.Len(), len(p.batch))
	}
}

// runRequest runs one request and records the largest number of online requests that ran
// at the same time.
func runRequest(ctx context.Context, p *slotPool, isBatch bool, online, batch, maxOnline *atomic.Int64) {
	req, count := onlineRequest(fmt.Sprint(rand.IntN(3))), online
	if isBatch {
		req, count = batchRequest(), batch
	}
	ctx, preempt := context.WithCancelCause(ctx)
	defer preempt(nil)
	slot, err := p.acquire(ctx, req, preempt)
	if err != nil {
		return
	}
	n := count.Add(1)
	if !isBatch {
		for old := maxOnline.Load(); n > old && !maxOnline.CompareAndSwap(old, n); old = maxOnline.Load() {
		}
	}
	select {
	case <-time.After(time.Duration(rand.IntN(1000)) * time.Microsecond):
	case <-ctx.Done():
	}
	count.Add(-1)
	p.release(slot)
}

func BenchmarkAdmissionFastPath(b *testing.B) {
	p := newTestPool(b, fleet.StateReady, 1<<20, fleet.Rules{})
	req := onlineRequest("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := p.acquire(context.Background(), req, nil)
			if err != nil {
				b.Error(err)
				return
			}
			p.release(slot)
		}
	})
}
