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

// print writes value as JSON, or calls text if people read the output.
func (s *session) print(value any, text func()) error {
	if !s.json {
		text()
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

const columnGap = 2

// table prints rows of cells under a header, in aligned columns.
func (s *session) table(header string, rows [][]any) {
	w := tabwriter.NewWriter(s.out, 0, 0, columnGap, ' ', 0)
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

// list reads a resource, and prints it as JSON or as a table with a row for
// each of its elements.
func list[T any](ctx context.Context, s *session, path, header string, row func(T) []any) error {
	var values []T
	if err := s.client.Get(ctx, path, &values); err != nil {
		return err
	}
	return s.print(values, func() {
		rows := make([][]any, 0, len(values))
		for _, v := range values {
			rows = append(rows, row(v))
		}
		s.table(header, rows)
	})
}

// moment returns a time for people, or a dash.
func moment(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}

type showArgs struct{}

func (*showArgs) run(ctx context.Context, s *session) error {
	var c gateway.ConfigResponse
	if err := s.client.Get(ctx, "/admin/config", &c); err != nil {
		return err
	}
	return s.print(c, func() {
		fmt.Fprintf(s.out, "# version %d\n", c.Version)
		if len(c.Out) > 0 {
			fmt.Fprintf(s.out, "# data centres taken out: %s\n", strings.Join(c.Out, ", "))
		}
		fmt.Fprint(s.out, c.Inventory)
	})
}

type historyArgs struct {
	After uint64 `arg:"--after" help:"show changes after this version"`
}

func (a *historyArgs) run(ctx context.Context, s *session) error {
	path := fmt.Sprintf("/admin/history?after=%d", a.After)
	return list(ctx, s, path, "VERSION ACCEPTED AUTHOR CHANGE OPERATION", func(h fleet.Head) []any {
		return []any{h.Version, moment(h.AcceptedAt), h.Author, h.Summary, h.Operation}
	})
}

type keyListArgs struct{}

func (*keyListArgs) run(ctx context.Context, s *session) error {
	return list(ctx, s, "/admin/keys", "ID WORKSPACE ISSUED WITHDRAWN", func(k gateway.KeyInfo) []any {
		return []any{k.ID, k.Workspace, moment(k.Issued), moment(k.Withdrawn)}
	})
}

type upstreamsArgs struct{}

func (*upstreamsArgs) run(ctx context.Context, s *session) error {
	return list(ctx, s, "/admin/upstreams", "NAME KIND DATA-CENTRE STATE CONNECTED OUT IN-FLIGHT MODELS", func(u gateway.UpstreamInfo) []any {
		return []any{u.Name, u.Kind, u.DataCentre, u.State, u.Connected, u.Out, u.InFlight, strings.Join(u.Models, ",")}
	})
}

type workspacesArgs struct{}

func (*workspacesArgs) run(ctx context.Context, s *session) error {
	return list(ctx, s, "/admin/workspaces", "NAME RATE BURST WEIGHT MODELS", func(w fleet.Workspace) []any {
		models := "all"
		if len(w.Models) > 0 {
			models = strings.Join(w.Models, ",")
		}
		return []any{w.Name, w.Rate, w.Burst, w.Weight, models}
	})
}

type statusArgs struct{}

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
	return s.print(value, func() {
		fmt.Fprintf(s.out, "asked %s in %s: %s, configuration version %d\n", status.Name, status.DataCentre, status.Phase, status.ConfigVersion)
		rows := make([][]any, 0, len(state.Daemons))
		for _, d := range state.Daemons {
			rows = append(rows, []any{d.Name, d.Kind, d.DataCentre, d.State, d.Version})
		}
		s.table("NAME KIND DATA-CENTRE STATE VERSION", rows)
	})
}
