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

// testBoard returns a board on which one engine has the state and slots.
func testBoard(state fleet.UpstreamState, slots, coldSlots int, rules fleet.Rules) *blackboard.Board {
	board := blackboard.New()
	inv := fleet.Inventory{Rules: rules}
	inv.SetDefaults()
	board.Config.Publish(&blackboard.Config{View: fleet.NewView(fleet.State{Inventory: inv})})
	board.Phase.Publish(blackboard.Serving)
	publishUpstream(board, func(up *blackboard.Upstream) {
		up.Spec = &fleet.Upstream{Name: testUpstream, Kind: fleet.Engine, Slots: slots, ColdSlots: coldSlots}
		up.State = state
	})
	return board
}

// publishUpstream publishes a changed copy of the one upstream.
func publishUpstream(board *blackboard.Board, change func(*blackboard.Upstream)) {
	next := blackboard.Upstream{Connected: true, Load: new(blackboard.Load)}
	if old := board.Upstreams.Value().All; len(old) > 0 {
		next = *old[0]
	}
	change(&next)
	board.Upstreams.Publish(blackboard.NewUpstreams([]*blackboard.Upstream{&next}))
}

func testAdmission(t testing.TB, state fleet.UpstreamState, slots int, rules fleet.Rules) *admission {
	t.Helper()
	board := testBoard(state, slots, slots, rules)
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	return a.admission(testUpstream)
}

func onlineRequest(workspace string) *peer.RunRequest {
	return &peer.RunRequest{Workspace: workspace, Weight: 1, Class: fleet.Online}
}

func batchRequest() *peer.RunRequest { return &peer.RunRequest{Class: fleet.Batch} }

// take acquires a slot that must be free.
func take(t *testing.T, d *admission, req *peer.RunRequest) *grant {
	t.Helper()
	g, err := d.acquire(context.Background(), req, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// waitQueued waits until n requests are in the queue.
func waitQueued(t *testing.T, d *admission, n int) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for waiting(d.slots.Load()) != n {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests wait, want %d", waiting(d.slots.Load()), n)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestBusyWorkspaceLeavesOthersTheirShare(t *testing.T) {
	d := testAdmission(t, fleet.Ready, 1, fleet.Rules{OnlineQueue: 200})
	first := take(t, d, onlineRequest("busy"))
	var order []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	queueOne := func(workspace string) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g, err := d.acquire(context.Background(), onlineRequest(workspace), nil)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, workspace)
			mu.Unlock()
			d.release(g)
		}()
	}
	for i := range 100 {
		queueOne("busy")
		waitQueued(t, d, i+1)
	}
	for i := range 20 {
		queueOne("quiet")
		waitQueued(t, d, 100+i+1)
	}
	d.release(first)
	wg.Wait()
	quiet := 0
	for _, w := range order[:40] {
		if w == "quiet" {
			quiet++
		}
	}
	if quiet < 19 {
		t.Errorf("%d of the first 40 served came from the quiet workspace, want half: %v", quiet, order[:40])
	}
}

func TestFullQueueRefusesTheBusiestWorkspace(t *testing.T) {
	d := testAdmission(t, fleet.Ready, 1, fleet.Rules{OnlineQueue: 8})
	take(t, d, onlineRequest("busy"))
	errs := make(chan error, 100)
	queueOne := func(workspace string) {
		go func() {
			_, err := d.acquire(context.Background(), onlineRequest(workspace), nil)
			errs <- fmt.Errorf("%s: %w", workspace, err)
		}()
	}
	for i := range 8 {
		queueOne("busy")
		waitQueued(t, d, i+1)
	}
	queueOne("quiet")
	err := <-errs
	failed := result.From(err)
	if failed.Code != result.QueueFull || failed.Verdict != result.NotRun || failed.RetryAfter <= 0 {
		t.Errorf("refused with %v, verdict %v, retry after %v", failed, failed.Verdict, failed.RetryAfter)
	}
	if got := err.Error()[:4]; got != "busy" {
		t.Errorf("refused %q, want the busy workspace", got)
	}
	waitQueued(t, d, 8)
}

func TestWaitIsBoundedByTime(t *testing.T) {
	const bound = 50 * time.Millisecond
	d := testAdmission(t, fleet.Ready, 1, fleet.Rules{OnlineWait: bound})
	g := take(t, d, onlineRequest("a"))
	began := time.Now()
	_, err := d.acquire(context.Background(), onlineRequest("a"), nil)
	if f := result.From(err); f.Code != result.QueueTimeout || f.Verdict != result.NotRun {
		t.Errorf("ended with %v, verdict %v", f, f.Verdict)
	}
	if took := time.Since(began); took < bound || took > 10*bound {
		t.Errorf("waited %v, want %v", took, bound)
	}
	d.release(g)
	if s := d.slots.Load(); s != 0 {
		t.Errorf("slots = %#x after all ended", s)
	}
}

func TestBatchIsAdmittedOnlyBesideIdleSlots(t *testing.T) {
	d := testAdmission(t, fleet.Ready, 2, fleet.Rules{})
	take(t, d, onlineRequest("a"))
	take(t, d, batchRequest())
	if _, err := d.acquire(context.Background(), batchRequest(), nil); result.CodeOf(err) != result.QueueFull {
		t.Errorf("a batch request beyond the slots got %v", err)
	}
}

func TestOnlineRequestTakesTheNewestBatchSlotAtOnce(t *testing.T) {
	d := testAdmission(t, fleet.Ready, 2, fleet.Rules{})
	causes := make(chan string, 2)
	batch := make([]*grant, 2)
	for i := range batch {
		g, err := d.acquire(context.Background(), batchRequest(), func(cause error) {
			causes <- fmt.Sprintf("%d %s", i, result.CodeOf(cause))
		})
		if err != nil {
			t.Fatal(err)
		}
		batch[i] = g
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	online, err := d.acquire(ctx, onlineRequest("a"), nil)
	if err != nil {
		t.Fatalf("the online request did not get the slot of a batch request: %v", err)
	}
	if got, want := <-causes, "1 preempted"; got != want {
		t.Errorf("ended batch request %q, want %q", got, want)
	}
	d.release(batch[1])
	if got := used(d.slots.Load()); got != 2 {
		t.Errorf("%d slots used after the batch request ended, want 2", got)
	}
	d.release(online)
	d.release(batch[0])
	if s := d.slots.Load(); s != 0 {
		t.Errorf("slots = %#x after all ended", s)
	}
}

func TestTurningColdEndsBatchThatTheUpstreamCannotBear(t *testing.T) {
	board := testBoard(fleet.Ready, 4, 1, fleet.Rules{})
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	d := a.admission(testUpstream)
	for range 3 {
		d.meter.Done(d.meter.Epoch())
	}
	ended := 0
	for range 3 {
		if _, err := d.acquire(context.Background(), batchRequest(), func(error) { ended++ }); err != nil {
			t.Fatal(err)
		}
	}
	publishUpstream(board, func(up *blackboard.Upstream) { up.State, up.ColdStarts = fleet.Cold, 1 })
	d.refresh()
	if ended != 2 {
		t.Errorf("%d batch requests were ended, want 2", ended)
	}
	if a.Idle(testUpstream) != 0 {
		t.Errorf("a cold upstream has %d slots for batch", a.Idle(testUpstream))
	}
}

func TestQueuedRequestsOfALeavingUpstreamAreRefused(t *testing.T) {
	board := testBoard(fleet.Ready, 1, 1, fleet.Rules{})
	d := New(board, NewMetrics(prometheus.NewRegistry())).admission(testUpstream)
	take(t, d, onlineRequest("a"))
	errs := make(chan error, 1)
	go func() {
		_, err := d.acquire(context.Background(), onlineRequest("a"), nil)
		errs <- err
	}()
	waitQueued(t, d, 1)
	publishUpstream(board, func(up *blackboard.Upstream) { up.State = fleet.Leaving })
	d.refresh()
	if f := result.From(<-errs); f.Code != result.UpstreamLeaving || f.Verdict != result.NotRun {
		t.Errorf("refused with %v, verdict %v", f, f.Verdict)
	}
}

func TestChangedWakesWhenASlotIsFree(t *testing.T) {
	a := New(testBoard(fleet.Ready, 1, 1, fleet.Rules{}), NewMetrics(prometheus.NewRegistry()))
	d := a.admission(testUpstream)
	g := take(t, d, onlineRequest("a"))
	changed := a.Changed()
	if n := a.Idle(testUpstream); n != 0 {
		t.Fatalf("Idle = %d while the slot is taken", n)
	}
	d.release(g)
	select {
	case <-changed:
	case <-time.After(time.Second):
		t.Fatal("nothing woke the waiter")
	}
	if n := a.Idle(testUpstream); n != 1 {
		t.Fatalf("Idle = %d, want 1", n)
	}
}

// TestConcurrentAdmissionKeepsItsBound runs online and batch requests, cancelled
// waits and state changes against one upstream.
func TestConcurrentAdmissionKeepsItsBound(t *testing.T) {
	const slots, workers, requests = 4, 16, 300
	board := testBoard(fleet.Ready, slots, slots, fleet.Rules{OnlineQueue: 6, OnlineWait: 20 * time.Millisecond})
	a := New(board, NewMetrics(prometheus.NewRegistry()))
	d := a.admission(testUpstream)
	var online, batch, most atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range requests {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(5000))*time.Microsecond)
				runOne(ctx, d, w%4 == 0, &online, &batch, &most)
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
				up.State = []fleet.UpstreamState{fleet.Leaving, fleet.Ready}[i%2]
			})
			d.refresh()
		}
	}()
	wg.Wait()
	<-stop
	if most.Load() > slots {
		t.Errorf("%d online requests ran at once, want at most %d", most.Load(), slots)
	}
	if s := d.slots.Load(); s != 0 {
		t.Errorf("slots = %#x after all ended", s)
	}
	if d.waiting.Len() != 0 || len(d.batch) != 0 {
		t.Errorf("%d waiting and %d batch requests are left", d.waiting.Len(), len(d.batch))
	}
}

func runOne(ctx context.Context, d *admission, isBatch bool, online, batch, most *atomic.Int64) {
	req, count := onlineRequest(fmt.Sprint(rand.IntN(3))), online
	if isBatch {
		req, count = batchRequest(), batch
	}
	ctx, preempt := context.WithCancelCause(ctx)
	defer preempt(nil)
	g, err := d.acquire(ctx, req, preempt)
	if err != nil {
		return
	}
	n := count.Add(1)
	if !isBatch {
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
	}
	select {
	case <-time.After(time.Duration(rand.IntN(1000)) * time.Microsecond):
	case <-ctx.Done():
	}
	count.Add(-1)
	d.release(g)
}

func BenchmarkAdmissionFastPath(b *testing.B) {
	d := testAdmission(b, fleet.Ready, 1<<20, fleet.Rules{})
	req := onlineRequest("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g, err := d.acquire(context.Background(), req, nil)
			if err != nil {
				b.Error(err)
				return
			}
			d.release(g)
		}
	})
}
