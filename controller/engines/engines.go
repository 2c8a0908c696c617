// Package engines watches the upstreams beside an agent and keeps their state
// on the agent's board.
package engines

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
)

const (
	probeInterval = 50 * time.Millisecond
	probeTimeout  = time.Second
)

// Prober asks an upstream for its state.
type Prober interface {
	// Probe returns the state of the upstream.
	Probe(ctx context.Context, up *fleet.Upstream) fleet.UpstreamState
}

// Controller probes the upstreams of one VM and joins the result with the VM
// list and the data centres that are taken out. It writes Board.Upstreams of
// the agent.
type Controller struct {
	board  *blackboard.Board
	prober Prober
	vm     string
	log    *log.Logger
	probed map[string]probed
	known  map[string]*blackboard.Upstream
}

// probed is the result of the last probe of an upstream.
type probed struct {
	state fleet.UpstreamState
	signs int64 // Load.ColdSigns before the probe
}

// New returns a Controller for the upstreams of the VM.
func New(board *blackboard.Board, prober Prober, vm string, logger *log.Logger) *Controller {
	return &Controller{
		board:  board,
		prober: prober,
		vm:     vm,
		log:    logger,
		probed: make(map[string]probed),
		known:  make(map[string]*blackboard.Upstream),
	}
}

// Run probes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		config, vms := c.board.Config.Load(), c.board.VMs.Load()
		if view := config.Value.View; view != nil {
			c.publish(view, vms.Value)
			c.probe(ctx, c.specs(view))
			c.publish(view, vms.Value)
		}
		select {
		case <-ticker.C:
		case <-config.Changed():
		case <-vms.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// publish joins what is known of the VM's upstreams and publishes it if anything
// changed.
func (c *Controller) publish(view *fleet.View, vms blackboard.VMs) {
	dataCentre := c.dataCentre(view)
	all := []*blackboard.Upstream{}
	for _, spec := range c.specs(view) {
		last := c.probed[spec.Name]
		if vms.Leaving[c.vm] {
			last.state = fleet.Leaving
		}
		all = append(all, c.describe(spec, last, view.IsOut(dataCentre), dataCentre))
	}
	if !sameUpstreams(c.board.Upstreams.Value().All, all) {
		c.board.Upstreams.Publish(blackboard.NewUpstreams(all))
	}
}

func (c *Controller) specs(view *fleet.View) []*fleet.Upstream {
	var specs []*fleet.Upstream
	for i := range view.Inventory.Upstreams {
		if spec := &view.Inventory.Upstreams[i]; spec.VM == c.vm {
			specs = append(specs, spec)
		}
	}
	return specs
}

func (c *Controller) dataCentre(view *fleet.View) string {
	if vm := view.VM(c.vm); vm != nil {
		return vm.DataCentre
	}
	return ""
}

// probe asks all upstreams at once, so that one that hangs does not delay the
// others by more than its timeout.
func (c *Controller) probe(ctx context.Context, specs []*fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make([]probed, len(specs))
	var wg sync.WaitGroup
	for i, spec := range specs {
		if up := c.known[spec.Name]; up != nil {
			results[i].signs = up.Load.ColdSigns.Load()
		}
		wg.Go(func() { results[i].state = c.prober.Probe(ctx, spec) })
	}
	wg.Wait()
	for i, spec := range specs {
		c.probed[spec.Name] = results[i]
	}
}

// describe returns the upstream as it is now. Each time the upstream begins to
// take work, changes between cold and ready, or is found ready after a sign that
// it turned cold, counts as a cold start.
func (c *Controller) describe(spec *fleet.Upstream, last probed, out bool, dataCentre string) *blackboard.Upstream {
	old := c.known[spec.Name]
	if old == nil {
		old = &blackboard.Upstream{Load: new(blackboard.Load)}
	}
	up := &blackboard.Upstream{
		Spec:         spec,
		DataCentre:   dataCentre,
		State:        last.state,
		Out:          out,
		Connected:    true,
		ColdStarts:   old.ColdStarts,
		CheckedSigns: last.signs,
		Load:         old.Load,
	}
	if up.Usable() && (up.State != old.State || up.Out != old.Out || up.CheckedSigns != old.CheckedSigns) {
		up.ColdStarts++
	}
	if up.State != old.State {
		c.log.Info().Str("upstream", spec.Name).Stringer("from", old.State).Stringer("to", up.State).Msg("upstream state")
	}
	c.known[spec.Name] = up
	return up
}

func sameUpstreams(a, b []*blackboard.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Spec != b[i].Spec || a[i].State != b[i].State || a[i].Out != b[i].Out || a[i].ColdStarts != b[i].ColdStarts {
			return false
		}
	}
	return true
}
