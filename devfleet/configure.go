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

// configure applies the inventory, issues a key for each workspace and waits until every
// gateway serves with them.
func (f *Fleet) configure(ctx context.Context) error {
	text, err := config.FormatInventory(&f.Inventory)
	if err != nil {
		return err
	}
	client := f.Client(0)
	request := gateway.ApplyRequest{ChangeMetadata: f.newEdit(), Inventory: string(text)}
	var applied gateway.ApplyResponse
	if err := client.Post(ctx, "/admin/config", request, &applied); err != nil {
		return fmt.Errorf("apply inventory: %w", err)
	}
	for _, w := range f.Inventory.Workspaces {
		var key gateway.KeyResponse
		if err := client.Post(ctx, "/admin/keys", gateway.KeyRequest{ChangeMetadata: f.newEdit(), Workspace: w.Name}, &key); err != nil {
			return fmt.Errorf("issue workspace key: %w", err)
		}
		f.Keys[w.Name] = key.Key
		applied.Version = key.Version
	}
	return f.waitServing(ctx, applied.Version)
}

// newEdit returns the metadata of a change with a new operation ID.
func (f *Fleet) newEdit() gateway.ChangeMetadata {
	return gateway.ChangeMetadata{Operation: uuid.NewString(), Author: "devfleet"}
}

// Client returns a new client of the operators' API of the gateway with the given index in
// Inventory.Gateways.
func (f *Fleet) Client(i int) *ctl.Client {
	return ctl.NewClient(f.URL(i), f.AdminKey)
}

// URL returns the base URL at which the gateway with the given index in
// Inventory.Gateways serves callers.
func (f *Fleet) URL(i int) string { return "http://" + f.Inventory.Gateways[i].HTTPAddress }

// waitServing waits until every gateway serves with the configuration version, or a newer
// one, and is connected to every upstream. It fails after readyTimeout.
func (f *Fleet) waitServing(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for i := range f.Inventory.Gateways {
		for !f.isServing(ctx, i, version) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("gateway %d is not serving with all upstreams connected: %w", i, ctx.Err())
			}
		}
	}
	return nil
}

// isServing reports whether the gateway with index i serves with the configuration version
// or a newer one, and is connected to every upstream.
func (f *Fleet) isServing(ctx context.Context, i int, version uint64) bool {
	var status gateway.StatusResponse
	var upstreams []gateway.UpstreamInfo
	if f.Client(i).Get(ctx, "/admin/status", &status) != nil || status.ConfigVersion < version || status.Phase != blackboard.PhaseServing.String() {
		return false
	}
	if f.Client(i).Get(ctx, "/admin/upstreams", &upstreams) != nil || len(upstreams) != len(f.Inventory.Upstreams) {
		return false
	}
	return !slices.ContainsFunc(upstreams, func(u gateway.UpstreamInfo) bool {
		return !u.Connected || (u.State != "ready" && u.State != "cold")
	})
}
