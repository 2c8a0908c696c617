package prooftest_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/history"
	"github.com/baobablanding/baobablanding/standin"
)

const (
	limitRate  = 60 // requests per second
	limitBurst = 12 // requests
	// pauseBeyondLoans is longer than the life of any loan between gateways.
	pauseBeyondLoans = 6 * time.Second
)

var (
	pauseGatewayBeyondLoans = fault{"pause a gateway beyond its loans", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		pauseFor(t, f.Process(gatewayName(random, f)), pauseBeyondLoans)
		time.Sleep(faultPause)
	}}
	killGatewayBeyondLoans = fault{"kill a gateway for longer than its loans", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		p := f.Process(gatewayName(random, f))
		t.Logf("kill %s", p.Name)
		p.Kill()
		time.Sleep(pauseBeyondLoans)
		restart(t, p)
		time.Sleep(time.Second)
	}}
	replaceGatewayInOutage = fault{"a gateway replaced during an outage", func(t *testing.T, f *devfleet.Fleet, random *rand.Rand) {
		setFaults(t, f.PlatformURL, standin.Faults{Outage: true})
		killAndRestart(t, f.Process(gatewayName(random, f)))
		time.Sleep(3 * time.Second)
		setFaults(t, f.PlatformURL, standin.Faults{})
	}}
)

// TestRateHoldsThroughFailures guards against gateways that use a loan after its end, or
// the same part of a workspace's rate twice. Callers send several times the rate through
// four gateways, while gateways are killed and replaced, and are down or paused for longer
// than the loans between them last. At least half of the rate must still be admitted.
func TestRateHoldsThroughFailures(t *testing.T) {
	t.Parallel()
	const rounds = 1
	f := startProcesses(t, devfleet.Options{
		DataCentres: 1, Gateways: 4, Engines: 2, Services: 1,
		EngineArgs: []string{"--prefill", "1ms", "--per-token", "1ms"},
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: limitRate, Burst: limitBurst}},
	})
	random := newRandom(t)
	var record history.Recorder
	started := time.Now()
	group := startCallers(t.Context(), processCallers(f, &record), wholeChat, callInterval)
	for range rounds {
		for _, fault := range []fault{killGateway, pauseGatewayBeyondLoans, replaceGatewayInOutage, killGatewayBeyondLoans} {
			fault.inject(t, f, random)
		}
	}
	group.stopAndWait()
	t.Logf("%s", record.Summary())
	admitted := history.Admitted(record.Calls(), arrivals(t, &f.Inventory), "garrafon")
	t.Logf("%d requests admitted in %v with a rate of %d requests per second", len(admitted), time.Since(started).Round(time.Second), limitRate)
	checkGuarantee(t, "rate and burst in any window", history.CheckRate(admitted, limitRate, limitBurst))
	if least := limitRate / 2 * time.Since(started).Seconds(); float64(len(admitted)) < least {
		t.Errorf("only %d requests were admitted, want at least %.0f", len(admitted), least)
	}
}
