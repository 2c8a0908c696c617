package ctl_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/baobablanding/baobablanding/ctl"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
)

// TestReportBurnSumsEveryGateway checks that the report covers all gateways and names one
// that does not respond.
func TestReportBurnSumsEveryGateway(t *testing.T) {
	t.Setenv("BAOBAB_ADMIN_KEY", fleettest.AdminKey)
	f := fleettest.Start(t, fleettest.Options{
		Gateways: 2,
		EditInventory: func(inv *fleet.Inventory) {
			inv.Objectives = []fleet.Objective{{Name: "answers", Kind: "success", Target: 0.99}}
		},
	})
	for i := range 2 {
		if status, body := f.Chat(context.Background(), i, "garrafon", "hello", false); status != http.StatusOK {
			t.Fatalf("gateway %d answered %d %s", i, status, body)
		}
	}
	page := filepath.Join(t.TempDir(), "burn.html")
	expect(t, f, ctl.ExitOK, "2/2", "report", "burn", "--html", page)
	expect(t, f, ctl.ExitOK, `"gateways": 2`, "--json", "report", "burn")
	data, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(data), "answers") {
		t.Errorf("the page does not contain the objective: %v", err)
	}
	f.KillGateway("gateway-2")
	expect(t, f, ctl.ExitOK, "gateway-2", "report", "burn")
}
