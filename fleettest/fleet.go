// Package fleettest runs a fleet inside a test's process: stand-ins, agents and
// gateways on loopback, which a test can stop, start and cut off one by one.
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

// AdminKey is the operators' key of every test fleet.
const AdminKey = "test-admin-key"

// Model is the model that every engine serves.
const Model = "test-model"

// RoutePrefix is the path of the plain services.
const RoutePrefix = "/orders"

// Options sizes a fleet. Zero values take small defaults.
type Options struct {
	// DataCentres, Gateways, Engines and Services count the parts; Services
	// may be 0.
	DataCentres, Gateways, Engines, Services int
	// Workspaces lists the tenants; the default is one without a tight rate.
	Workspaces []fleet.Workspace
	// Slots and ColdSlots bound an engine's requests.
	Slots, ColdSlots int
	// Engine describes the stand-in engines.
	Engine standin.EngineOptions
	// ServiceTime is the time of a call to a plain service.
	ServiceTime time.Duration
	// Rules bounds the fleet.
	Rules fleet.Rules
	// Edit changes the inventory before it is applied. It may be nil.
	Edit func(*fleet.Inventory)
	// Relay puts a Relay between every daemon and the platform.
	Relay bool
	// RelayPeers puts a Relay before every gateway's peer address.
	RelayPeers bool
	// LogTo receives the daemons' logs; the default drops them.
	LogTo io.Writer
}

// Fleet is a running test fleet.
type Fleet struct {
	// Inventory is the inventory that was applied first.
	Inventory fleet.Inventory
	// Platform is the platform's stand-in.
	Platform *standin.Platform
	// Engines and Services are the stand-ins of the upstreams, in the order of
	// the inventory.
	Engines  []*standin.Engine
	Services []*standin.Service
	// Gateways and Agents are the running daemons by name; an agent's name is
	// its VM's. A stopped daemon is nil.
	Gateways, Agents map[string]daemon.Process
	// Relays holds the relay between a daemon and the platform, by the daemon's
	// name, if Options.Relay is set.
	Relays map[string]*Relay
	// PeerRelays holds the relay before a gateway's peer address, by the
	// gateway's name, if Options.RelayPeers is set.
	PeerRelays map[string]*Relay
	// Keys maps a workspace to its key.
	Keys map[string]string

	peers map[string]string // where gateways listen for other processes
	t     testing.TB
	opts  Options
}

// Start starts a fleet that ends with the test.
func Start(t testing.TB, opts Options) *Fleet {
	t.Helper()
	opts.DataCentres = cmp.Or(opts.DataCentres, 1)
	opts.Gateways = cmp.Or(opts.Gateways, 1)
	opts.Engines = cmp.Or(opts.Engines, 1)
	opts.Slots = cmp.Or(opts.Slots, 8)
	opts.ColdSlots = cmp.Or(opts.ColdSlots, 2)
	if opts.Engine.Knee == 0 {
		opts.Engine = standin.DefaultEngine
	}
	if len(opts.Workspaces) == 0 {
		opts.Workspaces = []fleet.Workspace{{Name: "garrafon", Rate: 10000, Burst: 10000}}
	}
	f := &Fleet{
		Gateways:   make(map[string]daemon.Process),
		Agents:     make(map[string]daemon.Process),
		Relays:     make(map[string]*Relay),
		PeerRelays: make(map[string]*Relay),
		peers:      make(map[string]string),
		Keys:       make(map[string]string),
		t:          t,
		opts:       opts,
	}
	t.Cleanup(f.close)
	f.start()
	return f
}

func (f *Fleet) start() {
	f.t.Helper()
	f.Platform = must(f.t)(standin.StartPlatform(freeAddress(f.t)))
	f.plan()
	f.configure()
	for _, vm := range f.Inventory.VMs {
		f.StartAgent(vm.Name)
	}
	for _, g := range f.Inventory.Gateways {
		f.StartGateway(g.Name)
	}
	f.WaitServing()
}

// must returns a function that ends the test on an error.
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

// plan makes the inventory and starts the stand-ins of the upstreams.
func (f *Fleet) plan() {
	f.t.Helper()
	inv := &f.Inventory
	inv.Rules = f.opts.Rules
	inv.Workspaces = f.opts.Workspaces
	inv.Models = []fleet.Model{{Name: Model}}
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
		e, err := standin.StartEngine(freeAddress(f.t), f.opts.Engine)
		if err != nil {
			f.t.Fatal(err)
		}
		f.Engines = append(f.Engines, e)
		f.addUpstream(i, fleet.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Kind: fleet.KindEngine, URL: e.URL(),
			Models: []string{Model}, Slots: f.opts.Slots, ColdSlots: f.opts.ColdSlots,
		})
	}
	f.planServices()
	if f.opts.Edit != nil {
		f.opts.Edit(inv)
	}
	inv.SetDefaults()
}

// peerAddress chooses where the gateway listens for other processes, and
// returns where they reach it.
func (f *Fleet) peerAddress(name string) string {
	f.t.Helper()
	f.peers[name] = freeAddress(f.t)
	if !f.opts.RelayPeers {
		return f.peers[name]
	}
	f.PeerRelays[name] = NewRelay(f.t, f.peers[name])
	return f.PeerRelays[name].Addr()
}

func (f *Fleet) planServices() {
	route := fleet.Route{Name: "orders", Prefix: RoutePrefix, Idempotent: []string{"GET"}}
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

// addUpstream adds an upstream on a VM of its own, named "vm-" and its name.
func (f *Fleet) addUpstream(i int, u fleet.Upstream) {
	u.VM = "vm-" + u.Name
	f.Inventory.VMs = append(f.Inventory.VMs, fleet.VM{Name: u.VM, DataCentre: f.dataCentre(i), AgentAddress: freeAddress(f.t)})
	f.Inventory.Upstreams = append(f.Inventory.Upstreams, u)
}

const platformTimeout = time.Second

// Store returns the store of the accepted configuration.
func (f *Fleet) Store() *configstore.Store {
	return configstore.New(f.Platform.Table(platformTimeout), f.Platform.Objects(platformTimeout))
}

// configure accepts the inventory and a key for each workspace.
func (f *Fleet) configure() {
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

// Apply accepts a change of the configuration and returns its version.
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
	if f.opts.LogTo == nil {
		return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return &log.Logger{Writer: &log.IOWriter{Writer: f.opts.LogTo}}
}

// settings returns the settings that every daemon has in common.
func (f *Fleet) settings(name, dataCentre, peerAddress string) config.Settings {
	f.t.Helper()
	url := f.Platform.URL()
	if f.opts.Relay {
		if f.Relays[name] == nil {
			f.Relays[name] = NewRelay(f.t, url[len("http://"):])
		}
		url = "http://" + f.Relays[name].Addr()
	}
	return config.Settings{
		Name: name, DataCentre: dataCentre, Peer: peerAddress, Metrics: freeAddress(f.t),
		Platform:    config.PlatformSettings{Table: url, Objects: url, VMs: url, Timeout: platformTimeout},
		ReadTimeout: time.Second, BodyTimeout: 2 * time.Second, Drain: 10 * time.Second, LogLevel: "info",
	}
}

// StartAgent starts the agent of the VM.
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

// StartGateway starts the named gateway.
func (f *Fleet) StartGateway(name string) {
	f.t.Helper()
	for _, g := range f.Inventory.Gateways {
		if g.Name != name {
			continue
		}
		s := f.settings(g.Name, g.DataCentre, f.peers[g.Name])
		s.Listen = g.HTTPAddress
		for _, other := range f.Inventory.Gateways {
			s.Seeds = append(s.Seeds, other.PeerAddress)
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

// KillAgent ends the agent of the VM at once.
func (f *Fleet) KillAgent(vm string) {
	f.Agents[vm].Kill()
	delete(f.Agents, vm)
}

// KillGateway ends the named gateway at once.
func (f *Fleet) KillGateway(name string) {
	f.Gateways[name].Kill()
	delete(f.Gateways, name)
}

// URL returns the callers' address of the gateway with the given index.
func (f *Fleet) URL(i int) string { return "http://" + f.Inventory.Gateways[i].HTTPAddress }

// Client returns an operators' client of the gateway with the given index.
func (f *Fleet) Client(i int) *ctl.Client { return ctl.NewClient(f.URL(i), AdminKey) }

const (
	waitTimeout  = 10 * time.Second
	waitInterval = 10 * time.Millisecond
)

// Eventually waits until the condition holds, or ends the test.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(waitInterval)
	}
}

// WaitServing waits until every running gateway reaches every upstream.
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

// ready tells whether the gateway with the given index takes requests.
func (f *Fleet) ready(i int) bool {
	resp, err := http.Get(f.URL(i) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitVersion waits until every running gateway has the version in force.
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
