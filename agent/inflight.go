package agent

import (
	"context"
	"sync/atomic"
)

// inFlightCounter counts requests in flight and lets one goroutine wait until there are
// none. No wake-up is lost: wait stores its channel before it reads the count, and end
// changes the count before it loads the channel.
type inFlightCounter struct {
	count atomic.Int64
	idle  atomic.Pointer[chan struct{}]
}

func (f *inFlightCounter) begin() { f.count.Add(1) }

func (f *inFlightCounter) end() {
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

// wait waits until the count is 0, or returns the error of ctx.
func (f *inFlightCounter) wait(ctx context.Context) error {
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
