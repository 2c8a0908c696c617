package prooftest_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/history"
	"github.com/baobablanding/baobablanding/standin"
)

const (
	// faultRounds is how often a test injects each of its faults.
	faultRounds = 5
	// faultPause is the time between two rounds of faults, and the length of a fault
	// that has a duration, such as an outage.
	faultPause = 250 * time.Millisecond
	// callInterval is the time from the end of one request of a caller to its next.
	callInterval = 10 * time.Millisecond
	// callersPerGateway is the number of callers per gateway in a group.
	callersPerGateway = 3
)

// fault is a failure of a fleet of processes. The name is part of the name of a subtest.
// When inject returns, killed processes have been restarted, paused ones resumed, and the
// store is available again; faulty answers may still follow.
type fault struct {
	name   string
	inject func(t *testing.T, f *devfleet.Fleet, random *rand.Rand)
}

// randomIndex returns a random index of a list with n elements.
func randomIndex(random *rand.Rand, n int) int { return random.IntN(n) }

// gatewayName returns the name of a random gateway process.
func gatewayName(random *rand.Rand, f *devfleet.Fleet) string {
	return f.Inventory.Gateways[randomIndex(random, len(f.Inventory.Gateways))].Name
}

// agentName returns the name of a random agent process.
func agentName(random *rand.Rand, f *devfleet.Fleet) string {
	return "agent-" + f.Inventory.VMs[randomIndex(random, len(f.Inventory.VMs))].Name
}

// upstreamName returns the name of a random upstream process.
func upstreamName(random *rand.Rand, f *devfleet.Fleet) string {
	return f.Inventory.Upstreams[randomIndex(random, len(f.Inventory.Upstreams))].Name
}

// killAndRestart kills the process and starts it again.
func killAndRestart(t *testing.T, p *devfleet.Process) {
	t.Logf("kill %s", p.Name)
	p.Kill()
	restart(t, p)
}

// pauseFor pauses the process for the duration d and resumes it.
func pauseFor(t *testing.T, p *devfleet.Process, d time.Duration) {
	t.Logf("pause %s for %v", p.Name, d)
	if err := p.Pause(); err != nil {
		t.Error(err)
	}
	time.Sleep(d)
	if err := p.Resume(); err != nil {
		t.Error(err)
	}
}

var (
	killGateway = fault{"kill gateway", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		killAndRestart(t, f.Process(gatewayName(random, f)))
	}}
	killAgent = fault{"kill agent", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		killAndRestart(t, f.Process(agentName(random, f)))
	}}
	pauseAgent = fault{"pause agent", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		pauseFor(t, f.Process(agentName(random, f)), faultPause)
	}}
	pauseGateway = fault{"pause gateway", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		pauseFor(t, f.Process(gatewayName(random, f)), faultPause)
	}}
	pauseUpstream = fault{"pause upstream", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		pauseFor(t, f.Process(upstreamName(random, f)), faultPause)
	}}
	faultyAnswers = fault{"lost, cut and crossed answers", func(t *testing.T, f *devfleet.Fleet, _ *rand.Rand) {
		for _, u := range f.Inventory.Upstreams {
			setFaults(t, u.URL, standin.Faults{DropResponses: 3, TruncateStreams: 3, MixUpResponses: 3})
		}
	}}
	storeOutage = fault{"store outage", func(t *testing.T, f *devfleet.Fleet, _ *rand.Rand) {
		setFaults(t, f.PlatformURL, standin.Faults{Outage: true})
		time.Sleep(faultPause)
		setFaults(t, f.PlatformURL, standin.Faults{})
	}}
)

// TestRequestsSurviveFailures guards against requests that run twice, are
// reported as not run although they ran, or get the answer to another request. It sends
// every kind of request through a fleet of processes while up to three kinds of faults are
// injected.
func TestRequestsSurviveFailures(t *testing.T) {
	for _, faults := range [][]fault{
		{killGateway},
		{killAgent},
		{faultyAnswers, pauseUpstream},
		{killGateway, killAgent},
		{pauseAgent, killGateway},
		{pauseGateway, faultyAnswers, storeOutage},
	} {
		name := faults[0].name
		for _, f := range faults[1:] {
			name += " and " + f.name
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runThroughFaults(t, faults)
		})
	}
}

// runThroughFaults injects the faults while callers send requests of all kinds, and then
// checks the guarantees of the requests.
func runThroughFaults(t *testing.T, faults []fault) {
	f := startProcesses(t, devfleet.Options{
		DataCentres: 2, Gateways: 2, Engines: 2, Services: 2,
		EngineArgs: []string{"--prefill", "10ms", "--per-token", "2ms"},
	})
	random := newRandom(t)
	kinds := []requestKind{wholeChat, streamedChat, nonIdempotentCall}
	records := make([]*history.Recorder, len(kinds))
	groups := make([]*callerGroup, len(kinds))
	for i, kind := range kinds {
		records[i] = new(history.Recorder)
		groups[i] = startCallers(t.Context(), processCallers(f, records[i]), kind, callInterval)
	}
	for range faultRounds {
		for _, fault := range faults {
			fault.inject(t, f, random)
		}
		time.Sleep(faultPause)
	}
	for _, group := range groups {
		group.stopAndWait()
	}
	arrived := arrivals(t, &f.Inventory)
	for i, kind := range kinds {
		t.Logf("kind %d: %s", kind, records[i].Summary())
		checkRequests(t, kind, records[i].Calls(), arrived, f.Keys)
		if records[i].Count(history.Answered) == 0 {
			t.Errorf("no request of kind %d was answered", kind)
		}
	}
}

// processCallers returns callersPerGateway callers of the first workspace for each gateway.
func processCallers(f *devfleet.Fleet, recorder *history.Recorder) []*caller {
	var list []*caller
	for i := range f.Inventory.Gateways {
		for range callersPerGateway {
			list = append(list, processCaller(f, i, recorder))
		}
	}
	return list
}

// processCaller returns a caller of the first workspace at the gateway with the index.
func processCaller(f *devfleet.Fleet, gatewayIndex int, recorder *history.Recorder) *caller {
	workspace := f.Inventory.Workspaces[0].Name
	return &caller{
		url: f.URL(gatewayIndex), model: devfleet.ModelName, routePrefix: devfleet.ServicePathPrefix,
		workspace: workspace, key: f.Keys[workspace], recorder: recorder,
	}
}

// TestNonIdempotentCallIsNotRetriedAfterLostAnswer guards against a call that runs twice,
// or is reported as not run although it ran. It calls services that execute the call and
// then close the connection without an answer.
func TestNonIdempotentCallIsNotRetriedAfterLostAnswer(t *testing.T) {
	t.Parallel()
	const losses = 5
	f := startProcesses(t, devfleet.Options{DataCentres: 1, Gateways: 1, Engines: 1, Services: 2})
	for _, u := range f.Inventory.Upstreams {
		setFaults(t, u.URL, standin.Faults{DropResponses: losses})
	}
	var record history.Recorder
	c := processCaller(f, 0, &record)
	calls := 0
	for ; calls < 40*losses && record.Count(history.Failed) < 2*losses; calls++ {
		c.call(t.Context(), nonIdempotentCall, fmt.Sprintf("order-%d", calls))
	}
	for range 4 * losses {
		c.call(t.Context(), nonIdempotentCall, fmt.Sprintf("order-%d", calls))
		calls++
	}
	checkRequests(t, nonIdempotentCall, record.Calls(), arrivals(t, &f.Inventory), f.Keys)
	if got := record.Count(history.Failed); got != 2*losses {
		t.Errorf("%d calls failed, want %d", got, 2*losses)
	}
}
