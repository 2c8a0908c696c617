package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/report"
)

type burnArgs struct {
	HTML string `arg:"--html" placeholder:"FILE" help:"write a page with plots"`
}

func (a *burnArgs) run(ctx context.Context, s *session) error {
	sources, err := s.gateways(ctx)
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
		return report.Write(s.out, r, report.JSON)
	}
	return report.Write(s.out, r, report.Table)
}

func writePage(path string, r *report.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	defer file.Close()
	return report.Write(file, r, report.HTML)
}

// gateways returns a client of every gateway of the inventory in force.
func (s *session) gateways(ctx context.Context) ([]report.Source, error) {
	var c gateway.ConfigResponse
	if err := s.client.Get(ctx, "/admin/config", &c); err != nil {
		return nil, err
	}
	inv, err := config.ParseInventory("inventory", []byte(c.Inventory))
	if err != nil {
		return nil, fmt.Errorf("inventory in force: %w", err)
	}
	sources := make([]report.Source, 0, len(inv.Gateways))
	for _, g := range inv.Gateways {
		sources = append(sources, report.Source{Name: g.Name, Client: NewClient("http://"+g.HTTPAddress, s.client.key)})
	}
	return sources, nil
}
