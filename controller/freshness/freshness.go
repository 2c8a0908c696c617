// Package freshness keeps on the board how long a gateway may use its
// configuration.
package freshness

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/policy/contact"
)

const interval = 250 * time.Millisecond

// Controller weighs the last contacts with the store and the other gateways. It
// writes Board.Freshness and Board.Current.
type Controller struct {
	board *blackboard.Board
	log   *log.Logger
}

// New returns a Controller.
func New(board *blackboard.Board, logger *log.Logger) *Controller {
	return &Controller{board: board, log: logger}
}

// Run keeps the board up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.weigh(time.Now())
		select {
		case <-ticker.C:
		case <-c.board.Contact.Load().Changed():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) weigh(now time.Time) {
	bound := fleet.DefaultIsolation
	if view := c.board.Config.Value().View; view != nil {
		bound = view.Inventory.Rules.Isolation
	}
	members := c.board.Members.Value().Others
	others := make([]contact.Gateway, 0, len(members))
	for _, m := range members {
		others = append(others, contact.Gateway{Heard: m.Heard, StoreRead: m.StoreRead, Dead: m.Refused})
	}
	until := contact.Until(now, c.board.Contact.Value().StoreRead, others, bound)
	current := now.Before(until)
	if current {
		c.setCurrent(true)
	}
	c.board.Freshness.Publish(blackboard.Freshness{Until: until})
	if !current {
		c.setCurrent(false)
	}
}

// setCurrent publishes whether the configuration may be used, if that changed.
// It is called before a request can be admitted and after none can be.
func (c *Controller) setCurrent(current bool) {
	if c.board.Current.Value() == current {
		return
	}
	c.board.Current.Publish(current)
	c.log.Info().Bool("current", current).Msg("configuration freshness")
}
