package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// notes collects texts for the report of a run. Several goroutines may add.
type notes struct {
	mu   sync.Mutex
	list []string
}

func (n *notes) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = append(n.list, fmt.Sprintf(format, args...))
}

func (n *notes) all() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// runEvents kills the scenario's gateway and then takes its data centre out and puts it back
// in service, each at its time. In a scenario with both, the outage waits for the kill.
func (r *runner) runEvents(ctx context.Context) {
	if k := r.scenario.GatewayKill; k != nil {
		r.runAt(ctx, k.At, "kill "+k.Name, func() error { return r.kill(k.Name) })
	}
	if d := r.scenario.DataCentreOutage; d != nil {
		r.runAt(ctx, d.TakeOutAt, "take out "+d.Name, func() error { return r.setTakenOut(ctx, d.Name, true) })
		r.runAt(ctx, d.ReturnAt, "return "+d.Name, func() error { return r.setTakenOut(ctx, d.Name, false) })
	}
}

// runAt waits until the given time of the measured period, calls do and notes the outcome.
// It does nothing if ctx ends first.
func (r *runner) runAt(ctx context.Context, at time.Duration, what string, do func() error) {
	if !sleepUntil(ctx, r.start.Add(r.scenario.Warmup+at)) {
		return
	}
	if err := do(); err != nil {
		r.notes.add("%s: %s failed: %v", at, what, err)
		return
	}
	r.notes.add("%s: %s", at, what)
}

// kill kills the named gateway. It fails on a fleet that the run did not start.
func (r *runner) kill(name string) error {
	if r.target.Kill == nil {
		return fmt.Errorf("a gateway can be killed only in a fleet that baobab-load starts itself; run without --gateway")
	}
	return r.target.Kill(name)
}

// setTakenOut takes the data centre out or puts it back in service. It fails without the
// operators' key.
func (r *runner) setTakenOut(ctx context.Context, name string, out bool) error {
	if r.target.SetTakenOut == nil {
		return fmt.Errorf("the operators' key is missing; set --admin-key or BAOBAB_ADMIN_KEY")
	}
	return r.target.SetTakenOut(ctx, name, out)
}
