package agent

import (
	"context"
	"sync/atomic"
)

// inFlight counts running requests and lets one goroutine wait until there are
// none.
type inFlight struct {
	count atomic.Int64
	idle  atomic.Pointer[chan struct{}]
}

func (f *inFlight) enter() { f.count.Add(1) }

func (f *inFlight) leave() {
	if f.count.Add(-1) > 0 {
		return
	}
	if idle := f.idle.Load(); idle != nil {
		select {
		case *idle <- struct{}{}:
		default:
		}
	}
}

// wait waits until no request runs, or returns the error of ctx.
func (f *inFlight) wait(ctx context.Context) error {
	idle := make(chan struct{}, 1)
	f.idle.Store(&idle)
	for f.count.Load() > 0 {
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
