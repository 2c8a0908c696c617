package load

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/ctl"
	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/gateway"
)

// fleetStopTimeout bounds the planned stop of a fleet after a run.
const fleetStopTimeout = 20 * time.Second

// RunOnNewFleet starts a fleet of separate processes from the programs in the directory
// bin, runs the scenario against it and stops it. After an error, or if the scenario killed
// a gateway, it kills the processes without a planned stop. An error of the planned stop
// becomes a note of the result.
func RunOnNewFleet(ctx context.Context, s *Scenario, bin string) (*Result, error) {
	f, err := devfleet.Start(ctx, fleetOptions(s, bin))
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	result, err := Run(ctx, s, fleetTarget(f))
	if err != nil || s.GatewayKill != nil {
		f.Kill()
		return result, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetStopTimeout)
	defer cancel()
	if err := f.Stop(ctx); err != nil {
		result.Notes = append(result.Notes, fmt.Sprintf("planned stop of the fleet failed: %v", err))
	}
	return result, nil
}

// fleetOptions returns the options of a fleet that serves the scenario's workspaces.
func fleetOptions(s *Scenario, bin string) devfleet.Options {
	o := devfleet.Options{
		BinDir: bin, DataCentres: s.Fleet.DataCentres, Gateways: s.Fleet.Gateways, Engines: s.Fleet.Engines,
		Slots: s.Fleet.Slots, ColdSlots: s.Fleet.ColdSlots, EngineArgs: s.Fleet.EngineArgs, Rules: s.Fleet.Rules,
		DataCentreLatency: s.Fleet.DataCentreLatency,
	}
	for _, w := range s.Workspaces {
		o.Workspaces = append(o.Workspaces, fleet.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	return o
}

// fleetTarget returns the started fleet as the target of a run.
func fleetTarget(f *devfleet.Fleet) *Target {
	t := &Target{Keys: f.Keys, Model: devfleet.ModelName, SetTakenOut: newSetTakenOut(f.Client)}
	t.usage = &usageReader{usageByProcess: f.UsageByProcess, programByProcess: f.ProgramByProcess()}
	for i := range f.Inventory.Gateways {
		t.Gateways = append(t.Gateways, f.URL(i))
	}
	for _, u := range f.Inventory.Upstreams {
		if u.Kind == fleet.KindEngine {
			t.Engines = append(t.Engines, u.URL)
		}
	}
	t.Kill = func(name string) error {
		p := f.Process(name)
		if p == nil {
			return fmt.Errorf("the fleet has no process %q; check the name under kill_gateway", name)
		}
		p.Kill()
		return nil
	}
	return t
}

// newSetTakenOut returns a function that takes a data centre out, or puts it back in
// service, through the admin interface of the first gateway.
func newSetTakenOut(client func(int) *ctl.Client) func(context.Context, string, bool) error {
	return func(ctx context.Context, name string, takeOut bool) error {
		metadata := gateway.ChangeMetadata{Operation: uuid.NewString(), Author: "baobab-load"}
		var applied gateway.ApplyResponse
		return client(0).Post(ctx, "/admin/data-centres", gateway.DataCentreRequest{ChangeMetadata: metadata, Name: name, TakeOut: takeOut}, &applied)
	}
}
