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

// Options configures a fleet. A field with the zero value has the default of the demo.
type Options struct {
	// BinDir is the directory with the built programs.
	BinDir string
	// FirstGateway is the listen address of the first gateway for callers, as IP:PORT. If
	// empty, the gateway gets a free loopback address.
	FirstGateway string
	// DataCentres is the number of data centres. The default is 2.
	DataCentres int
	// Gateways is the number of gateways. The default is 2.
	Gateways int
	// Engines is the number of engines, each on its own VM. The default is 4.
	Engines int
	// Services is the number of plain services, each on its own VM. The default is 1.
	Services int
	// Workspaces lists the workspaces. The default is two of them.
	Workspaces []fleet.Workspace
	// Rules holds the rules of the inventory.
	Rules fleet.Rules
	// EngineArgs are additional command line arguments of the stand-in engines.
	EngineArgs []string
	// Slots is the number of requests that an engine gets at once. The default is 8.
	Slots int
	// ColdSlots is the number of requests that an engine gets at once in cold start. The
	// default is 2.
	ColdSlots int
	// BatchLease is the duration of the lease of a batch worker. If 0, the daemons use
	// their default.
	BatchLease time.Duration
	// EditSettings changes the settings of each daemon before it starts. It may be nil.
	EditSettings func(*config.Settings)
	// EditInventory changes the inventory before the daemons start. It may be nil.
	EditInventory func(*fleet.Inventory)
	// DataCentreLatency is the network latency of one direction between two data
	// centres. It delays the traffic between gateways and agents. 0 adds no latency.
	DataCentreLatency time.Duration
}

// ModelName and ServicePathPrefix are the model of the engines and the path prefix of the route
// to the services.
const (
	ModelName         = "demo-chat"
	ServicePathPrefix = "/orders"
)

// setDefaults replaces zero values by the defaults.
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

// Fleet is a running fleet of processes.
type Fleet struct {
	// Inventory is the inventory that Start applied.
	Inventory fleet.Inventory
	// AdminKey is the key of the operators' API.
	AdminKey string
	// Keys maps the name of each workspace to its key.
	Keys map[string]string
	// PlatformURL is the base URL of the stand-in for the platform.
	PlatformURL string

	opts        Options
	delayProxy  delayProxy
	agentListen map[string]string // name of a VM to the listen address of its agent
	metrics     map[string]string // name of the process of a daemon to its metrics address
	dir         string            // settings and logs of the processes
	processes   []*Process        // in the order of their start
}

// Start starts the stand-ins and daemons, applies the inventory, issues a key for each
// workspace and waits until the gateways serve. If it fails, it kills all processes and
// returns an error that contains the logs of those that had exited.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	opts.setDefaults()
	dir, err := os.MkdirTemp("", "baobab-fleet-")
	if err != nil {
		return nil, fmt.Errorf("create directory of the fleet: %w", err)
	}
	f := &Fleet{opts: opts, dir: dir, Keys: make(map[string]string), AdminKey: "admin-" + rand.Text(), metrics: make(map[string]string)}
	if err := f.start(ctx); err != nil {
		err = errors.Join(err, f.exitErrors())
		f.Kill()
		return nil, err
	}
	return f, nil
}

// exitErrors returns an error with the log of each process that has exited, or nil.
func (f *Fleet) exitErrors() error {
	var errs []error
	for _, p := range f.processes {
		if p.hasExited() {
			errs = append(errs, fmt.Errorf("%s exited: %s", p.Name, p.Log()))
		}
	}
	return errors.Join(errs...)
}

// start does the work of Start.
func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.buildInventory(); err != nil {
		return err
	}
	if err := f.startDelayProxies(); err != nil {
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

// startPlatform starts the stand-in for the platform and waits until it is ready.
func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := loopback.Address()
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + address
	if err := f.startProgram("platform", "baobab-standin", "platform", "--listen", address); err != nil {
		return err
	}
	return waitOK(ctx, f.PlatformURL+"/vms")
}

// startProgram starts one of the project's programs as the process with the given name.
func (f *Fleet) startProgram(name, programName string, args ...string) error {
	path, err := programPath(f.opts.BinDir, programName)
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

// addresses allocates free loopback addresses and keeps the first error.
type addresses struct{ err error }

// next returns a free address, or an empty one if none was found.
func (a *addresses) next() string {
	address, err := loopback.Address()
	a.err = cmp.Or(a.err, err)
	return address
}

// buildInventory sets Inventory, with free addresses for all listeners.
func (f *Fleet) buildInventory() error {
	var free addresses
	inv := &f.Inventory
	inv.Rules = f.opts.Rules
	inv.Workspaces = f.opts.Workspaces
	inv.Models = []fleet.Model{{Name: ModelName}}
	for i := range f.opts.DataCentres {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: dataCentreName(i), Region: "local"})
	}
	for i := range f.opts.Gateways {
		inv.Gateways = append(inv.Gateways, fleet.Gateway{
			Name:        fmt.Sprintf("gateway-%d", i+1),
			DataCentre:  dataCentreName(i % f.opts.DataCentres),
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
	route := fleet.Route{Name: "orders", Prefix: ServicePathPrefix, Idempotent: []string{"GET"}}
	for i := range f.opts.Services {
		name := fmt.Sprintf("service-%d", i+1)
		f.addUpstream(&free, i, fleet.Upstream{Name: name, Kind: fleet.KindService, Slots: 32, ColdSlots: 32})
		route.Upstreams = append(route.Upstreams, name)
	}
	if f.opts.Services > 0 {
		inv.Routes = []fleet.Route{route}
	}
	if f.opts.EditInventory != nil {
		f.opts.EditInventory(inv)
	}
	inv.SetDefaults()
	return free.err
}

// dataCentreName returns the name of the data centre with index i.
func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i+1) }

// addUpstream adds the upstream with a VM of its own, in the data centre that index i
// selects.
func (f *Fleet) addUpstream(free *addresses, i int, u fleet.Upstream) {
	u.VM = "vm-" + u.Name
	u.URL = "http://" + free.next()
	f.Inventory.VMs = append(f.Inventory.VMs, fleet.VM{Name: u.VM, DataCentre: dataCentreName(i % f.opts.DataCentres), AgentAddress: free.next()})
	f.Inventory.Upstreams = append(f.Inventory.Upstreams, u)
}

// startDelayProxies starts a proxy before each agent if Options.DataCentreLatency is set.
// The inventory then has the address of the proxy, and agentListen that of the agent.
func (f *Fleet) startDelayProxies() error {
	f.agentListen = make(map[string]string)
	f.delayProxy.oneWay = f.opts.DataCentreLatency
	for i := range f.Inventory.VMs {
		vm := &f.Inventory.VMs[i]
		f.agentListen[vm.Name] = vm.AgentAddress
		if f.opts.DataCentreLatency == 0 {
			continue
		}
		address, err := f.delayProxy.listen(vm.AgentAddress, vm.DataCentre)
		if err != nil {
			return fmt.Errorf("start delay proxy of the agent on %s: %w", vm.Name, err)
		}
		vm.AgentAddress = address
	}
	return nil
}

// startUpstream starts a stand-in engine or service and waits until it is ready.
func (f *Fleet) startUpstream(ctx context.Context, u fleet.Upstream) error {
	address := u.URL[len("http://"):]
	var err error
	if u.Kind == fleet.KindEngine {
		args := append([]string{"engine", "--listen", address}, f.opts.EngineArgs...)
		err = f.startProgram(u.Name, "baobab-standin", args...)
	} else {
		err = f.startProgram(u.Name, "baobab-standin", "service", "--listen", address)
	}
	if err != nil {
		return err
	}
	return waitOK(ctx, u.URL+"/health")
}

// startAgent starts the agent of a VM.
func (f *Fleet) startAgent(vm fleet.VM) error {
	metrics, err := loopback.Address()
	if err != nil {
		return err
	}
	return f.runDaemon("agent-"+vm.Name, "baobab-agent", config.Settings{
		Name: vm.Name, DataCentre: vm.DataCentre, PeerAddress: f.agentListen[vm.Name], MetricsAddress: metrics,
		BatchLease: f.opts.BatchLease,
	})
}

// startGateway starts a gateway and waits until it is live.
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
		Name: g.Name, DataCentre: g.DataCentre, ListenAddress: g.HTTPAddress, PeerAddress: g.PeerAddress, MetricsAddress: metrics, SeedAddresses: seeds,
		AdminKeyDigest: hex.EncodeToString(sum[:]),
	})
	if err != nil {
		return err
	}
	return waitOK(ctx, "http://"+g.HTTPAddress+"/healthz")
}

// runDaemon writes the settings file of a daemon and starts the daemon.
func (f *Fleet) runDaemon(name, programName string, s config.Settings) error {
	s.Platform = config.PlatformSettings{TableURL: f.PlatformURL, ObjectsURL: f.PlatformURL, VMsURL: f.PlatformURL}
	if f.opts.EditSettings != nil {
		f.opts.EditSettings(&s)
	}
	data, err := config.FormatSettings(&s)
	if err != nil {
		return fmt.Errorf("format settings of %s: %w", name, err)
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", name, err)
	}
	if err := f.startProgram(name, programName, "--settings", path); err != nil {
		return err
	}
	f.metrics[name] = s.MetricsAddress
	f.delayProxy.setDataCentre(f.Process(name).PID(), s.DataCentre)
	return nil
}

// MetricsAddress returns the metrics address of the daemon whose process has the name.
func (f *Fleet) MetricsAddress(name string) string { return f.metrics[name] }

// Process returns the process with the given name, or nil.
func (f *Fleet) Process(name string) *Process {
	for _, p := range f.processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Stop shuts down every process and waits for its exit: gateways first, then agents, then
// the stand-ins. It kills a process that has not exited when ctx ends. It joins the errors
// of all processes, and keeps the directory with the logs if there is one.
func (f *Fleet) Stop(ctx context.Context) error {
	var errs []error
	for _, p := range slices.Backward(f.processes) {
		errs = append(errs, p.Stop(ctx))
	}
	f.delayProxy.close()
	err := errors.Join(errs...)
	if err == nil {
		os.RemoveAll(f.dir)
	}
	return err
}

// Kill kills every process and removes the directory of the fleet.
func (f *Fleet) Kill() {
	for _, p := range slices.Backward(f.processes) {
		p.Kill()
	}
	f.delayProxy.close()
	os.RemoveAll(f.dir)
}
