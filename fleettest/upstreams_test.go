package fleettest_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/standin"
	"github.com/baobablanding/baobablanding/store"
)

// load keeps requests running at a fleet.
type load struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	answered atomic.Int64
	failed   atomic.Int64
	last     atomic.Pointer[string] // last failure
}

// startLoad runs callers that send requests one after the other, spread over
// the gateways.
func startLoad(f *fleettest.Fleet, callers int, stream bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				l.call(f, (i+n)%len(f.Inventory.Gateways), fmt.Sprintf("caller %d question %d", i, n), stream)
			}
		}()
	}
	return l
}

func (l *load) call(f *fleettest.Fleet, gateway int, prompt string, stream bool) {
	status, body := f.Chat(context.Background(), gateway, "garrafon", prompt, stream)
	if status == http.StatusOK && (!stream || fleettest.IsWholeStream(body)) {
		l.answered.Add(1)
		return
	}
	l.failed.Add(1)
	text := fmt.Sprintf("%d %s", status, body)
	l.last.Store(&text)
}

// stop ends the callers after their running requests.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) lastFailure() string {
	if text := l.last.Load(); text != nil {
		return *text
	}
	return "none"
}

func coldEngine(patience time.Duration) standin.EngineOptions {
	o := standin.DefaultEngine
	o.ColdWork = 24
	o.ColdPatience = patience
	return o
}

func TestColdEngineIsNotOverloadedAtStart(t *testing.T) {
	o := coldEngine(0)
	o.StartCold = true
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engine: o})
	l := startLoad(f, 24, false)
	f.Eventually("the engine is warm and full", func() bool { return f.Engines[0].Running() == 8 })
	l.stop()
	checkNotFallen(t, f)
}

func TestEngineThatRestartsUnderLoadIsNotOverloaded(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engine: coldEngine(0), Engines: 2})
	l := startLoad(f, 24, false)
	f.Eventually("the engine is full", func() bool { return f.Engines[0].Running() == 8 })
	f.Engines[0].Restart()
	f.Eventually("the engine is full again", func() bool { return f.Engines[0].Running() == 8 })
	l.stop()
	checkNotFallen(t, f)
}

// TestEngineThatTurnsColdSilentlyIsBoundedAtTheNextProbe lets the engine bear
// too much for longer than one interval between probes, since nothing else
// tells that it turned cold.
func TestEngineThatTurnsColdSilentlyIsBoundedAtTheNextProbe(t *testing.T) {
	o := coldEngine(250 * time.Millisecond)
	o.ColdWork = 200
	f := fleettest.Start(t, fleettest.Options{Engine: o})
	l := startLoad(f, 24, false)
	f.Eventually("the engine is full", func() bool { return f.Engines[0].Running() == 8 })
	f.Engines[0].SetCold(true)
	time.Sleep(time.Second)
	f.Eventually("the engine is full again", func() bool { return f.Engines[0].Running() == 8 })
	l.stop()
	checkNotFallen(t, f)
}

func checkNotFallen(t *testing.T, f *fleettest.Fleet) {
	t.Helper()
	for i, e := range f.Engines {
		if n := e.Falls(); n != 0 {
			t.Errorf("engine %d fell over %d times", i+1, n)
		}
	}
}

// noNewWorkBound is the time after which an upstream that is leaving or taken
// out gets no new work.
const noNewWorkBound = 3 * time.Second

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engines: 2})
	l := startLoad(f, 8, false)
	defer l.stop()
	f.Platform.SetVMs([]store.VM{{Name: "vm-engine-1", State: store.VMLeaving}})
	checkNoNewWork(t, f)
	checkStaleGatewayIsRefused(t, f, result.UpstreamLeaving)
	if n := l.failed.Load(); n != 0 {
		t.Errorf("%d requests failed while the VM left; last: %s", n, l.lastFailure())
	}
}

func TestDataCentreTakenOutGetsNoNewWorkAndReturnsByARamp(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{DataCentres: 2, Gateways: 2, Engines: 2})
	l := startLoad(f, 24, false)
	defer l.stop()
	setOut(f, "dc-1")
	checkNoNewWork(t, f)
	checkStaleGatewayIsRefused(t, f, result.DataCentreOut)

	before := len(f.Engines[0].Seen())
	setOut(f)
	f.Eventually("the engine works again", func() bool { return len(f.Engines[0].Seen()) > before+30 })
	checkRamp(t, f.Engines[0].Seen()[before:])
	if n := l.failed.Load(); n != 0 {
		t.Errorf("%d requests failed meanwhile; last: %s", n, l.lastFailure())
	}
}

// setOut makes the data centres the only ones that are taken out.
func setOut(f *fleettest.Fleet, dataCentres ...string) {
	f.Apply(func(s fleet.State) (fleet.State, error) {
		s.TakenOut = dataCentres
		return s, nil
	})
}

// checkNoNewWork checks that the first engine receives nothing after the bound.
func checkNoNewWork(t *testing.T, f *fleettest.Fleet) {
	t.Helper()
	limit := time.Now().Add(noNewWorkBound)
	time.Sleep(noNewWorkBound + time.Second)
	seen := f.Engines[0].Seen()
	if len(seen) == 0 {
		t.Fatal("the engine got no work before")
	}
	if last := seen[len(seen)-1].At; last.After(limit) {
		t.Errorf("the engine got work %v after the bound", last.Sub(limit))
	}
}

// checkStaleGatewayIsRefused sends a request to the first engine's agent as a
// gateway would that knows of no change.
func checkStaleGatewayIsRefused(t *testing.T, f *fleettest.Fleet, want result.Code) {
	t.Helper()
	pool := peer.NewPool(nil, nil)
	defer pool.Close()
	address := f.Inventory.VMs[0].AgentAddress
	pool.SetAddresses([]string{address})
	f.Eventually("the agent is reached", func() bool { return pool.Connected(address) })
	_, err := pool.Run(context.Background(), address, &peer.RunRequest{
		ID: uuid.NewString(), Upstream: "engine-1", Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte("{}"), Idempotent: true, Timeout: time.Second,
	}, nil)
	if err == nil {
		t.Errorf("the agent ran the request, want %s", want)
		return
	}
	if e := result.FromError(err); e.Code != want || e.Verdict != result.NotRun {
		t.Errorf("the agent answered %v, verdict %v, want %s and not run", e, e.Verdict, want)
	}
}

// checkRamp checks that no more requests ran at once than the cold slots and
// one for each request that ended before.
func checkRamp(t *testing.T, seen []standin.Seen) {
	t.Helper()
	const coldSlots = 2
	for i, s := range seen[:20] {
		ended := i + 1 - s.Running
		if s.Running > coldSlots+ended {
			t.Errorf("request %d after the return ran beside %d others with %d ended", i+1, s.Running-1, ended)
		}
	}
}
