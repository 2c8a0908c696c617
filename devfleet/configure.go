package devfleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/ctl"
	"github.com/baobablanding/baobablanding/gateway"
)

// configure applies the inventory, issues keys and waits until the fleet serves.
func (f *Fleet) configure(ctx context.Context) error {
	text, err := config.FormatInventory(&f.Inventory)
	if err != nil {
		return err
	}
	client := f.Client(0)
	request := gateway.ApplyRequest{Edit: f.edit(), Inventory: string(text)}
	var applied gateway.ApplyResponse
	if err := client.Post(ctx, "/admin/config", request, &applied); err != nil {
		return fmt.Errorf("apply inventory: %w", err)
	}
	for _, w := range f.Inventory.Workspaces {
		var key gateway.KeyResponse
		if err := client.Post(ctx, "/admin/keys", gateway.KeyRequest{Edit: f.edit(), Workspace: w.Name}, &key); err != nil {
			return fmt.Errorf("issue key: %w", err)
		}
		f.Keys[w.Name] = key.Key
		applied.Version = key.Version
	}
	return f.waitServing(ctx, applied.Version)
}

func (f *Fleet) edit() gateway.Edit {
	return gateway.Edit{Operation: uuid.NewString(), Author: "devfleet"}
}

// Client returns an operators' client of the gateway with the given index.
func (f *Fleet) Client(i int) *ctl.Client {
	return ctl.NewClient(f.URL(i), f.AdminKey)
}

// URL returns the callers' address of the gateway with the given index.
func (f *Fleet) URL(i int) string { return "http://" + f.Inventory.Gateways[i].HTTPAddress }

// waitServing waits until every gateway has the version and reaches every
// upstream.
func (f *Fleet) waitServing(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for i := range f.Inventory.Gateways {
		for !f.serving(ctx, i, version) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("gateway %d does not serve: %w", i, ctx.Err())
			}
		}
	}
	return nil
}

func (f *Fleet) serving(ctx context.Context, i int, version uint64) bool {
	var status gateway.StatusResponse
	var ups []gateway.UpstreamInfo
	if f.Client(i).Get(ctx, "/admin/status", &status) != nil || status.ConfigVersion < version || status.Phase != blackboard.PhaseServing.String() {
		return false
	}
	if f.Client(i).Get(ctx, "/admin/upstreams", &ups) != nil || len(ups) != len(f.Inventory.Upstreams) {
		return false
	}
	return !slices.ContainsFunc(ups, func(u gateway.UpstreamInfo) bool {
		return !u.Connected || (u.State != "ready" && u.State != "cold")
	})
}
