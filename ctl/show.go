package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/gateway"
)

// printResult writes value as JSON if --json was given. Otherwise it calls printText.
func (s *session) printResult(value any, printText func()) error {
	if !s.json {
		printText()
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// columnPadding is the number of spaces between two columns of a table.
const columnPadding = 2

// printTable prints rows of cells in aligned columns. The header holds the names of the
// columns, separated by spaces.
func (s *session) printTable(header string, rows [][]any) {
	w := tabwriter.NewWriter(s.out, 0, 0, columnPadding, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
}

// printList reads the list at path and prints it as JSON or as a table. The function
// row returns the cells of one element.
func printList[T any](ctx context.Context, s *session, path, header string, row func(T) []any) error {
	var values []T
	if err := s.client.Get(ctx, path, &values); err != nil {
		return err
	}
	return s.printResult(values, func() {
		rows := make([][]any, 0, len(values))
		for _, v := range values {
			rows = append(rows, row(v))
		}
		s.printTable(header, rows)
	})
}

// formatTime returns t in local time to the second, or a dash if t is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}

// showArgs is the command "show".
type showArgs struct{}

// run prints the inventory in force, with its version and the data centres taken out as
// comments.
func (*showArgs) run(ctx context.Context, s *session) error {
	var current gateway.ConfigResponse
	if err := s.client.Get(ctx, "/admin/config", &current); err != nil {
		return err
	}
	return s.printResult(current, func() {
		fmt.Fprintf(s.out, "# version %d\n", current.Version)
		if len(current.TakenOut) > 0 {
			fmt.Fprintf(s.out, "# data centres taken out: %s\n", strings.Join(current.TakenOut, ", "))
		}
		fmt.Fprint(s.out, current.Inventory)
	})
}

// historyArgs is the command "history".
type historyArgs struct {
	After uint64 `arg:"--after" help:"list only the changes after this version"`
}

// run lists the accepted changes after a version.
func (a *historyArgs) run(ctx context.Context, s *session) error {
	path := fmt.Sprintf("/admin/history?after=%d", a.After)
	return printList(ctx, s, path, "VERSION ACCEPTED AUTHOR CHANGE OPERATION", func(h fleet.Head) []any {
		return []any{h.Version, formatTime(h.AcceptedAt), h.Author, h.Summary, h.Operation}
	})
}

// keyListArgs is the command "key list".
type keyListArgs struct{}

// run lists the keys without their secrets.
func (*keyListArgs) run(ctx context.Context, s *session) error {
	return printList(ctx, s, "/admin/keys", "ID WORKSPACE ISSUED WITHDRAWN", func(k gateway.KeyInfo) []any {
		return []any{k.ID, k.Workspace, formatTime(k.IssuedAt), formatTime(k.WithdrawnAt)}
	})
}

// upstreamsArgs is the command "upstreams".
type upstreamsArgs struct{}

// run lists the upstreams as the gateway sees them.
func (*upstreamsArgs) run(ctx context.Context, s *session) error {
	return printList(ctx, s, "/admin/upstreams", "NAME KIND DATA-CENTRE STATE CONNECTED OUT IN-FLIGHT MODELS", func(u gateway.UpstreamInfo) []any {
		return []any{u.Name, u.Kind, u.DataCentre, u.State, u.Connected, u.TakenOut, u.InFlight, strings.Join(u.Models, ",")}
	})
}

// workspacesArgs is the command "workspaces".
type workspacesArgs struct{}

// run lists the workspaces of the inventory in force.
func (*workspacesArgs) run(ctx context.Context, s *session) error {
	return printList(ctx, s, "/admin/workspaces", "NAME RATE BURST WEIGHT MODELS", func(w fleet.Workspace) []any {
		models := "all"
		if len(w.Models) > 0 {
			models = strings.Join(w.Models, ",")
		}
		return []any{w.Name, w.Rate, w.Burst, w.Weight, models}
	})
}

// statusArgs is the command "status".
type statusArgs struct{}

// run prints the state of the gateway and, as the gateway knows them, the states of all
// daemons.
func (*statusArgs) run(ctx context.Context, s *session) error {
	var status gateway.StatusResponse
	if err := s.client.Get(ctx, "/admin/status", &status); err != nil {
		return err
	}
	var state gateway.InForceResponse
	if err := s.client.Get(ctx, fmt.Sprintf("/admin/in-force?version=%d", status.ConfigVersion), &state); err != nil {
		return err
	}
	value := map[string]any{"gateway": status, "in_force": state}
	return s.printResult(value, func() {
		fmt.Fprintf(s.out, "gateway %s in data centre %s: %s, configuration version %d\n", status.Name, status.DataCentre, status.Phase, status.ConfigVersion)
		rows := make([][]any, 0, len(state.Daemons))
		for _, d := range state.Daemons {
			rows = append(rows, []any{d.Name, d.Kind, d.DataCentre, d.State, d.Version})
		}
		s.printTable("NAME KIND DATA-CENTRE STATE VERSION", rows)
	})
}
