// Package engines probes the upstreams on an agent's VM and publishes their state on the
// agent's board.
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

// Prober asks an upstream for its state. It is called from several goroutines.
type Prober interface {
	// Probe returns the state of the upstream. It must return once ctx is done.
	Probe(ctx context.Context, up *fleet.Upstream) fleet.UpstreamState
}

// Controller probes the upstreams of one VM and combines the results with the VM list and
// with the data centres that are taken out. It is the only writer of the upstreams on the
// agent's board. Its fields belong to the goroutine of Run.
type Controller struct {
	board     *blackboard.Board
	prober    Prober
	vm        string
	log       *log.Logger
	lastProbe map[string]lastProbe            // by upstream
	upstreams map[string]*blackboard.Upstream // last built, by upstream
}

// lastProbe is the result of the last probe of an upstream.
type lastProbe struct {
	state     fleet.UpstreamState
	coldSigns int64 // number of signs that the upstream turned cold, read before the probe
}

// New returns a Controller for the upstreams of the named VM.
func New(board *blackboard.Board, prober Prober, vm string, logger *log.Logger) *Controller {
	return &Controller{
		board:     board,
		prober:    prober,
		vm:        vm,
		log:       logger,
		lastProbe: make(map[string]lastProbe),
		upstreams: make(map[string]*blackboard.Upstream),
	}
}

// Run probes the upstreams and publishes their state until ctx ends. It publishes before
// the probe too, as a probe can take up to its timeout.
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

// publish publishes the VM's upstreams if any of them changed. While the platform's list
// says that the VM is leaving, every upstream on it is leaving.
func (c *Controller) publish(view *fleet.View, vms blackboard.VMs) {
	dataCentre := c.dataCentre(view)
	all := []*blackboard.Upstream{}
	for _, spec := range c.specs(view) {
		last := c.lastProbe[spec.Name]
		if vms.Leaving[c.vm] {
			last.state = fleet.StateLeaving
		}
		all = append(all, c.buildUpstream(spec, last, view.IsTakenOut(dataCentre), dataCentre))
	}
	if !sameUpstreams(c.board.Upstreams.Value().All, all) {
		c.board.Upstreams.Publish(blackboard.NewUpstreams(all))
	}
}

// specs returns the entries of the inventory for the upstreams on this VM.
func (c *Controller) specs(view *fleet.View) []*fleet.Upstream {
	var specs []*fleet.Upstream
	for i := range view.Inventory.Upstreams {
		if spec := &view.Inventory.Upstreams[i]; spec.VM == c.vm {
			specs = append(specs, spec)
		}
	}
	return specs
}

// dataCentre returns the data centre of this VM, or "" if the inventory does not list it.
func (c *Controller) dataCentre(view *fleet.View) string {
	if vm := view.VM(c.vm); vm != nil {
		return vm.DataCentre
	}
	return ""
}

// probe probes all upstreams concurrently, so that one that hangs delays the others by no
// more than the timeout.
func (c *Controller) probe(ctx context.Context, specs []*fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make([]lastProbe, len(specs))
	var wg sync.WaitGroup
	for i, spec := range specs {
		if up := c.upstreams[spec.Name]; up != nil {
			results[i].coldSigns = up.Load.ColdSigns.Load()
		}
		wg.Go(func() { results[i].state = c.prober.Probe(ctx, spec) })
	}
	wg.Wait()
	for i, spec := range specs {
		c.lastProbe[spec.Name] = results[i]
	}
}

// buildUpstream returns the upstream as the last probe found it. RampRestarts grows each
// time that the upstream becomes usable, changes between cold and ready, or is found
// usable by the first probe after a sign that it turned cold.
func (c *Controller) buildUpstream(spec *fleet.Upstream, last lastProbe, takenOut bool, dataCentre string) *blackboard.Upstream {
	old := c.upstreams[spec.Name]
	if old == nil {
		old = &blackboard.Upstream{Load: new(blackboard.UpstreamLoad)}
	}
	up := &blackboard.Upstream{
		Spec:            spec,
		DataCentre:      dataCentre,
		State:           last.state,
		TakenOut:        takenOut,
		Connected:       true,
		RampRestarts:    old.RampRestarts,
		ProbedColdSigns: last.coldSigns,
		Load:            old.Load,
	}
	if up.IsUsable() && (up.State != old.State || up.TakenOut != old.TakenOut || up.ProbedColdSigns != old.ProbedColdSigns) {
		up.RampRestarts++
	}
	if up.State != old.State {
		c.log.Info().Str("upstream", spec.Name).Stringer("from", old.State).Stringer("to", up.State).Msg("upstream state changed")
	}
	c.upstreams[spec.Name] = up
	return up
}

// sameUpstreams reports whether both lists have the same upstreams in the same states.
func sameUpstreams(a, b []*blackboard.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Spec != b[i].Spec || a[i].State != b[i].State || a[i].TakenOut != b[i].TakenOut || a[i].RampRestarts != b[i].RampRestarts {
			return false
		}
	}
	return true
}
