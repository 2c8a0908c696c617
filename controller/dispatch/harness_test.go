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
	chunkItems = 20
	testSlots  = 4
	waitLimit  = 20 * time.Second
)

// bench runs dispatch controllers on one platform stand-in.
type bench struct {
	t         *testing.T
	platform  *standin.Platform
	store     *batch.Store
	workspace *fleet.Workspace
	rules     fleet.Rules
	vms       int // of the inventory
	lease     time.Duration
	mu        sync.Mutex
	commits   map[string]int // acknowledged commits by chunk
}

func newBench(t *testing.T) *bench {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	inv := fleet.Inventory{}
	inv.SetDefaults()
	inv.Rules.ChunkItems = chunkItems
	return &bench{
		t: t, platform: p, store: batch.NewStore(p.Table(time.Second), p.Objects(time.Second)),
		workspace: &fleet.Workspace{Name: "garrafon", Rate: 1000, Burst: 1000},
		rules:     inv.Rules, lease: testLease, commits: make(map[string]int),
	}
}

// submit accepts a job with one item for each prompt.
func (b *bench) submit(prompts ...string) batch.Job {
	b.t.Helper()
	var file bytes.Buffer
	for i, prompt := range prompts {
		fmt.Fprintf(&file, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":%q}}`+"\n", i, testModel, prompt)
	}
	ctx := context.Background()
	f, err := b.store.PutFile(ctx, b.workspace.Name, "items", &file)
	if err != nil {
		b.t.Fatal(err)
	}
	job, err := b.store.Accept(ctx, batch.Submission{
		Workspace: b.workspace, Endpoint: "/v1/completions", InputFile: f.ID, Due: time.Now().Add(time.Hour),
	}, b.rules)
	if err != nil {
		b.t.Fatal(err)
	}
	return job
}

func prompts(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("prompt ", i)
	}
	return list
}

// await waits until the job has the state.
func (b *bench) await(job *batch.Job, state batch.JobState) {
	b.t.Helper()
	b.eventually(fmt.Sprint("job is ", state), func() bool {
		kept, err := b.store.Job(context.Background(), "", job.ID)
		if err == nil {
			kept, _, err = b.store.Refresh(context.Background(), kept)
		}
		*job = kept
		return err == nil && kept.State == state
	})
}

func (b *bench) eventually(what string, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lines returns how often each item has a line in the job's file.
func (b *bench) lines(job *batch.Job, file string) map[string]int {
	b.t.Helper()
	body, err := b.store.Content(context.Background(), job.Workspace, file)
	if err != nil {
		b.t.Fatal(err)
	}
	defer body.Close()
	found := make(map[string]int)
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		var line batch.ResultLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			b.t.Fatal(err)
		}
		found[line.CustomID]++
	}
	return found
}

// checkOnce checks that every item of a completed job has exactly one line.
func (b *bench) checkOnce(job *batch.Job, wantFailed int) {
	b.t.Helper()
	output, failed := b.lines(job, job.OutputFile()), b.lines(job, job.ErrorsFile())
	for i := range job.Items {
		id := fmt.Sprint("item-", i)
		if n := output[id] + failed[id]; n != 1 {
			b.t.Errorf("%s has %d results", id, n)
		}
	}
	if len(failed) != wantFailed || len(output) != job.Items-wantFailed {
		b.t.Errorf("%d result and %d error lines for %d items, want %d errors", len(output), len(failed), job.Items, wantFailed)
	}
	b.checkCommits()
}

// checkCommits checks that no chunk was committed twice.
func (b *bench) checkCommits() {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, n := range b.commits {
		if n > 1 {
			b.t.Errorf("chunk %s was committed %d times", key, n)
		}
	}
}

// worker is one agent: a controller, its board and a fake engine.
type worker struct {
	*bench
	name   string
	board  *blackboard.Board
	up     *blackboard.Upstream
	cancel context.CancelFunc
	done   chan struct{}
	c      *dispatch.Controller

	time    time.Duration // of an item
	started atomic.Int64
	stopped atomic.Int64 // items cut at the engine
	ran     sync.Map     // prompt to *atomic.Int64
	crash   atomic.Pointer[chan struct{}]

	pause sync.RWMutex // held for writing while the process is paused
}

func (b *bench) worker(name string, itemTime time.Duration) *worker {
	w := &worker{bench: b, name: name, board: blackboard.New(), time: itemTime, done: make(chan struct{})}
	crash := make(chan struct{})
	w.crash.Store(&crash)
	spec := &fleet.Upstream{Name: name, Kind: fleet.Engine, Models: []string{testModel}, Slots: testSlots}
	w.up = &blackboard.Upstream{Spec: spec, State: fleet.Ready, Connected: true, Load: new(blackboard.Load)}
	w.board.Upstreams.Publish(blackboard.NewUpstreams([]*blackboard.Upstream{w.up}))
	w.board.Config.Publish(&blackboard.Config{View: fleet.NewView(fleet.State{Inventory: fleet.Inventory{Rules: b.rules, VMs: make([]fleet.VM, b.vms)}})})
	w.board.Phase.Publish(blackboard.Serving)
	w.c = dispatch.New(w.board, dispatch.Options{
		Store:  batch.NewStore(pausedTable{b.platform.Table(time.Second), w}, b.platform.Objects(time.Second)),
		Runner: w, Holder: name, Lease: b.lease,
		Metrics: dispatch.NewMetrics(prometheus.NewRegistry()),
		Log:     &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		w.c.Run(ctx)
	}()
	b.t.Cleanup(w.kill)
	return w
}

// kill ends the worker at once.
func (w *worker) kill() {
	w.cancel()
	<-w.done
}

// Run implements dispatch.Runner as an agent with one engine does.
func (w *worker) Run(ctx context.Context, req *peer.RunRequest, _ func(peer.Chunk) error) (*peer.RunResponse, error) {
	if w.up.Load.InFlight.Add(1) > testSlots {
		w.up.Load.InFlight.Add(-1)
		return nil, result.New(result.QueueFull, result.NotRun)
	}
	defer w.up.Load.InFlight.Add(-1)
	w.started.Add(1)
	crashed := *w.crash.Load()
	prompt := string(req.Body)
	n, _ := w.ran.LoadOrStore(prompt, new(atomic.Int64))
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
		w.stopped.Add(1)
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

// pausedTable holds every call back while its worker is paused, and counts the
// acknowledged commits of chunks.
type pausedTable struct {
	store.Table
	w *worker
}

func (p pausedTable) hold() {
	p.w.pause.RLock()
	defer p.w.pause.RUnlock()
}

func (p pausedTable) Get(ctx context.Context, key string) (store.Record, error) {
	p.hold()
	return p.Table.Get(ctx, key)
}

func (p pausedTable) Commit(ctx context.Context, ops ...store.Op) error {
	p.hold()
	err := p.Table.Commit(context.WithoutCancel(ctx), ops...)
	for _, op := range ops {
		if err == nil && op.Kind == store.Put && strings.HasPrefix(op.Key, "batch/chunk/") && bytes.Contains(op.Value, []byte(`"done":true`)) {
			p.w.mu.Lock()
			p.w.commits[op.Key]++
			p.w.mu.Unlock()
		}
	}
	return err
}
