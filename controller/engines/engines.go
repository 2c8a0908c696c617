// Package engines watches the upstreams beside an agent and keeps their state
// on the agent's board.
package engines

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// Prober asks an upstream for its state.
type Prober interface {
	// Probe returns the state of the upstream.
	Probe(ctx context.Context, up *fleet.Upstream) fleet.UpstreamState
}

// Controller probes the upstreams of one VM. It writes Board.Upstreams of the
// agent.
type Controller struct {
	board  *blackboard.Board
	prober Prober
	vm     string
	log    *log.Logger
	loads  map[string]*blackboard.Load
	states map[string]fleet.UpstreamState
}

// New returns a Controller for the upstreams of the VM.
func New(board *blackboard.Board, prober Prober, vm string, logger *log.Logger) *Controller {
	return &Controller{
		board:  board,
		prober: prober,
		vm:     vm,
		log:    logger,
		loads:  make(map[string]*blackboard.Load),
		states: make(map[string]fleet.UpstreamState),
	}
}

// Run probes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.probeAll(ctx, view)
		}
		select {
		case <-ticker.C:
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// probeAll probes the VM's upstreams and publishes them if anything changed.
func (c *Controller) probeAll(ctx context.Context, view *fleet.View) {
	var all []*blackboard.Upstream
	for i := range view.Inventory.Upstreams {
		spec := &view.Inventory.Upstreams[i]
		if spec.VM == c.vm {
			all = append(all, c.probe(ctx, view, spec))
		}
	}
	if !sameUpstreams(c.board.Upstreams.Value().All, all) {
		c.board.Upstreams.Publish(blackboard.NewUpstreams(all))
	}
}

func (c *Controller) probe(ctx context.Context, view *fleet.View, spec *fleet.Upstream) *blackboard.Upstream {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state := c.prober.Probe(ctx, spec)
	if old := c.states[spec.Name]; old != state {
		c.states[spec.Name] = state
		c.log.Info().Str("upstream", spec.Name).Stringer("from", old).Stringer("to", state).Msg("upstream state")
	}
	load := c.loads[spec.Name]
	if load == nil {
		load = new(blackboard.Load)
		c.loads[spec.Name] = load
	}
	dc := view.DataCentreOf(spec)
	return &blackboard.Upstream{Spec: spec, DataCentre: dc, State: state, Out: view.IsOut(dc), Connected: true, Load: load}
}

func sameUpstreams(a, b []*blackboard.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Spec != b[i].Spec || a[i].State != b[i].State || a[i].Out != b[i].Out {
			return false
		}
	}
	return true
}
