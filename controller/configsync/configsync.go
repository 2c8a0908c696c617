// Package configsync brings the accepted configuration to the board: from the
// platform's store, or from other processes while the store is out.
package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/store"
)

const (
	pollInterval  = time.Second
	retryInterval = 100 * time.Millisecond

	// pollsPerIsolation is the least number of polls in the time for which a
	// reading of the store lets a gateway serve.
	pollsPerIsolation = 4

	storeTimeout = 700 * time.Millisecond
	peerTimeout  = 700 * time.Millisecond
)

// Peers asks other processes for their configuration.
type Peers interface {
	// Fetch returns the newest configuration that is reached and newer than
	// have, or false.
	Fetch(ctx context.Context, have fleet.Head) (configstore.Bundle, bool)
}

// Controller follows the head of the configuration, and reads it at once when
// another process is noticed to have a newer version. It writes Board.Config
// and Board.Contact. A version is never replaced by a lower one.
type Controller struct {
	board  *blackboard.Board
	store  *configstore.Store
	peers  Peers
	log    *log.Logger
	record uint64 // version of the head's record in the table
}

// New returns a Controller.
func New(board *blackboard.Board, store *configstore.Store, peers Peers, logger *log.Logger) *Controller {
	return &Controller{board: board, store: store, peers: peers, log: logger}
}

// version returns the version in force, or 0.
func (c *Controller) version() uint64 { return c.board.Config.Value().Head.Version }

// Run follows the configuration until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	reachable := true
	for {
		noticed, accepted := c.board.Noticed.Load(), c.board.Accepted.Load()
		c.take(accepted.Value)
		err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if ok := err == nil; ok != reachable {
			reachable = ok
			c.log.Info().Bool("reachable", ok).Err(err).Msg("configuration store")
		}
		if err != nil || c.version() < noticed.Value {
			c.askPeers(ctx)
		}
		timer.Reset(c.nextPoll(noticed.Value))
		select {
		case <-timer.C:
		case <-noticed.Changed():
		case <-accepted.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// nextPoll returns the time until the next poll: short while a noticed version
// has not been obtained.
func (c *Controller) nextPoll(noticed uint64) time.Duration {
	if c.version() < noticed {
		return retryInterval
	}
	view := c.board.Config.Value().View
	if view == nil {
		return pollInterval
	}
	return min(pollInterval, view.Inventory.Rules.Isolation/pollsPerIsolation)
}

// poll reads the head from the store and puts a newer version in force.
func (c *Controller) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := time.Now()
	head, record, err := c.store.Head(ctx, c.record)
	if errors.Is(err, store.ErrNotModified) || errors.Is(err, store.ErrNotFound) {
		c.board.Contact.Publish(blackboard.Contact{StoreRead: asked})
		return nil
	}
	if err != nil {
		return err
	}
	if head.Version > c.version() {
		prev, prevHead := c.current()
		state, err := c.store.Load(ctx, head, prev, prevHead)
		if err != nil {
			return err
		}
		c.enforce(head, state)
	}
	c.record = record
	c.board.Contact.Publish(blackboard.Contact{StoreRead: asked})
	return nil
}

// current returns the state in force and its head; the state is nil before the
// first one.
func (c *Controller) current() (*fleet.State, fleet.Head) {
	config := c.board.Config.Value()
	if config.View == nil {
		return nil, fleet.Head{}
	}
	return &config.View.State, config.Head
}

// askPeers puts the newest version of other processes in force.
func (c *Controller) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	prev, prevHead := c.current()
	bundle, ok := c.peers.Fetch(ctx, prevHead)
	if !ok || bundle.Head.Version <= prevHead.Version {
		return
	}
	state, err := bundle.State(prev, prevHead)
	if err != nil {
		c.log.Warn().Err(err).Msg("configuration from another process")
		return
	}
	c.enforce(bundle.Head, state)
}

// take puts a configuration in force that was accepted here.
func (c *Controller) take(accepted *blackboard.Config) {
	if accepted != nil && accepted.Head.Version > c.version() {
		c.publish(accepted)
	}
}

func (c *Controller) enforce(head fleet.Head, state fleet.State) {
	c.publish(&blackboard.Config{View: fleet.NewView(state), Head: head})
}

func (c *Controller) publish(config *blackboard.Config) {
	c.board.Config.Publish(config)
	c.log.Info().Uint64("version", config.Head.Version).Str("author", config.Head.Author).Msg("configuration in force")
}
