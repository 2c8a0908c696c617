// Package vmlist keeps the platform's VM list on the board.
package vmlist

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/store"
)

// pollInterval is the mean time between two readings of the list.
const pollInterval = time.Second

// Controller reads the VM list. It writes Board.VMs.
type Controller struct {
	board *blackboard.Board
	vms   store.VMs
	log   *log.Logger
}

// New returns a Controller that reads the list from vms.
func New(board *blackboard.Board, vms store.VMs, logger *log.Logger) *Controller {
	return &Controller{board: board, vms: vms, log: logger}
}

// Run reads the list until ctx ends. While it cannot be read, the last one
// stays in force.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.read(ctx)
		timer := time.NewTimer(jittered(pollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// jittered returns a time around d, so that processes do not read in step.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func (c *Controller) read(ctx context.Context) {
	list, err := c.vms.List(ctx)
	if err != nil {
		return
	}
	next := blackboard.VMs{Leaving: leaving(list), Read: time.Now()}
	old := c.board.VMs.Value()
	if !old.Read.IsZero() && maps.Equal(old.Leaving, next.Leaving) {
		return
	}
	c.log.Info().Int("leaving", len(next.Leaving)).Msg("vm list")
	c.board.VMs.Publish(next)
}

func leaving(list []store.VM) map[string]bool {
	names := make(map[string]bool)
	for _, vm := range list {
		if vm.State == store.Leaving {
			names[vm.Name] = true
		}
	}
	return names
}
