package fleettest_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
)

// TestSmallBurstIsUsableOnManyGateways guards against a burst that is divided among the
// gateways: with a burst of 3 and 8 gateways each share would be less than one request,
// and requests at half the rate would be rejected.
func TestSmallBurstIsUsableOnManyGateways(t *testing.T) {
	const gateways = 8
	f := fleettest.Start(t, fleettest.Options{
		Gateways: gateways, Engines: 1, Slots: 64, ColdSlots: 64,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: 20, Burst: 3}},
	})
	time.Sleep(3 * time.Second)
	refused := 0
	for i := range 60 {
		status, body := f.Chat(context.Background(), i%gateways, "garrafon", "hello", false)
		if status != http.StatusOK {
			refused++
			t.Logf("request %d to the gateway with index %d was answered %d %s", i, i%gateways, status, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if refused > 0 {
		t.Errorf("%d of 60 requests at half the rate were rejected", refused)
	}
}
