// Package fleettest runs a fleet inside the process of a test: stand-ins of the platform
// and of the upstreams, agents and gateways, all on loopback addresses. A test can stop,
// start and disconnect the daemons one by one.
package fleettest

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/ctl"
	"github.com/baobablanding/baobablanding/daemon"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/loopback"
	"github.com/baobablanding/baobablanding/standin"
)

// AdminKey is the admin key of every test fleet.
const AdminKey = "test-admin-key"

// ModelName is the name of the model that every engine serves.
const ModelName = "test-model"

// ServicePathPrefix is the path prefix of the route to the plain services.
const ServicePathPrefix = "/orders"

// Options configures a fleet. A zero value selects the default of the field.
type Options struct {
	// DataCentres, Gateways, Engines and Services are the numbers of each. The
	// defaults are 1, and 0 for Services.
	DataCentres, Gateways, Engines, Services int
	// Workspaces defaults to "garrafon" with a rate of 10000 requests per second.
	Workspaces []fleet.Workspace
	// Slots and ColdSlots bound the requests that run at once on a warm and on a cold
	// engine. The defaults are 8 and 2.
	Slots, ColdSlots int
	// EngineOptions configures the stand-in engines. The default,
	// standin.DefaultEngineOptions, applies if FullSpeedRequests is 0.
	EngineOptions standin.EngineOptions
	// ServiceTime is how long a plain service takes for a request.
	ServiceTime time.Duration
	// Rules are the rules of the inventory; zero fields take the defaults of the inventory.
	Rules fleet.Rules
	// EditInventory, if not nil, changes the inventory before it is applied.
	EditInventory func(*fleet.Inventory)
	// ProxyPlatform puts a loopback.Proxy between each daemon and the platform.
	ProxyPlatform bool
	// ProxyPeers puts a loopback.Proxy in front of the peer address of each gateway.
	ProxyPeers bool
	// LogWriter receives the daemons' logs; they are discarded if it is nil.
	LogWriter io.Writer
}

// Fleet is a running test fleet. Chat, Call, URL and Client may be called from several
// goroutines; the methods that start and kill daemons may not.
type Fleet struct {
	// Inventory is the inventory of the first configuration; later changes are not in it.
	Inventory fleet.Inventory
	// Platform is the stand-in of the platform.
	Platform *standin.Platform
	// Engines and Services are the stand-ins of the upstreams, in the order of
	// the inventory.
	Engines  []*standin.Engine
	Services []*standin.Service
	// Gateways and Agents hold the running daemons by name; an agent has the name of
	// its VM. A killed daemon is absent.
	Gateways, Agents map[string]daemon.Process
	// PlatformProxies holds the proxies between the daemons and the platform by the name
	// of the daemon. It is empty unless Options.ProxyPlatform is set.
	PlatformProxies map[string]*loopback.Proxy
	// PeerProxies holds the proxies in front of the peer addresses by the name of the
	// gateway. It is empty unless Options.ProxyPeers is set.
	PeerProxies map[string]*loopback.Proxy
	// Keys holds the API keys by the name of the workspace.
	Keys map[string]string

	// peerAddresses holds the addresses at which gateways listen for other daemons, by the
	// name of the gateway. Peer proxies forward to them.
	peerAddresses map[string]string
	t             testing.TB
	opts          Options
}

// Start starts a fleet and returns when every gateway reaches every upstream. The fleet
// is closed at the end of the test; an error ends the test.
func Start(t testing.TB, opts Options) *Fleet {
	t.Helper()
	opts.DataCentres = cmp.Or(opts.DataCentres, 1)
	opts.Gateways = cmp.Or(opts.Gateways, 1)
	opts.Engines = cmp.Or(opts.Engines, 1)
	opts.Slots = cmp.Or(opts.Slots, 8)
	opts.ColdSlots = cmp.Or(opts.ColdSlots, 2)
	if opts.EngineOptions.FullSpeedRequests == 0 {
		opts.EngineOptions = standin.DefaultEngineOptions
	}
	if len(opts.Workspaces) == 0 {
		opts.Workspaces = []fleet.Workspace{{Name: "garrafon", Rate: 10000, Burst: 10000}}
	}
	f := &Fleet{
		Gateways:        make(map[string]daemon.Process),
		Agents:          make(map[string]daemon.Process),
		PlatformProxies: make(map[string]*loopback.Proxy),
		PeerProxies:     make(map[string]*loopback.Proxy),
		peerAddresses:   make(map[string]string),
		Keys:            make(map[string]string),
		t:               t,
		opts:            opts,
	}
	t.Cleanup(f.close)
	f.start()
	return f
}

func (f *Fleet) start() {
	f.t.Helper()
	f.Platform = must(f.t)(standin.StartPlatform(freeAddress(f.t)))
	f.startUpstreams()
	f.applyInitialConfig()
	for _, vm := range f.Inventory.VMs {
		f.StartAgent(vm.Name)
	}
	for _, g := range f.Inventory.Gateways {
		f.StartGateway(g.Name)
	}
	f.WaitServing()
}

// must returns a function that returns the platform, or ends the test on an error.
func must(t testing.TB) func(*standin.Platform, error) *standin.Platform {
	return func(p *standin.Platform, err error) *standin.Platform {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startUpstreams starts the stand-ins of the upstreams and fills the inventory.
func (f *Fleet) startUpstreams() {
	f.t.Helper()
	inv := &f.Inventory
	inv.Rules = f.opts.Rules
	inv.Workspaces = f.opts.Workspaces
	inv.Models = []fleet.Model{{Name: ModelName}}
	for i := range f.opts.DataCentres {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: f.dataCentre(i), Region: "test"})
	}
	for i := range f.opts.Gateways {
		name := fmt.Sprintf("gateway-%d", i+1)
		inv.Gateways = append(inv.Gateways, fleet.Gateway{
			Name: name, DataCentre: f.dataCentre(i), PeerAddress: f.peerAddress(name), HTTPAddress: freeAddress(f.t),
		})
	}
	for i := range f.opts.Engines {
		e, err := standin.StartEngine(freeAddress(f.t), f.opts.EngineOptions)
		if err != nil {
			f.t.Fatal(err)
		}
		f.Engines = append(f.Engines, e)
		f.addUpstream(i, fleet.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Kind: fleet.KindEngine, URL: e.URL(),
			Models: []string{ModelName}, Slots: f.opts.Slots, ColdSlots: f.opts.ColdSlots,
		})
	}
	f.planServices()
	if f.opts.EditInventory != nil {
		f.opts.EditInventory(inv)
	}
	inv.SetDefaults()
}

// peerAddress chooses the listen address of the gateway for other daemons. It returns the
// address at which they connect: that of the proxy, if there is one.
func (f *Fleet) peerAddress(name string) string {
	f.t.Helper()
	f.peerAddresses[name] = freeAddress(f.t)
	if !f.opts.ProxyPeers {
		return f.peerAddresses[name]
	}
	f.PeerProxies[name] = f.newProxy(f.peerAddresses[name])
	return f.PeerProxies[name].Address()
}

func (f *Fleet) planServices() {
	route := fleet.Route{Name: "orders", Prefix: ServicePathPrefix, Idempotent: []string{"GET"}}
	for i := range f.opts.Services {
		s, err := standin.StartService(freeAddress(f.t), f.opts.ServiceTime)
		if err != nil {
			f.t.Fatal(err)
		}
		f.Services = append(f.Services, s)
		name := fmt.Sprintf("service-%d", i+1)
		f.addUpstream(i, fleet.Upstream{Name: name, Kind: fleet.KindService, URL: s.URL(), Slots: 32, ColdSlots: 32})
		route.Upstreams = append(route.Upstreams, name)
	}
	if f.opts.Services > 0 {
		f.Inventory.Routes = []fleet.Route{route}
	}
}

func (f *Fleet) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%f.opts.DataCentres+1) }

// addUpstream adds an upstream to the inventory, on a VM of its own whose name is that of
// the upstream with the prefix "vm-".
func (f *Fleet) addUpstream(i int, u fleet.Upstream) {
	u.VM = "vm-" + u.Name
	f.Inventory.VMs = append(f.Inventory.VMs, fleet.VM{Name: u.VM, DataCentre: f.dataCentre(i), AgentAddress: freeAddress(f.t)})
	f.Inventory.Upstreams = append(f.Inventory.Upstreams, u)
}

const platformTimeout = time.Second

// Store returns a client of the store that holds the accepted configuration.
func (f *Fleet) Store() *configstore.Store {
	return configstore.New(f.Platform.Table(platformTimeout), f.Platform.Objects(platformTimeout))
}

// applyInitialConfig writes the inventory and one key for each workspace to the store.
func (f *Fleet) applyInitialConfig() {
	f.t.Helper()
	keys := make([]fleet.Key, 0, len(f.Inventory.Workspaces))
	for _, w := range f.Inventory.Workspaces {
		text := "key-of-" + w.Name
		f.Keys[w.Name] = text
		keys = append(keys, fleet.Key{ID: "id-" + w.Name, Digest: sha256.Sum256([]byte(text)), Workspace: w.Name, IssuedAt: time.Now()})
	}
	f.Apply(func(fleet.State) (fleet.State, error) {
		return fleet.State{Inventory: f.Inventory, Keys: keys}, nil
	})
}

// Apply writes a change of the configuration to the store and returns its version. An
// error ends the test.
func (f *Fleet) Apply(edit func(fleet.State) (fleet.State, error)) uint64 {
	f.t.Helper()
	head, err := f.Store().Apply(context.Background(), configstore.Change{
		Operation: uuid.NewString(), Author: "test", Summary: "test", Edit: edit,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return head.Version
}

func (f *Fleet) logger() *log.Logger {
	if f.opts.LogWriter == nil {
		return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return &log.Logger{Writer: &log.IOWriter{Writer: f.opts.LogWriter}}
}

// settings returns the settings common to gateways and agents.
func (f *Fleet) settings(name, dataCentre, peerAddress string) config.Settings {
	f.t.Helper()
	url := f.Platform.URL()
	if f.opts.ProxyPlatform {
		if f.PlatformProxies[name] == nil {
			f.PlatformProxies[name] = f.newProxy(url[len("http://"):])
		}
		url = "http://" + f.PlatformProxies[name].Address()
	}
	return config.Settings{
		Name: name, DataCentre: dataCentre, PeerAddress: peerAddress, MetricsAddress: freeAddress(f.t),
		Platform:    config.PlatformSettings{TableURL: url, ObjectsURL: url, VMsURL: url, Timeout: platformTimeout},
		ReadTimeout: time.Second, BodyTimeout: 2 * time.Second, DrainTimeout: 10 * time.Second, LogLevel: "info",
	}
}

// StartAgent starts the agent of the VM. It does nothing if the inventory has no such VM.
func (f *Fleet) StartAgent(vm string) {
	f.t.Helper()
	for _, v := range f.Inventory.VMs {
		if v.Name != vm {
			continue
		}
		p, err := daemon.StartAgent(f.settings(v.Name, v.DataCentre, v.AgentAddress), f.logger())
		if err != nil {
			f.t.Fatal(err)
		}
		f.Agents[vm] = p
	}
}

// StartGateway starts the named gateway. It does nothing if the inventory has no such
// gateway.
func (f *Fleet) StartGateway(name string) {
	f.t.Helper()
	for _, g := range f.Inventory.Gateways {
		if g.Name != name {
			continue
		}
		s := f.settings(g.Name, g.DataCentre, f.peerAddresses[g.Name])
		s.ListenAddress = g.HTTPAddress
		for _, other := range f.Inventory.Gateways {
			s.SeedAddresses = append(s.SeedAddresses, other.PeerAddress)
		}
		sum := sha256.Sum256([]byte(AdminKey))
		s.AdminKeyDigest = hex.EncodeToString(sum[:])
		p, err := daemon.StartGateway(s, f.logger())
		if err != nil {
			f.t.Fatal(err)
		}
		f.Gateways[name] = p
	}
}

// KillAgent ends the running agent of the VM without a graceful shutdown.
func (f *Fleet) KillAgent(vm string) {
	f.Agents[vm].Kill()
	delete(f.Agents, vm)
}

// KillGateway ends the running gateway without a graceful shutdown.
func (f *Fleet) KillGateway(name string) {
	f.Gateways[name].Kill()
	delete(f.Gateways, name)
}

// URL returns the base URL of the gateway with the given index.
func (f *Fleet) URL(i int) string { return "http://" + f.Inventory.Gateways[i].HTTPAddress }

// Client returns a client of the admin API of the gateway with the given index.
func (f *Fleet) Client(i int) *ctl.Client { return ctl.NewClient(f.URL(i), AdminKey) }

const (
	waitTimeout  = 10 * time.Second
	waitInterval = 10 * time.Millisecond
)

// Eventually waits until the condition holds. It ends the test after waitTimeout; what
// describes the condition in the failure message.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out while waiting: %s", what)
		}
		time.Sleep(waitInterval)
	}
}

// WaitServing waits until every running gateway is ready and reaches every upstream.
func (f *Fleet) WaitServing() {
	f.t.Helper()
	for i, g := range f.Inventory.Gateways {
		if f.Gateways[g.Name] == nil {
			continue
		}
		f.Eventually(g.Name+" serves", func() bool {
			var ups []gateway.UpstreamInfo
			if f.Client(i).Get(context.Background(), "/admin/upstreams", &ups) != nil {
				return false
			}
			if !f.ready(i) {
				return false
			}
			usable := 0
			for _, u := range ups {
				if u.Connected && (u.State == "ready" || u.State == "cold") {
					usable++
				}
			}
			return usable == len(f.Inventory.Upstreams)
		})
	}
}

// ready reports whether the gateway with the given index accepts requests.
func (f *Fleet) ready(i int) bool {
	resp, err := http.Get(f.URL(i) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitVersion waits until the version or a later one is in force on every running
// gateway.
func (f *Fleet) WaitVersion(version uint64) {
	f.t.Helper()
	for i, g := range f.Inventory.Gateways {
		if f.Gateways[g.Name] == nil {
			continue
		}
		f.Eventually(fmt.Sprintf("%s has version %d", g.Name, version), func() bool {
			var s gateway.StatusResponse
			err := f.Client(i).Get(context.Background(), "/admin/status", &s)
			return err == nil && s.ConfigVersion >= version
		})
	}
}

func (f *Fleet) close() {
	for _, p := range f.Gateways {
		p.Kill()
	}
	for _, p := range f.Agents {
		p.Kill()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}

// newProxy starts a proxy to the target address. It is closed at the end of the test.
func (f *Fleet) newProxy(target string) *loopback.Proxy {
	f.t.Helper()
	p, err := loopback.NewProxy(target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}
