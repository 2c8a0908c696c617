// Package configsync publishes the accepted configuration on the board. It reads the
// configuration from the platform's store, or from other processes while the store is
// unavailable or has not yet returned a version that another process already has.
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
	pollInterval = time.Second

	// retryInterval is the time between polls while another process is known to have a
	// newer version.
	retryInterval = 100 * time.Millisecond

	// pollsPerIsolation is the least number of polls within MaxIsolation, the time for
	// which one read of the store lets a gateway serve.
	pollsPerIsolation = 4

	storeTimeout = 700 * time.Millisecond
	peerTimeout  = 700 * time.Millisecond
)

// Peers asks other processes for their configuration.
type Peers interface {
	// Fetch returns the newest configuration of the processes that can be reached. It
	// returns false if none of them has a newer one than have.
	Fetch(ctx context.Context, have fleet.Head) (configstore.Bundle, bool)
}

// Controller polls the head of the configuration, at once when another process is known to
// have a newer version. It writes the configuration in force and the time of the last read
// of the store to the board. A version is never replaced by a lower one.
type Controller struct {
	board      *blackboard.Board
	store      *configstore.Store
	peers      Peers
	log        *log.Logger
	headRecord uint64 // version of the head's record in the table when it was last read
}

// New returns a Controller that reads the configuration from the store and from peers.
func New(board *blackboard.Board, store *configstore.Store, peers Peers, logger *log.Logger) *Controller {
	return &Controller{board: board, store: store, peers: peers, log: logger}
}

// version returns the version of the configuration in force, or 0 before the first one.
func (c *Controller) version() uint64 { return c.board.Config.Value().Head.Version }

// Run keeps the configuration in force up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	reachable := true
	for {
		newest, accepted := c.board.NewestKnownVersion.Load(), c.board.Accepted.Load()
		c.applyAccepted(accepted.Value)
		err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if ok := err == nil; ok != reachable {
			reachable = ok
			c.log.Info().Bool("reachable", ok).Err(err).Msg("configuration store reachability changed")
		}
		if err != nil || c.version() < newest.Value {
			c.fetchFromPeers(ctx)
		}
		timer.Reset(c.pollDelay(newest.Value))
		select {
		case <-timer.C:
		case <-newest.Changed():
		case <-accepted.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// pollDelay returns the time until the next poll. It is short while another process is
// known to have a version that is newer than the one in force here.
func (c *Controller) pollDelay(newest uint64) time.Duration {
	if c.version() < newest {
		return retryInterval
	}
	view := c.board.Config.Value().View
	if view == nil {
		return pollInterval
	}
	return min(pollInterval, view.Inventory.Rules.MaxIsolation/pollsPerIsolation)
}

// poll reads the head of the configuration from the store and puts a newer version in
// force. The time of the read is when it was sent, as changes that the store accepts after
// that may be missing from the response. A head that did not change since the last read, or
// that does not exist yet, is no error.
func (c *Controller) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	head, headRecord, err := c.store.Head(ctx, c.headRecord)
	if errors.Is(err, store.ErrNotModified) || errors.Is(err, store.ErrNotFound) {
		c.board.StoreContact.Publish(blackboard.StoreContact{StoreReadAt: sent})
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
		c.activate(head, state)
	}
	c.headRecord = headRecord
	c.board.StoreContact.Publish(blackboard.StoreContact{StoreReadAt: sent})
	return nil
}

// current returns the state in force and its head. Before the first one, the state is nil
// and the head is zero.
func (c *Controller) current() (*fleet.State, fleet.Head) {
	config := c.board.Config.Value()
	if config.View == nil {
		return nil, fleet.Head{}
	}
	return &config.View.State, config.Head
}

// fetchFromPeers asks other processes for their configuration and puts the newest one in
// force if it is newer than the one here.
func (c *Controller) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	prev, prevHead := c.current()
	bundle, ok := c.peers.Fetch(ctx, prevHead)
	if !ok || bundle.Head.Version <= prevHead.Version {
		return
	}
	state, err := bundle.State(prev, prevHead)
	if err != nil {
		c.log.Warn().Err(err).Msg("configuration from another process was rejected")
		return
	}
	c.activate(bundle.Head, state)
}

// applyAccepted puts a configuration in force that this process had accepted, if it is
// newer. It does nothing if accepted is nil.
func (c *Controller) applyAccepted(accepted *blackboard.Config) {
	if accepted != nil && accepted.Head.Version > c.version() {
		c.publish(accepted)
	}
}

// activate puts the state with the given head in force.
func (c *Controller) activate(head fleet.Head, state fleet.State) {
	c.publish(&blackboard.Config{View: fleet.NewView(state), Head: head})
}

func (c *Controller) publish(config *blackboard.Config) {
	c.board.Config.Publish(config)
	c.log.Info().Uint64("version", config.Head.Version).Str("author", config.Head.Author).Msg("configuration applied")
}
