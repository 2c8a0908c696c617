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

// migrated returns an edit that sends a percentage of the workspaces to the old
// setup.
func migrated(percent int) func(fleet.State) (fleet.State, error) {
	return func(s fleet.State) (fleet.State, error) {
		s.Inventory.Migrations = []fleet.Migration{{Name: "moving-year", Legacy: "engine-2", Percent: percent}}
		return s, nil
	}
}

// TestWorkspacesMoveFromTheOldSetupAndBack moves workspaces a little at a time
// while each of them sends requests, whole and streamed.
func TestWorkspacesMoveFromTheOldSetupAndBack(t *testing.T) {
	const workspaces = 8
	var tenants []fleet.Workspace
	for i := range workspaces {
		tenants = append(tenants, fleet.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1000, Burst: 1000})
	}
	f := fleettest.Start(t, fleettest.Options{
		Gateways: 2, Engines: 2, Workspaces: tenants,
		Edit: func(inv *fleet.Inventory) {
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
		f.WaitVersion(f.Apply(migrated(percent)))
		now := servedByOldSetup(f, tenants)
		t.Logf("%d%%: %v", percent, now)
		if percent == 100 && len(now) != workspaces || percent == 0 && len(now) != 0 {
			t.Errorf("at %d%% the old setup serves %v", percent, now)
		}
		for _, w := range now {
			if percent < 100 && percent != 40 && !slices.Contains(onOld, w) {
				t.Errorf("%s moved back while the percentage fell to %d", w, percent)
			}
		}
		onOld = now
	}
	cancel()
	wg.Wait()
}

// servedByOldSetup returns the workspaces that the old setup serves now.
func servedByOldSetup(f *fleettest.Fleet, tenants []fleet.Workspace) []string {
	var found []string
	for _, w := range tenants {
		before := len(f.Engines[1].Seen())
		prompt := "probe of " + w.Name
		f.Chat(context.Background(), 0, w.Name, prompt, false)
		for _, s := range f.Engines[1].Seen()[before:] {
			if s.Prompt == prompt {
				found = append(found, w.Name)
				break
			}
		}
	}
	return found
}
