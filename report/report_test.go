package report_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/report"
)

// TestBurnReportShowsAnObjectiveThatBurns makes every request of one workspace fail on
// two gateways and checks that the report sums the counters of both and raises the
// alert.
func TestBurnReportShowsAnObjectiveThatBurns(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{
		Gateways: 2, Engines: 1,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: 1000, Burst: 1000}, {Name: "guild", Rate: 1000, Burst: 1000}},
		EditInventory: func(inv *fleet.Inventory) {
			inv.Objectives = []fleet.Objective{
				{Name: "garrafon-success", Workspace: "garrafon", Kind: "success", Target: 0.95},
				{Name: "guild-success", Workspace: "guild", Kind: "success", Target: 0.9},
				{Name: "first", Route: fleettest.ModelName, Kind: "first_token", Threshold: time.Minute, Target: 0.9},
				{Name: "fast", Kind: "first_token", Threshold: time.Nanosecond, Target: 0.9},
				{Name: "gaps", Kind: "between_tokens", Threshold: time.Minute, Target: 0.9},
				{Name: "orders", Route: "absent", Kind: "success", Target: 0.9},
			}
		},
	})
	const each = 5
	for i := range 2 {
		for range each {
			if status, _ := f.Chat(context.Background(), i, "garrafon", "poison", false); status == http.StatusOK {
				t.Fatal("poison was answered")
			}
			if status, body := f.Chat(context.Background(), i, "guild", "hello", true); status != http.StatusOK {
				t.Fatalf("guild got %d %s", status, body)
			}
		}
		// An unknown key is the caller's fault and counts for no objective.
		f.Chat(context.Background(), i, "nobody", "hello", false)
	}
	sources := []report.Source{
		{Name: "gateway-1", Client: f.Client(0)},
		{Name: "gateway-2", Client: f.Client(1)},
		{Name: "gateway-3", Client: failing{}},
	}
	r, err := report.Collect(context.Background(), sources)
	if err != nil {
		t.Fatal(err)
	}
	if r.Gateways != 2 || len(r.Missing) != 1 || r.Missing[0] != "gateway-3" {
		t.Errorf("summed %d gateways, missing %v", r.Gateways, r.Missing)
	}
	for _, want := range []struct {
		name        string
		good, total uint64
		alert       bool
	}{
		{"garrafon-success", 0, 2 * each, true},
		{"guild-success", 2 * each, 2 * each, false},
		{"first", 2 * each, 4 * each, true},
		{"fast", 0, 4 * each, true},
		{"orders", 0, 0, false},
	} {
		o := objective(t, r, want.name)
		for _, w := range o.Windows {
			if w.Good != want.good || w.Total != want.total {
				t.Errorf("%s over %s: %d of %d, want %d of %d", want.name, w.Window, w.Good, w.Total, want.good, want.total)
			}
		}
		if want.name != "first" && o.Alert != want.alert {
			t.Errorf("%s alerts: %v", want.name, o.Alert)
		}
	}
	if gaps := objective(t, r, "gaps").Windows[0]; gaps.Total == 0 || gaps.Good != gaps.Total {
		t.Errorf("gaps: %d of %d", gaps.Good, gaps.Total)
	}
	checkFormats(t, sources)
}

// objective returns the objective of the name and fails the test if it is missing.
func objective(t *testing.T, r *report.Report, name string) *report.Objective {
	t.Helper()
	for i := range r.Objectives {
		if r.Objectives[i].Name == name {
			return &r.Objectives[i]
		}
	}
	t.Fatalf("objective %q is not reported", name)
	return nil
}

// checkFormats checks the output in every format, and that no responding gateway is an
// error.
func checkFormats(t *testing.T, sources []report.Source) {
	t.Helper()
	for format, part := range map[report.Format]string{
		report.FormatTable: "5m/1h", report.FormatHTML: "garrafon-success", report.FormatJSON: `"garrafon-success"`,
	} {
		var out bytes.Buffer
		if err := report.Run(context.Background(), sources, format, &out); err != nil {
			t.Errorf("%s: %v", format, err)
		}
		if !strings.Contains(out.String(), part) {
			t.Errorf("%s report lacks %q:\n%s", format, part, out.String())
		}
		if format == report.FormatJSON && !json.Valid(out.Bytes()) {
			t.Error("the JSON report is not valid")
		}
	}
	if err := report.Run(context.Background(), sources[2:], report.FormatTable, new(bytes.Buffer)); err == nil {
		t.Error("a report without any gateway succeeded")
	}
}

// failing is a gateway that does not respond.
type failing struct{}

func (failing) Get(context.Context, string, any) error { return context.DeadlineExceeded }
