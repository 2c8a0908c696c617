package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// notes collects what happened beside the requests.
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

// events brings about what the scenario says, in order of time.
func (r *runner) events(ctx context.Context) {
	if k := r.scenario.KillGateway; k != nil {
		r.at(ctx, k.At, "end "+k.Name, func() error { return r.kill(k.Name) })
	}
	if d := r.scenario.DataCentreOut; d != nil {
		r.at(ctx, d.Out, "take out "+d.Name, func() error { return r.takeOut(ctx, d.Name, true) })
		r.at(ctx, d.In, "return "+d.Name, func() error { return r.takeOut(ctx, d.Name, false) })
	}
}

// at does something at a time of the counted part and notes its outcome.
func (r *runner) at(ctx context.Context, at time.Duration, what string, do func() error) {
	if !sleepUntil(ctx, r.start.Add(r.scenario.Warmup+at)) {
		return
	}
	if err := do(); err != nil {
		r.notes.add("%s: %s failed: %v", at, what, err)
		return
	}
	r.notes.add("%s: %s", at, what)
}

func (r *runner) kill(name string) error {
	if r.target.Kill == nil {
		return fmt.Errorf("this target's processes cannot be ended")
	}
	return r.target.Kill(name)
}

func (r *runner) takeOut(ctx context.Context, name string, out bool) error {
	if r.target.TakeOut == nil {
		return fmt.Errorf("no operators' key was given")
	}
	return r.target.TakeOut(ctx, name, out)
}
