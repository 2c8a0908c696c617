package dispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/controller/dispatch"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/standin"
	"github.com/baobablanding/baobablanding/store"
)

const (
	testModel  = "test-model"
	testLease  = 600 * time.Millisecond
	chunkItems = 20 // items of a chunk
	testSlots  = 4  // slots of a worker's engine
	waitLimit  = 20 * time.Second
)

// harness runs dispatch controllers against one stand-in for the platform.
type harness struct {
	t         *testing.T
	platform  *standin.Platform
	store     *batch.Store
	workspace *fleet.Workspace
	rules     fleet.Rules
	vms       int // number of VMs in the inventory
	lease     time.Duration
	mu        sync.Mutex
	commits   map[string]int // acknowledged commits by chunk
}

func newHarness(t *testing.T) *harness {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	inv := fleet.Inventory{}
	inv.SetDefaults()
	inv.Rules.ChunkItems = chunkItems
	return &harness{
		t: t, platform: p, store: batch.NewStore(p.Table(time.Second), p.Objects(time.Second)),
		workspace: &fleet.Workspace{Name: "garrafon", Rate: 1000, Burst: 1000},
		rules:     inv.Rules, lease: testLease, commits: make(map[string]int),
	}
}

// submit accepts a job with one item for each prompt.
func (h *harness) submit(prompts ...string) batch.Job {
	h.t.Helper()
	var file bytes.Buffer
	for i, prompt := range prompts {
		fmt.Fprintf(&file, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":%q}}`+"\n", i, testModel, prompt)
	}
	ctx := context.Background()
	f, err := h.store.PutFile(ctx, h.workspace.Name, "items", &file)
	if err != nil {
		h.t.Fatal(err)
	}
	job, err := h.store.Accept(ctx, batch.Submission{
		Workspace: h.workspace, Endpoint: "/v1/completions", InputFile: f.ID, Due: time.Now().Add(time.Hour),
	}, h.rules)
	if err != nil {
		h.t.Fatal(err)
	}
	return job
}

// prompts returns n prompts that run without a failure.
func prompts(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("prompt ", i)
	}
	return list
}

// awaitState waits until the job has the state, and updates job.
func (h *harness) awaitState(job *batch.Job, state batch.JobState) {
	h.t.Helper()
	h.eventually(fmt.Sprint("job is ", state), func() bool {
		kept, err := h.store.Job(context.Background(), "", job.ID)
		if err == nil {
			kept, _, err = h.store.Refresh(context.Background(), kept)
		}
		*job = kept
		return err == nil && kept.State == state
	})
}

// eventually fails the test if the condition does not hold within waitLimit.
func (h *harness) eventually(what string, condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			h.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lineCounts returns the number of lines of each item in a file of the job, by custom id.
func (h *harness) lineCounts(job *batch.Job, file string) map[string]int {
	h.t.Helper()
	body, err := h.store.Content(context.Background(), job.Workspace, file)
	if err != nil {
		h.t.Fatal(err)
	}
	defer body.Close()
	found := make(map[string]int)
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		var line batch.ResultLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			h.t.Fatal(err)
		}
		found[line.CustomID]++
	}
	return found
}

// checkOneLinePerItem checks that every item of a completed job has exactly one line in the
// output and error files together, that wantFailed of the lines are errors, and that no
// chunk was committed twice.
func (h *harness) checkOneLinePerItem(job *batch.Job, wantFailed int) {
	h.t.Helper()
	output, failed := h.lineCounts(job, job.OutputFile()), h.lineCounts(job, job.ErrorsFile())
	for i := range job.Items {
		id := fmt.Sprint("item-", i)
		if n := output[id] + failed[id]; n != 1 {
			h.t.Errorf("%s has %d results", id, n)
		}
	}
	if len(failed) != wantFailed || len(output) != job.Items-wantFailed {
		h.t.Errorf("%d result and %d error lines for %d items, want %d errors", len(output), len(failed), job.Items, wantFailed)
	}
	h.checkCommits()
}

// checkCommits checks that no chunk was committed twice.
func (h *harness) checkCommits() {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, n := range h.commits {
		if n > 1 {
			h.t.Errorf("chunk %s was committed %d times", key, n)
		}
	}
}

// worker is one agent: a controller, its board and a fake engine. Prompts that contain
// "kill", "crash" or "poison" end the worker, crash the engine or fail.
type worker struct {
	*harness
	name   string
	board  *blackboard.Board
	up     *blackboard.Upstream
	cancel context.CancelFunc
	done   chan struct{}
	c      *dispatch.Controller

	time      time.Duration                 // how long an item runs
	started   atomic.Int64                  // items that reached the engine
	cancelled atomic.Int64                  // items that were cancelled at the engine
	runs      sync.Map                      // number of runs (*atomic.Int64), by request body
	crash     atomic.Pointer[chan struct{}] // closed when the engine crashes; then replaced

	pause sync.RWMutex // held for writing while the process is paused
}

// worker starts a worker whose engine runs each item for itemTime. The test's cleanup kills
// it.
func (h *harness) worker(name string, itemTime time.Duration) *worker {
	w := &worker{harness: h, name: name, board: blackboard.New(), time: itemTime, done: make(chan struct{})}
	crash := make(chan struct{})
	w.crash.Store(&crash)
	spec := &fleet.Upstream{Name: name, Kind: fleet.KindEngine, Models: []string{testModel}, Slots: testSlots}
	w.up = &blackboard.Upstream{Spec: spec, State: fleet.StateReady, Connected: true, Load: new(blackboard.UpstreamLoad)}
	w.board.Upstreams.Publish(blackboard.NewUpstreams([]*blackboard.Upstream{w.up}))
	w.board.Config.Publish(&blackboard.Config{View: fleet.NewView(fleet.State{Inventory: fleet.Inventory{Rules: h.rules, VMs: make([]fleet.VM, h.vms)}})})
	w.board.Phase.Publish(blackboard.PhaseServing)
	w.c = dispatch.New(w.board, dispatch.Options{
		Store:  batch.NewStore(pausedTable{h.platform.Table(time.Second), w}, h.platform.Objects(time.Second)),
		Runner: w, Holder: name, Lease: h.lease,
		Metrics: dispatch.NewMetrics(prometheus.NewRegistry()),
		Log:     &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		w.c.Run(ctx)
	}()
	h.t.Cleanup(w.kill)
	return w
}

// kill ends the worker without releasing its claims.
func (w *worker) kill() {
	w.cancel()
	<-w.done
}

// Run implements dispatch.Runner. It rejects an item if the engine's slots are taken. A
// crash of the engine fails all items that run there.
func (w *worker) Run(ctx context.Context, req *peer.RunRequest, _ func(peer.Chunk) error) (*peer.RunResponse, error) {
	if w.up.Load.InFlight.Add(1) > testSlots {
		w.up.Load.InFlight.Add(-1)
		return nil, result.New(result.QueueFull, result.NotRun)
	}
	defer w.up.Load.InFlight.Add(-1)
	w.started.Add(1)
	crashed := *w.crash.Load()
	prompt := string(req.Body)
	n, _ := w.runs.LoadOrStore(prompt, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	switch {
	case strings.Contains(prompt, "kill"):
		w.cancel()
	case strings.Contains(prompt, "crash"):
		next := make(chan struct{})
		if old := w.crash.Swap(&next); *old == crashed {
			close(crashed)
		}
	}
	timer := time.NewTimer(w.time)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		w.cancelled.Add(1)
		return nil, result.New(result.CallerGone, result.MayHaveRun)
	case <-crashed:
		return nil, result.New(result.AnswerIncomplete, result.MayHaveRun)
	case <-timer.C:
	}
	w.pause.RLock()
	defer w.pause.RUnlock()
	if strings.Contains(prompt, "poison") {
		return nil, result.New(result.UpstreamFailed, result.MayHaveRun)
	}
	return &peer.RunResponse{ID: req.ID, Status: 200, Body: []byte(`{"ok":true}`)}, nil
}

// pausedTable blocks reads and commits while its worker is paused, and counts the
// acknowledged commits of chunks.
type pausedTable struct {
	store.Table
	w *worker
}

// waitWhilePaused waits while the worker is paused.
func (p pausedTable) waitWhilePaused() {
	p.w.pause.RLock()
	defer p.w.pause.RUnlock()
}

// Get implements store.Table.
func (p pausedTable) Get(ctx context.Context, key string) (store.Record, error) {
	p.waitWhilePaused()
	return p.Table.Get(ctx, key)
}

// Commit implements store.Table. A commit that was sent ends even if the worker is killed.
func (p pausedTable) Commit(ctx context.Context, ops ...store.Op) error {
	p.waitWhilePaused()
	err := p.Table.Commit(context.WithoutCancel(ctx), ops...)
	for _, op := range ops {
		if err == nil && op.Kind == store.OpPut && strings.HasPrefix(op.Key, "batch/chunk/") && bytes.Contains(op.Value, []byte(`"done":true`)) {
			p.w.mu.Lock()
			p.w.commits[op.Key]++
			p.w.mu.Unlock()
		}
	}
	return err
}
