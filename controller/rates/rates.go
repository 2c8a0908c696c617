// Package rates gets this daemon's part of each workspace's rate out of a token
// bucket in the store that all daemons share.
package rates

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/store"
)

// Table holds one row with the bucket of each workspace, in a part of its own.
const Table = "rates"

const bucketRow = "bucket"

const (
	// patience is how long a call of the store may take before requests get
	// tokens on credit.
	patience = 60 * time.Millisecond
	// creditTime is the time for which tokens are given on credit at once.
	creditTime = 150 * time.Millisecond
	// averageTime is the time over which requests are averaged.
	averageTime = 1500 * time.Millisecond
	// minAverageTime is the shortest time over which a rate is measured.
	minAverageTime = 300 * time.Millisecond
	// evenPart is the part of its even share of the rate that a daemon gives on
	// credit even if it was given nothing lately.
	evenPart = 0.5
	// minWait is the shortest wait for an empty bucket.
	minWait = 20 * time.Millisecond
	// maxTries bounds the conflicts with other daemons for one grant.
	maxTries = 10
	// conflictPause is the longest pause after a conflict.
	conflictPause = 8 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
)

// Controller keeps Shares.
type Controller struct {
	board *blackboard.Entry
	store store.Store
	log   *log.Logger
}

// New returns the controller.
func New(board *blackboard.Entry, s store.Store, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, log: logger}
}

// Run keeps a share for each workspace of the catalog until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	stops := make(map[string]context.CancelFunc)
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for {
		snap := c.board.Catalog.Load()
		if snap.Value != nil {
			c.reconcile(ctx, snap.Value, stops)
		}
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts and stops the shares so that they match the catalog.
func (c *Controller) reconcile(ctx context.Context, cat *catalog.Catalog, stops map[string]context.CancelFunc) {
	next := blackboard.NewShares()
	old := c.board.Shares.Value()
	for _, w := range cat.Workspaces() {
		if w.Rate <= 0 {
			continue
		}
		share := old.ByWorkspace[w.Name]
		if share == nil {
			share = blackboard.NewShare()
			shareCtx, stop := context.WithCancel(ctx)
			stops[w.Name] = stop
			go c.newAccount(w.Name, share).run(shareCtx)
		}
		next.ByWorkspace[w.Name] = share
	}
	for name := range old.ByWorkspace {
		if next.ByWorkspace[name] == nil {
			stops[name]()
			delete(stops, name)
		}
	}
	c.board.Shares.Publish(next)
}
