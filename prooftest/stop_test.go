package prooftest_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/history"
)

const (
	// plannedStopTimeout is the longest time of a planned stop.
	plannedStopTimeout = 20 * time.Second
	// warmUpDuration is how long callers run before and after the events of a test.
	warmUpDuration = time.Second
	// minStreamDuration is the shortest time of a stream in the test of planned stops.
	minStreamDuration = 300 * time.Millisecond
)

// TestPlannedStopInterruptsNoRequest guards against requests that are cut off by a planned
// stop. It stops a gateway and then two agents with SIGTERM while streams and
// non-idempotent calls run, and checks that each request that reached an upstream gets
// its complete answer.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, devfleet.Options{
		DataCentres: 2, Gateways: 2, Engines: 3, Services: 2,
		EngineArgs: []string{"--prefill", "20ms", "--per-token", "100ms"},
	})
	var streams, orders history.Recorder
	groups := []*callerGroup{
		startCallers(t.Context(), slices.Concat(processCallers(f, &streams), processCallers(f, &streams)), streamedChat, callInterval),
		startCallers(t.Context(), processCallers(f, &orders), nonIdempotentCall, callInterval),
	}
	time.Sleep(warmUpDuration)
	if d := stopGracefully(t, f.Process(f.Inventory.Gateways[0].Name)); d < minStreamDuration/4 {
		t.Errorf("the gateway stopped after %v although streams of at least %v were running", d, minStreamDuration)
	}
	for _, name := range []string{
		"agent-" + f.Inventory.Upstreams[0].VM,
		"agent-" + f.Inventory.Upstreams[len(f.Inventory.Upstreams)-1].VM,
	} {
		stopGracefully(t, f.Process(name))
		time.Sleep(faultPause)
	}
	time.Sleep(warmUpDuration)
	for _, g := range groups {
		g.stopAndWait()
	}
	arrived := arrivals(t, &f.Inventory)
	for kind, record := range map[requestKind]*history.Recorder{streamedChat: &streams, nonIdempotentCall: &orders} {
		t.Logf("kind %d: %s", kind, record.Summary())
		t.Log(record.UnansweredByReason())
		checkRequests(t, kind, record.Calls(), arrived, f.Keys)
		checkGuarantee(t, "a planned stop interrupts no request", history.CheckNotInterrupted(record.Calls(), arrived))
	}
}

// stopGracefully stops the process with SIGTERM, waits for its exit and returns how long
// that took.
func stopGracefully(t *testing.T, p *devfleet.Process) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), plannedStopTimeout)
	defer cancel()
	begin := time.Now()
	if err := p.Stop(ctx); err != nil {
		t.Error(err)
	}
	t.Logf("%s stopped after %v", p.Name, time.Since(begin))
	return time.Since(begin)
}
