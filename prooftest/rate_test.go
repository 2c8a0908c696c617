package prooftest_test

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/history"
)

const (
	tightRate  = 40 // requests a second
	tightBurst = 20
)

// TestRateHoldsWhileGatewaysDie lets a workspace send several times its rate to
// every gateway while gateways are killed and paused and the store fails.
func TestRateHoldsWhileGatewaysDie(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, devfleet.Options{
		DataCentres: 2, Gateways: 3, Engines: 2, Services: 1,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: tightRate, Burst: tightBurst}},
	})
	random := newRandom(t)
	var record history.Recorder
	group := start(t.Context(), processCallers(f, &record), order, callPause)
	for range faultRounds {
		time.Sleep(faultPause)
		killGateway.bring(t, f, random)
		pauseGateway.bring(t, f, random)
		storeOutage.bring(t, f, random)
	}
	time.Sleep(warmUp)
	group.end()
	arrived := arrivals(t, &f.Inventory)
	workspace := f.Inventory.Workspaces[0]
	admitted := history.Admitted(record.Calls(), arrived, workspace.Name)
	t.Logf("%d admitted; %s", len(admitted), record.Summary())
	check(t, "rate and burst", history.CheckRate(admitted, workspace.Rate, workspace.Burst))
	checkRequests(t, order, record.Calls(), arrived, f.Keys)
	if len(admitted) <= tightBurst {
		t.Errorf("only %d requests were admitted", len(admitted))
	}
}
