// Package upstreams publishes the upstreams and their state on a gateway's board, from the
// inventory and from the reports of the agents.
package upstreams

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
)

// eventBuffer is the number of events that can wait for the goroutine of Run. Callers that
// pass a further one block.
const eventBuffer = 256

// Connector keeps connections to agents.
type Connector interface {
	// SetAddresses keeps connections to exactly these addresses.
	SetAddresses([]string)
}

// Controller combines the inventory with what the agents report, and is the only writer of
// the board's upstreams. Its fields belong to the goroutine of Run; other goroutines pass
// events to it through a channel.
type Controller struct {
	board         *blackboard.Board
	gateway       string
	ownDataCentre string // data centre of the gateway
	topology      *blackboard.Topology
	connector     Connector
	log           *log.Logger
	events        chan func() bool                    // run in order; each reports whether an upstream changed
	agents        map[string]*agentState              // by address
	loads         map[string]*blackboard.UpstreamLoad // by upstream
}

// agentState is the connection to one agent and the agent's last status.
type agentState struct {
	connected bool
	version   uint64                         // of the configuration in force on the agent
	states    map[string]fleet.UpstreamState // by upstream
}

// New returns a Controller for the named gateway in the data centre. SetConnector must be
// called before Run.
func New(board *blackboard.Board, gateway, dataCentre string, logger *log.Logger) *Controller {
	return &Controller{
		board:         board,
		gateway:       gateway,
		ownDataCentre: dataCentre,
		log:           logger,
		events:        make(chan func() bool, eventBuffer),
		agents:        make(map[string]*agentState),
		loads:         make(map[string]*blackboard.UpstreamLoad),
	}
}

// SetConnector sets the connector that keeps the connections to agents.
func (c *Controller) SetConnector(connector Connector) { c.connector = connector }

// OnLink records that a connection to an agent was made or lost. It may be called from
// several goroutines, and blocks while too many events wait for Run.
func (c *Controller) OnLink(e peer.ConnEvent) {
	c.events <- func() bool { return c.applyLink(e) }
}

// OnStatus records what the agent at the address reported. It may be called from several
// goroutines, and blocks while too many events wait for Run.
func (c *Controller) OnStatus(address string, s peer.AgentStatus) {
	c.events <- func() bool { return c.applyStatus(address, s) }
}

// Run publishes the upstreams on each change of the configuration and of the agents'
// reports until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.connector.SetAddresses(agentAddresses(view))
			c.topology = blackboard.NewTopology(view, c.gateway, c.ownDataCentre)
			c.publish(view)
		}
		if !c.handleEvents(ctx, snap) {
			return
		}
	}
}

// handleEvents handles events until the configuration changes, and then returns true. It
// returns false when ctx ends.
func (c *Controller) handleEvents(ctx context.Context, snap *blackboard.Snapshot[*blackboard.Config]) bool {
	for {
		changed := false
		select {
		case event := <-c.events:
			changed = event()
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

// agentAddresses returns the agents' addresses in the order of the inventory's VMs.
func agentAddresses(view *fleet.View) []string {
	list := make([]string, 0, len(view.Inventory.VMs))
	for _, vm := range view.Inventory.VMs {
		list = append(list, vm.AgentAddress)
	}
	return list
}

// agent returns the state of the agent at the address, which is added if it is new.
func (c *Controller) agent(address string) *agentState {
	a := c.agents[address]
	if a == nil {
		a = &agentState{states: make(map[string]fleet.UpstreamState)}
		c.agents[address] = a
	}
	return a
}

// applyLink records that the connection to an agent was made or lost. It reports whether
// the agent's upstreams changed. When a connection is lost, the states of the agent's
// upstreams are forgotten.
func (c *Controller) applyLink(e peer.ConnEvent) bool {
	a := c.agent(e.Address)
	if a.connected == e.Connected {
		return false
	}
	a.connected = e.Connected
	if !e.Connected {
		a.states = make(map[string]fleet.UpstreamState)
	}
	c.log.Info().Str("agent", e.Address).Bool("connected", e.Connected).Msg("agent connection changed")
	return true
}

// applyStatus applies an agent's status and reports whether its upstreams changed. The
// upstreams of a draining agent are leaving. A change of load alone is no change, as it is
// stored in counters that outlive the published snapshot.
func (c *Controller) applyStatus(address string, status peer.AgentStatus) bool {
	a := c.agent(address)
	changed := a.version != status.ConfigVersion
	a.version = status.ConfigVersion
	for _, r := range status.Reports {
		state := r.State
		if status.Draining {
			state = fleet.StateLeaving
		}
		if old := a.states[r.Upstream]; old != state {
			changed = true
			c.log.Info().Str("upstream", r.Upstream).Stringer("from", old).Stringer("to", state).Msg("upstream state changed")
		}
		a.states[r.Upstream] = state
		c.recordLoad(r)
	}
	return changed
}

// recordLoad stores the load that the agent reported for an upstream, with the number of
// requests that this gateway has there now.
func (c *Controller) recordLoad(r peer.UpstreamReport) {
	load := c.load(r.Upstream)
	load.Report.Store(&blackboard.LoadReport{
		ReceivedAt:  time.Now(),
		InFlight:    r.InFlight,
		Queued:      r.Queued,
		Limit:       r.MaxInFlight,
		OwnInFlight: load.InFlight.Load(),
	})
}

// load returns the counters of the upstream, which are added if they are new.
func (c *Controller) load(upstream string) *blackboard.UpstreamLoad {
	l := c.loads[upstream]
	if l == nil {
		l = new(blackboard.UpstreamLoad)
		c.loads[upstream] = l
	}
	return l
}

// publish publishes all upstreams of the inventory.
func (c *Controller) publish(view *fleet.View) {
	inv := &view.Inventory
	all := make([]*blackboard.Upstream, 0, len(inv.Upstreams))
	for i := range inv.Upstreams {
		all = append(all, c.buildUpstream(view, &inv.Upstreams[i]))
	}
	c.board.Upstreams.Publish(blackboard.NewGroupedUpstreams(all, c.topology))
}

// buildUpstream returns the upstream with what its agent reported last.
func (c *Controller) buildUpstream(view *fleet.View, spec *fleet.Upstream) *blackboard.Upstream {
	vm := view.VM(spec.VM)
	a := c.agent(vm.AgentAddress)
	return &blackboard.Upstream{
		Spec:         spec,
		DataCentre:   vm.DataCentre,
		AgentAddress: vm.AgentAddress,
		AgentVersion: a.version,
		State:        a.states[spec.Name],
		TakenOut:     view.IsTakenOut(vm.DataCentre),
		Connected:    a.connected,
		Load:         c.load(spec.Name),
	}
}
