package prooftest_test

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/history"
)

const (
	tightRate  = 40 // requests per second
	tightBurst = 20
)

// TestRateHoldsWhileGatewaysDie guards against gateways that together admit more than the
// rate of a workspace. Callers send several times the rate to every gateway, while
// gateways are killed and paused and the store is unavailable from time to time.
func TestRateHoldsWhileGatewaysDie(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, devfleet.Options{
		DataCentres: 2, Gateways: 3, Engines: 2, Services: 1,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: tightRate, Burst: tightBurst}},
	})
	random := newRandom(t)
	var record history.Recorder
	group := startCallers(t.Context(), processCallers(f, &record), nonIdempotentCall, callInterval)
	for range faultRounds {
		time.Sleep(faultPause)
		killGateway.inject(t, f, random)
		pauseGateway.inject(t, f, random)
		storeOutage.inject(t, f, random)
	}
	time.Sleep(warmUpDuration)
	group.stopAndWait()
	arrived := arrivals(t, &f.Inventory)
	workspace := f.Inventory.Workspaces[0]
	admitted := history.Admitted(record.Calls(), arrived, workspace.Name)
	t.Logf("%d admitted; %s", len(admitted), record.Summary())
	checkGuarantee(t, "rate and burst", history.CheckRate(admitted, workspace.Rate, workspace.Burst))
	checkRequests(t, nonIdempotentCall, record.Calls(), arrived, f.Keys)
	if len(admitted) <= tightBurst {
		t.Errorf("only %d requests were admitted, want more than the burst", len(admitted))
	}
}
