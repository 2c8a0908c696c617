package fleettest_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
)

// setLegacyPercent returns an edit of the configuration that makes the legacy upstream
// serve the percentage of the workspaces.
func setLegacyPercent(percent int) func(fleet.State) (fleet.State, error) {
	return func(s fleet.State) (fleet.State, error) {
		s.Inventory.Migrations = []fleet.Migration{{Name: "moving-year", Legacy: "engine-2", Percent: percent}}
		return s, nil
	}
}

// TestMigrationPercentMovesWorkspacesWithoutFailures guards against requests that fail
// while their workspace moves, and against workspaces that move back to the legacy
// upstream while its percentage falls. Each workspace sends plain and streamed requests
// all the time.
func TestMigrationPercentMovesWorkspacesWithoutFailures(t *testing.T) {
	const workspaces = 8
	var tenants []fleet.Workspace
	for i := range workspaces {
		tenants = append(tenants, fleet.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1000, Burst: 1000})
	}
	f := fleettest.Start(t, fleettest.Options{
		Gateways: 2, Engines: 2, Workspaces: tenants,
		EditInventory: func(inv *fleet.Inventory) {
			inv.Upstreams[1].Kind = fleet.KindLegacy
			inv.Migrations = []fleet.Migration{{Name: "moving-year", Legacy: "engine-2", Percent: 100}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, w := range tenants {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				status, body := f.Chat(context.Background(), i%2, w.Name, w.Name, n%2 == 0)
				if status != http.StatusOK {
					t.Errorf("%s was answered %d %s", w.Name, status, body)
					return
				}
			}
		}()
	}
	var onOld []string
	for _, percent := range []int{100, 70, 40, 0, 40} {
		f.WaitVersion(f.Apply(setLegacyPercent(percent)))
		now := servedByLegacy(f, tenants)
		t.Logf("legacy upstream at %d%% serves %v", percent, now)
		if percent == 100 && len(now) != workspaces || percent == 0 && len(now) != 0 {
			t.Errorf("at %d%% the legacy upstream serves %v", percent, now)
		}
		for _, w := range now {
			if percent < 100 && percent != 40 && !slices.Contains(onOld, w) {
				t.Errorf("%s moved back to the legacy upstream while its percentage fell to %d", w, percent)
			}
		}
		onOld = now
	}
	cancel()
	wg.Wait()
}

// servedByLegacy sends a request of each workspace and returns the workspaces whose
// request the legacy upstream received.
func servedByLegacy(f *fleettest.Fleet, tenants []fleet.Workspace) []string {
	var found []string
	for _, w := range tenants {
		before := len(f.Engines[1].ReceivedRequests())
		prompt := "probe of " + w.Name
		f.Chat(context.Background(), 0, w.Name, prompt, false)
		for _, request := range f.Engines[1].ReceivedRequests()[before:] {
			if request.Prompt == prompt {
				found = append(found, w.Name)
				break
			}
		}
	}
	return found
}
