// Package upstreams keeps a gateway's knowledge of the upstreams on the board.
package upstreams

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
)

const eventBacklog = 256

// Connector keeps connections with agents.
type Connector interface {
	// SetAddresses keeps connections with exactly these addresses.
	SetAddresses([]string)
}

// Controller joins the inventory with what agents report. It writes
// Board.Upstreams.
type Controller struct {
	board     *blackboard.Board
	gateway   string
	home      string // data centre of the gateway
	topology  *blackboard.Topology
	connector Connector
	log       *log.Logger
	events    chan func() bool       // in order; each returns whether upstreams changed
	agents    map[string]*agentState // by address
	loads     map[string]*blackboard.Load
}

// agentState is what is known of one agent.
type agentState struct {
	connected bool
	version   uint64 // of the configuration
	states    map[string]fleet.UpstreamState
}

// New returns a Controller of the named gateway in the data centre.
// SetConnector must be called before Run.
func New(board *blackboard.Board, gateway, dataCentre string, logger *log.Logger) *Controller {
	return &Controller{
		board:   board,
		gateway: gateway,
		home:    dataCentre,
		log:     logger,
		events:  make(chan func() bool, eventBacklog),
		agents:  make(map[string]*agentState),
		loads:   make(map[string]*blackboard.Load),
	}
}

// SetConnector sets what keeps the connections with agents.
func (c *Controller) SetConnector(connector Connector) { c.connector = connector }

// Link takes in that a connection was made or lost.
func (c *Controller) Link(e peer.LinkEvent) {
	c.events <- func() bool { return c.takeLink(e) }
}

// Status takes in what the agent at the address reported.
func (c *Controller) Status(address string, s peer.Status) {
	c.events <- func() bool { return c.takeStatus(address, s) }
}

// Run keeps the board up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.connector.SetAddresses(addresses(view))
			c.topology = blackboard.NewTopology(view, c.gateway, c.home)
			c.publish(view)
		}
		if !c.follow(ctx, snap) {
			return
		}
	}
}

// follow takes in events until the configuration changes. It returns false
// when ctx ends.
func (c *Controller) follow(ctx context.Context, snap *blackboard.Snapshot[*blackboard.Config]) bool {
	for {
		changed := false
		select {
		case take := <-c.events:
			changed = take()
		case <-snap.Changed():
			return true
		case <-ctx.Done():
			return false
		}
		if changed && snap.Value.View != nil {
			c.publish(snap.Value.View)
		}
	}
}

func addresses(view *fleet.View) []string {
	list := make([]string, 0, len(view.Inventory.VMs))
	for _, vm := range view.Inventory.VMs {
		list = append(list, vm.Agent)
	}
	return list
}

func (c *Controller) agent(address string) *agentState {
	a := c.agents[address]
	if a == nil {
		a = &agentState{states: make(map[string]fleet.UpstreamState)}
		c.agents[address] = a
	}
	return a
}

// takeLink returns whether the upstreams of the agent changed.
func (c *Controller) takeLink(e peer.LinkEvent) bool {
	a := c.agent(e.Address)
	if a.connected == e.Up {
		return false
	}
	a.connected = e.Up
	if !e.Up {
		a.states = make(map[string]fleet.UpstreamState)
	}
	c.log.Info().Str("agent", e.Address).Bool("connected", e.Up).Msg("agent connection")
	return true
}

// takeStatus returns whether the upstreams of the agent changed.
func (c *Controller) takeStatus(address string, status peer.Status) bool {
	a := c.agent(address)
	changed := a.version != status.ConfigVersion
	a.version = status.ConfigVersion
	for _, r := range status.Reports {
		state := r.State
		if status.Draining {
			state = fleet.Leaving
		}
		if old := a.states[r.Upstream]; old != state {
			changed = true
			c.log.Info().Str("upstream", r.Upstream).Stringer("from", old).Stringer("to", state).Msg("upstream state")
		}
		a.states[r.Upstream] = state
		c.noteLoad(r)
	}
	return changed
}

func (c *Controller) noteLoad(r peer.Report) {
	load := c.load(r.Upstream)
	load.Report.Store(&blackboard.LoadReport{
		At:          time.Now(),
		InFlight:    r.InFlight,
		Queued:      r.Queued,
		Limit:       r.Limit,
		OwnInFlight: load.InFlight.Load(),
	})
}

func (c *Controller) load(upstream string) *blackboard.Load {
	l := c.loads[upstream]
	if l == nil {
		l = new(blackboard.Load)
		c.loads[upstream] = l
	}
	return l
}

func (c *Controller) publish(view *fleet.View) {
	inv := &view.Inventory
	all := make([]*blackboard.Upstream, 0, len(inv.Upstreams))
	for i := range inv.Upstreams {
		all = append(all, c.describe(view, &inv.Upstreams[i]))
	}
	c.board.Upstreams.Publish(blackboard.NewGroupedUpstreams(all, c.topology))
}

func (c *Controller) describe(view *fleet.View, spec *fleet.Upstream) *blackboard.Upstream {
	vm := view.VM(spec.VM)
	a := c.agent(vm.Agent)
	return &blackboard.Upstream{
		Spec:         spec,
		DataCentre:   vm.DataCentre,
		Agent:        vm.Agent,
		AgentVersion: a.version,
		State:        a.states[spec.Name],
		Out:          view.IsOut(vm.DataCentre),
		Connected:    a.connected,
		Load:         c.load(spec.Name),
	}
}
