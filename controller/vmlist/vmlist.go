// Package vmlist reads the platform's VM list and publishes on the board which VMs are
// leaving.
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

// pollInterval is the mean time between two reads of the list.
const pollInterval = time.Second

// Controller reads the VM list at regular intervals, and is the only writer of the list on
// the board.
type Controller struct {
	board *blackboard.Board
	vms   store.VMs
	log   *log.Logger
}

// New returns a Controller that reads the list from vms.
func New(board *blackboard.Board, vms store.VMs, logger *log.Logger) *Controller {
	return &Controller{board: board, vms: vms, log: logger}
}

// Run reads the list until ctx ends. While the list cannot be read, the one that was
// published last stays in use.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.refresh(ctx)
		timer := time.NewTimer(jitter(pollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// jitter returns a random duration from d/2 to 3d/2, so that processes do not read at
// the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// refresh reads the list once and publishes it if it is the first one or if other VMs are
// leaving.
func (c *Controller) refresh(ctx context.Context) {
	list, err := c.vms.List(ctx)
	if err != nil {
		return
	}
	next := blackboard.VMs{Leaving: leavingVMs(list), FirstReadAt: time.Now()}
	old := c.board.VMs.Value()
	if !old.FirstReadAt.IsZero() && maps.Equal(old.Leaving, next.Leaving) {
		return
	}
	c.log.Info().Int("leaving", len(next.Leaving)).Msg("vm list changed")
	c.board.VMs.Publish(next)
}

// leavingVMs returns the names of the VMs that the list says are leaving.
func leavingVMs(list []store.VM) map[string]bool {
	names := make(map[string]bool)
	for _, vm := range list {
		if vm.State == store.VMLeaving {
			names[vm.Name] = true
		}
	}
	return names
}
