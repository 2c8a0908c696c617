package prooftest_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/history"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/standin"
)

const (
	operatorCount          = 4
	changesPerOperator     = 10
	maxOperationAttempts   = 20
	operationRetryInterval = 5 * time.Millisecond
	// inForceBound is the longest time from the acceptance of a configuration until
	// every daemon has it in force, while the store is available.
	inForceBound = 3 * time.Second
)

// operator changes the configuration through one gateway and records the operations.
type operator struct {
	number  int
	fleet   *fleettest.Fleet
	random  *rand.Rand
	history *registerHistory
}

// registerHistory collects operations on the head of the configuration. The zero value is
// empty; add may be called from several goroutines.
type registerHistory struct {
	mu  sync.Mutex
	ops []history.RegisterOp
}

func (h *registerHistory) add(op history.RegisterOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// change applies the inventory text, in half of the cases against the current version,
// and then reads the head. It retries a change without an answer under the same
// operation ID; the history holds all these attempts as one operation.
func (o *operator) change(ctx context.Context, text string) {
	op := history.RegisterOp{Client: o.number, Operation: uuid.NewString(), Effect: history.Undecided, Call: time.Now()}
	if o.random.IntN(2) == 0 {
		op.Base = o.read(ctx)
	}
	for try := 0; try < maxOperationAttempts && op.Effect == history.Undecided; try++ {
		op.Version, op.Effect = o.apply(ctx, op.Operation, op.Base, text)
		time.Sleep(operationRetryInterval)
	}
	op.Return = time.Now()
	o.history.add(op)
	o.read(ctx)
}

// apply sends one change and returns the version it made and its effect.
func (o *operator) apply(ctx context.Context, operation string, base uint64, text string) (uint64, history.Effect) {
	request := gateway.ApplyRequest{
		ChangeMetadata: gateway.ChangeMetadata{Operation: operation, Author: fmt.Sprintf("operator-%d", o.number)},
		BaseVersion:    base,
		Inventory:      text,
	}
	var applied gateway.ApplyResponse
	err := o.fleet.Client(o.number%len(o.fleet.Inventory.Gateways)).Post(ctx, "/admin/config", request, &applied)
	switch {
	case err == nil:
		return applied.Version, history.Applied
	case result.CodeOf(err) == result.ConfigConflict:
		return 0, history.Conflicted
	default:
		return 0, history.Undecided
	}
}

// read reads the head, records the read and returns the version. If the store does not
// answer, it records nothing and returns 0.
func (o *operator) read(ctx context.Context) uint64 {
	op := history.RegisterOp{Client: o.number, Read: true, Call: time.Now()}
	head, _, err := o.fleet.Store().Head(ctx, 0)
	if err != nil {
		return 0
	}
	op.Version, op.Operation, op.Return = head.Version, head.Operation, time.Now()
	o.history.add(op)
	return head.Version
}

// versionWatcher records the configuration versions that gateways have in force. Its
// goroutine alone writes seen until done is closed.
type versionWatcher struct {
	seen        []history.Observation
	stopPolling context.CancelFunc
	done        chan struct{}
}

// watchVersions starts to poll the version of every gateway, until stopAndWait is called.
func watchVersions(f *fleettest.Fleet) *versionWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatcher{stopPolling: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.observe(ctx, f)
			select {
			case <-time.After(waitInterval):
			case <-ctx.Done():
			}
		}
	}()
	return w
}

// observe records the version of each gateway that answers.
func (w *versionWatcher) observe(ctx context.Context, f *fleettest.Fleet) {
	for i, g := range f.Inventory.Gateways {
		var status gateway.StatusResponse
		if f.Client(i).Get(ctx, "/admin/status", &status) == nil {
			w.seen = append(w.seen, history.Observation{Daemon: g.Name, At: time.Now(), Version: status.ConfigVersion})
		}
	}
}

// stopAndWait ends the polling and returns the observations.
func (w *versionWatcher) stopAndWait() []history.Observation {
	w.stopPolling()
	<-w.done
	return w.seen
}

// TestRacingOperators guards against changes that are lost or applied
// twice, and against daemons that return to an older configuration. Several operators
// change the configuration at the same time, while the store loses answers and is
// unavailable from time to time.
func TestRacingOperators(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2})
	random := newRandom(t)
	text, err := config.FormatInventory(&f.Inventory)
	if err != nil {
		t.Fatal(err)
	}
	before, _, err := f.Store().Head(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	var h registerHistory
	w := watchVersions(f)
	var wg sync.WaitGroup
	for n := range operatorCount {
		o := &operator{number: n, fleet: f, random: rand.New(rand.NewPCG(random.Uint64(), 0)), history: &h}
		wg.Go(func() {
			for range changesPerOperator {
				o.change(t.Context(), string(text))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	injectStoreFaults(f.Platform, random, done)
	accepted := time.Now()
	last, _, err := f.Store().Head(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(inForceBound + time.Second)
	seen := w.stopAndWait()
	checkEffects(t, h.ops)
	checkGuarantee(t, "accepted once", history.CheckRegister(h.ops, before.Version))
	checkGuarantee(t, "never reverts", history.CheckNeverReverts(seen))
	checkGuarantee(t, "in force within the bound", history.CheckInForce(seen, last.Version, accepted, inForceBound))
	checkKeptHistory(t, f, last.Version)
}

// maxStoreFaultDuration is the longest time of one fault of the store.
const maxStoreFaultDuration = 30 * time.Millisecond

// injectStoreFaults makes the store lose answers, work and be unavailable in turn, each for
// a random time, until done is closed.
func injectStoreFaults(p *standin.Platform, random *rand.Rand, done <-chan struct{}) {
	defer p.SetFaults(standin.Faults{})
	for turn := 0; ; turn++ {
		switch turn % 3 {
		case 0:
			p.SetFaults(standin.Faults{DropResponses: 4})
		case 1:
			p.SetFaults(standin.Faults{})
		default:
			p.SetFaults(standin.Faults{Outage: true})
		}
		select {
		case <-time.After(time.Duration(random.Int64N(int64(maxStoreFaultDuration)))):
		case <-done:
			return
		}
	}
}

// checkEffects logs the number of changes by effect. It fails the test unless some changes
// were applied and some conflicted, because otherwise the run did not test conflicts.
func checkEffects(t *testing.T, ops []history.RegisterOp) {
	t.Helper()
	counts := make(map[history.Effect]int)
	for _, op := range ops {
		if !op.Read {
			counts[op.Effect]++
		}
	}
	t.Logf("%d applied, %d conflicts, %d undecided", counts[history.Applied], counts[history.Conflicted], counts[history.Undecided])
	if counts[history.Conflicted] == 0 || counts[history.Applied] == 0 {
		t.Errorf("the run had no conflict or no applied change")
	}
}

// checkKeptHistory checks that the configuration history in the store has each version up
// to last once, in order, and no operation twice.
func checkKeptHistory(t *testing.T, f *fleettest.Fleet, last uint64) {
	t.Helper()
	heads, err := f.Store().History(t.Context(), 0, int(last)+1)
	if err != nil {
		t.Fatal(err)
	}
	operations := make(map[string]bool)
	for i, head := range heads {
		if head.Version != uint64(i)+1 || operations[head.Operation] {
			t.Errorf("history entry %d has version %d of operation %s", i, head.Version, head.Operation)
		}
		operations[head.Operation] = true
	}
	if uint64(len(heads)) != last {
		t.Errorf("the history has %d versions, want %d", len(heads), last)
	}
}

// TestRestartDuringOutageDoesNotRevert guards against a gateway that is restarted while the
// store is unavailable and then has an older configuration in force. Once the store is
// available again, the gateway must have the latest configuration in force. The watcher
// reports version 0 for a gateway without a configuration.
func TestRestartDuringOutageDoesNotRevert(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2})
	newRandom(t)
	version := applySameInventory(t, f)
	f.WaitVersion(version)
	w := watchVersions(f)
	f.Platform.SetFaults(standin.Faults{Outage: true})
	f.KillGateway(f.Inventory.Gateways[0].Name)
	f.StartGateway(f.Inventory.Gateways[0].Name)
	time.Sleep(faultPause)
	f.Platform.SetFaults(standin.Faults{})
	f.WaitVersion(version)
	for _, o := range w.stopAndWait() {
		if o.Version != 0 && o.Version < version {
			t.Errorf("%s had version %d in force after version %d", o.Daemon, o.Version, version)
		}
	}
}

// applySameInventory applies the fleet's inventory unchanged and returns the new version.
func applySameInventory(t *testing.T, f *fleettest.Fleet) uint64 {
	t.Helper()
	text, err := config.FormatInventory(&f.Inventory)
	if err != nil {
		t.Fatal(err)
	}
	var applied gateway.ApplyResponse
	request := gateway.ApplyRequest{ChangeMetadata: gateway.ChangeMetadata{Operation: uuid.NewString(), Author: "test"}, Inventory: string(text)}
	if err := f.Client(0).Post(t.Context(), "/admin/config", request, &applied); err != nil {
		t.Fatal(err)
	}
	return applied.Version
}

// TestRepeatedOperationTakesEffectOnce guards against a change that makes two versions. It
// occurs if the store applies the change, its answer is lost, and the caller retries.
func TestRepeatedOperationTakesEffectOnce(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{})
	change := configstore.Change{Operation: "one", Author: "test", Edit: unchanged}
	f.Platform.SetFaults(standin.Faults{DropResponses: 1})
	first, err := f.Store().Apply(t.Context(), change)
	var unknown *result.Error
	if err != nil && !errors.As(err, &unknown) {
		t.Fatal(err)
	}
	second, err := f.Store().Apply(t.Context(), change)
	if err != nil {
		t.Fatal(err)
	}
	if first.Version != 0 && first.Version != second.Version {
		t.Errorf("the operation made version %d, and version %d when repeated", first.Version, second.Version)
	}
	if head, _, err := f.Store().Head(t.Context(), 0); err != nil || head.Version != second.Version {
		t.Errorf("the head has version %d (error %v), want %d", head.Version, err, second.Version)
	}
}

// unchanged is an edit that makes a new version with the same state.
func unchanged(s fleet.State) (fleet.State, error) { return s, nil }
