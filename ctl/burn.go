package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/report"
)

// burnArgs is the command "report burn".
type burnArgs struct {
	HTML string `arg:"--html" placeholder:"FILE" help:"also write the report as an HTML page with plots to this file"`
}

// run prints the burn of the objectives, summed over all gateways.
func (a *burnArgs) run(ctx context.Context, s *session) error {
	sources, err := s.gatewaySources(ctx)
	if err != nil {
		return err
	}
	r, err := report.Collect(ctx, sources)
	if err != nil {
		return err
	}
	if a.HTML != "" {
		if err := writePage(a.HTML, r); err != nil {
			return err
		}
	}
	if s.json {
		return report.Write(s.out, r, report.FormatJSON)
	}
	return report.Write(s.out, r, report.FormatTable)
}

// writePage writes the report as an HTML page to the file at path.
func writePage(path string, r *report.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the HTML report: %w", err)
	}
	defer file.Close()
	return report.Write(file, r, report.FormatHTML)
}

// gatewaySources returns a client of every gateway of the inventory in force.
func (s *session) gatewaySources(ctx context.Context) ([]report.Source, error) {
	var current gateway.ConfigResponse
	if err := s.client.Get(ctx, "/admin/config", &current); err != nil {
		return nil, err
	}
	inventory, err := config.ParseInventory("inventory", []byte(current.Inventory))
	if err != nil {
		return nil, fmt.Errorf("parse the inventory in force: %w", err)
	}
	sources := make([]report.Source, 0, len(inventory.Gateways))
	for _, g := range inventory.Gateways {
		sources = append(sources, report.Source{Name: g.Name, Client: NewClient("http://"+g.HTTPAddress, s.client.key)})
	}
	return sources, nil
}
