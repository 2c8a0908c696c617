package devfleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/loopback"
)

// Options sizes a fleet. Zero values take the defaults of the demo.
type Options struct {
	// Bin is the folder with the built programs.
	Bin string
	// FirstGateway is the address of the first gateway for callers, or empty
	// for a free port.
	FirstGateway string
	// DataCentres is the number of data centres.
	DataCentres int
	// Gateways is the number of gateways.
	Gateways int
	// Engines is the number of engines, each on a VM of its own.
	Engines int
	// Services is the number of plain services, each on a VM of its own.
	Services int
	// Workspaces lists the tenants.
	Workspaces []fleet.Workspace
	// Rules bounds the fleet.
	Rules fleet.Rules
	// EngineArgs are further arguments of the stand-in engines.
	EngineArgs []string
	// Slots is the number of requests an engine gets at once.
	Slots int
	// ColdSlots is the number of requests an engine gets in cold start.
	ColdSlots int
	// BatchLease is how long a claim on batch work lasts; 0 takes the daemons'
	// default.
	BatchLease time.Duration
	// Edit changes the inventory before it is applied. It may be nil.
	Edit func(*fleet.Inventory)
	// Distance is the time one way between two data centres. It delays what
	// gateways exchange with agents.
	Distance time.Duration
}

// Names of the demo's model and route.
const (
	ModelName   = "demo-chat"
	RoutePrefix = "/orders"
)

func (o *Options) setDefaults() {
	o.DataCentres = cmp.Or(o.DataCentres, 2)
	o.Gateways = cmp.Or(o.Gateways, 2)
	o.Engines = cmp.Or(o.Engines, 4)
	o.Services = cmp.Or(o.Services, 1)
	o.Slots = cmp.Or(o.Slots, 8)
	o.ColdSlots = cmp.Or(o.ColdSlots, 2)
	if len(o.Workspaces) == 0 {
		o.Workspaces = []fleet.Workspace{
			{Name: "garrafon", Rate: 200, Burst: 100},
			{Name: "guild", Rate: 200, Burst: 100},
		}
	}
}

// Fleet is a running fleet.
type Fleet struct {
	// Inventory is the inventory that was applied first.
	Inventory fleet.Inventory
	// AdminKey is the operators' key.
	AdminKey string
	// Keys maps a workspace to its key.
	Keys map[string]string
	// Platform is the base address of the platform's stand-in.
	Platform string

	opts      Options
	distance  distance
	listen    map[string]string // a VM's name to the address of its agent
	dir       string
	processes []*Process
}

// Start starts the stand-ins and daemons, applies the inventory and issues a
// key for each workspace.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	opts.setDefaults()
	dir, err := os.MkdirTemp("", "baobab-fleet-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	f := &Fleet{opts: opts, dir: dir, Keys: make(map[string]string), AdminKey: "admin-" + rand.Text()}
	if err := f.start(ctx); err != nil {
		err = errors.Join(err, f.failures())
		f.Kill()
		return nil, err
	}
	return f, nil
}

// failures returns an error with the output of each process that has ended.
func (f *Fleet) failures() error {
	var errs []error
	for _, p := range f.processes {
		if p.ended() {
			errs = append(errs, fmt.Errorf("%s has ended: %s", p.Name, p.Log()))
		}
	}
	return errors.Join(errs...)
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.plan(); err != nil {
		return err
	}
	if err := f.placeRelays(); err != nil {
		return err
	}
	for _, u := range f.Inventory.Upstreams {
		if err := f.startUpstream(ctx, u); err != nil {
			return err
		}
	}
	for _, vm := range f.Inventory.VMs {
		if err := f.startAgent(vm); err != nil {
			return err
		}
	}
	for _, g := range f.Inventory.Gateways {
		if err := f.startGateway(ctx, g); err != nil {
			return err
		}
	}
	return f.configure(ctx)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := loopback.Address()
	if err != nil {
		return err
	}
	f.Platform = "http://" + address
	if err := f.run("platform", "baobab-standin", "platform", "--listen", address); err != nil {
		return err
	}
	return waitOK(ctx, f.Platform+"/vms")
}

// run starts one of the project's programs.
func (f *Fleet) run(name, programName string, args ...string) error {
	path, err := program(f.opts.Bin, programName)
	if err != nil {
		return err
	}
	p := &Process{
		Name:    name,
		Args:    append([]string{path}, args...),
		logPath: filepath.Join(f.dir, name+".log"),
	}
	if err := p.start(); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}

// addresses hands out free loopback addresses and keeps the first error.
type addresses struct{ err error }

func (a *addresses) next() string {
	address, err := loopback.Address()
	a.err = cmp.Or(a.err, err)
	return address
}

// plan makes the inventory.
func (f *Fleet) plan() error {
	var free addresses
	inv := &f.Inventory
	inv.Rules = f.opts.Rules
	inv.Workspaces = f.opts.Workspaces
	inv.Models = []fleet.Model{{Name: ModelName}}
	for i := range f.opts.DataCentres {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: dataCentre(i), Region: "local"})
	}
	for i := range f.opts.Gateways {
		inv.Gateways = append(inv.Gateways, fleet.Gateway{
			Name:        fmt.Sprintf("gateway-%d", i+1),
			DataCentre:  dataCentre(i % f.opts.DataCentres),
			PeerAddress: free.next(),
			HTTPAddress: free.next(),
		})
	}
	if f.opts.FirstGateway != "" {
		inv.Gateways[0].HTTPAddress = f.opts.FirstGateway
	}
	for i := range f.opts.Engines {
		f.addUpstream(&free, i, fleet.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Kind: fleet.KindEngine,
			Models: []string{ModelName}, Slots: f.opts.Slots, ColdSlots: f.opts.ColdSlots,
		})
	}
	route := fleet.Route{Name: "orders", Prefix: RoutePrefix, Idempotent: []string{"GET"}}
	for i := range f.opts.Services {
		name := fmt.Sprintf("service-%d", i+1)
		f.addUpstream(&free, i, fleet.Upstream{Name: name, Kind: fleet.KindService, Slots: 32, ColdSlots: 32})
		route.Upstreams = append(route.Upstreams, name)
	}
	if f.opts.Services > 0 {
		inv.Routes = []fleet.Route{route}
	}
	if f.opts.Edit != nil {
		f.opts.Edit(inv)
	}
	inv.SetDefaults()
	return free.err
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i+1) }

// addUpstream adds an upstream on a VM of its own.
func (f *Fleet) addUpstream(free *addresses, i int, u fleet.Upstream) {
	u.VM = "vm-" + u.Name
	u.URL = "http://" + free.next()
	f.Inventory.VMs = append(f.Inventory.VMs, fleet.VM{Name: u.VM, DataCentre: dataCentre(i % f.opts.DataCentres), AgentAddress: free.next()})
	f.Inventory.Upstreams = append(f.Inventory.Upstreams, u)
}

// placeRelays puts a relay before each agent, if data centres are apart.
func (f *Fleet) placeRelays() error {
	f.listen = make(map[string]string)
	f.distance.oneWay = f.opts.Distance
	for i := range f.Inventory.VMs {
		vm := &f.Inventory.VMs[i]
		f.listen[vm.Name] = vm.AgentAddress
		if f.opts.Distance == 0 {
			continue
		}
		address, err := f.distance.relay(vm.AgentAddress, vm.DataCentre)
		if err != nil {
			return fmt.Errorf("relay to %s: %w", vm.Name, err)
		}
		vm.AgentAddress = address
	}
	return nil
}

func (f *Fleet) startUpstream(ctx context.Context, u fleet.Upstream) error {
	address := u.URL[len("http://"):]
	var err error
	if u.Kind == fleet.KindEngine {
		args := append([]string{"engine", "--listen", address}, f.opts.EngineArgs...)
		err = f.run(u.Name, "baobab-standin", args...)
	} else {
		err = f.run(u.Name, "baobab-standin", "service", "--listen", address)
	}
	if err != nil {
		return err
	}
	return waitOK(ctx, u.URL+"/health")
}

func (f *Fleet) startAgent(vm fleet.VM) error {
	metrics, err := loopback.Address()
	if err != nil {
		return err
	}
	return f.runDaemon("agent-"+vm.Name, "baobab-agent", config.Settings{
		Name: vm.Name, DataCentre: vm.DataCentre, Peer: f.listen[vm.Name], Metrics: metrics,
		BatchLease: f.opts.BatchLease,
	})
}

func (f *Fleet) startGateway(ctx context.Context, g fleet.Gateway) error {
	metrics, err := loopback.Address()
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range f.Inventory.Gateways {
		seeds = append(seeds, other.PeerAddress)
	}
	sum := sha256.Sum256([]byte(f.AdminKey))
	err = f.runDaemon(g.Name, "baobab-gateway", config.Settings{
		Name: g.Name, DataCentre: g.DataCentre, Listen: g.HTTPAddress, Peer: g.PeerAddress, Metrics: metrics, Seeds: seeds,
		AdminKeyDigest: hex.EncodeToString(sum[:]),
	})
	if err != nil {
		return err
	}
	return waitOK(ctx, "http://"+g.HTTPAddress+"/healthz")
}

// runDaemon writes the settings of a daemon and starts it.
func (f *Fleet) runDaemon(name, programName string, s config.Settings) error {
	s.Platform = config.PlatformSettings{Table: f.Platform, Objects: f.Platform, VMs: f.Platform}
	data, err := config.FormatSettings(&s)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", name, err)
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", name, err)
	}
	if err := f.run(name, programName, "--settings", path); err != nil {
		return err
	}
	f.distance.place(f.Process(name).PID(), s.DataCentre)
	return nil
}

// Process returns the named process, or nil.
func (f *Fleet) Process(name string) *Process {
	for _, p := range f.processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Stop asks every process for a planned stop: gateways first, then agents,
// then the stand-ins.
func (f *Fleet) Stop(ctx context.Context) error {
	var errs []error
	for _, p := range slices.Backward(f.processes) {
		errs = append(errs, p.Stop(ctx))
	}
	f.distance.close()
	err := errors.Join(errs...)
	if err == nil {
		os.RemoveAll(f.dir)
	}
	return err
}

// Kill ends every process at once and removes the fleet's folder.
func (f *Fleet) Kill() {
	for _, p := range slices.Backward(f.processes) {
		p.Kill()
	}
	f.distance.close()
	os.RemoveAll(f.dir)
}
