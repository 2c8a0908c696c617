// Package freshness publishes on the board until when a gateway may use its configuration
// without a new read of the store.
package freshness

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/contact"
)

// updateInterval is the longest time between two updates.
const updateInterval = 250 * time.Millisecond

// Controller derives the time until which the configuration may be used from the last read
// of the store and from the other gateways' gossip. It is the only writer of that time on
// the board, and of whether the configuration may be used now.
type Controller struct {
	board *blackboard.Board
	log   *log.Logger
}

// New returns a Controller.
func New(board *blackboard.Board, logger *log.Logger) *Controller {
	return &Controller{board: board, log: logger}
}

// Run updates the board, at regular intervals and after each read of the store, until ctx
// ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		c.update(time.Now())
		select {
		case <-ticker.C:
		case <-c.board.StoreContact.Load().Changed():
		case <-ctx.Done():
			return
		}
	}
}

// update publishes until when the configuration may be used, and whether it may be used
// now.
func (c *Controller) update(now time.Time) {
	bound := fleet.DefaultMaxIsolation
	if view := c.board.Config.Value().View; view != nil {
		bound = view.Inventory.Rules.MaxIsolation
	}
	members := c.board.Members.Value().Others
	others := make([]contact.Gateway, 0, len(members))
	for _, m := range members {
		others = append(others, contact.Gateway{LastHeardAt: m.LastHeardAt, StoreReadAt: m.StoreReadAt, Stopped: m.ConnectionRefused})
	}
	validUntil := contact.ValidUntil(now, c.board.StoreContact.Value().StoreReadAt, others, bound)
	current := now.Before(validUntil)
	if current {
		c.setCurrent(true)
	}
	c.board.Freshness.Publish(blackboard.Freshness{ValidUntil: validUntil})
	if !current {
		c.setCurrent(false)
	}
}

// setCurrent publishes whether the configuration may be used, if that changed. When the
// configuration becomes usable, it is called before the new time that lets requests in is
// published; when it is no longer usable, after the time that keeps them out.
func (c *Controller) setCurrent(current bool) {
	if c.board.ConfigCurrent.Value() == current {
		return
	}
	c.board.ConfigCurrent.Publish(current)
	c.log.Info().Bool("current", current).Msg("configuration freshness changed")
}
