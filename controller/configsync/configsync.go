// Package configsync brings the accepted configuration from the platform's
// store to the board.
package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/platform"
)

const pollInterval = time.Second

// Controller follows the head of the configuration. It writes Board.Config and
// Board.Contact.
type Controller struct {
	board  *blackboard.Board
	store  *configstore.Store
	log    *log.Logger
	record uint64
	head   configstore.Head
}

// New returns a Controller.
func New(board *blackboard.Board, store *configstore.Store, logger *log.Logger) *Controller {
	return &Controller{board: board, store: store, log: logger}
}

// Run follows the configuration until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	reachable := true
	for {
		err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			c.board.Contact.Publish(blackboard.Contact{StoreRead: time.Now()})
		}
		if ok := err == nil; ok != reachable {
			reachable = ok
			c.log.Info().Bool("reachable", ok).Err(err).Msg("configuration store")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the head and publishes a newer version.
func (c *Controller) poll(ctx context.Context) error {
	head, record, err := c.store.Head(ctx, c.record)
	if errors.Is(err, platform.ErrNotModified) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var prev *fleet.State
	if view := c.board.Config.Value().View; view != nil {
		prev = &view.State
	}
	if prev != nil && head.Version <= prev.Version {
		return nil
	}
	state, err := c.store.Load(ctx, head, prev, c.head)
	if err != nil {
		return err
	}
	c.record, c.head = record, head
	c.board.Config.Publish(&blackboard.Config{View: fleet.NewView(state)})
	c.log.Info().Uint64("version", head.Version).Str("author", head.Author).Msg("configuration in force")
	return nil
}
