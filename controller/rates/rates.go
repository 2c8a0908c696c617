// Package rates gets this daemon's part of each workspace's rate out of a token
// bucket in the store that all daemons share.
package rates

import (
	"context"
	"math"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/bucket"
	"github.com/baobablanding/baobablanding/store"
)

// Table holds one row with the bucket of each workspace, in a part of its own.
const Table = "rates"

const bucketRow = "bucket"

const (
	// callPatience is how long a call of the store may take before requests get
	// tokens on credit.
	callPatience = 60 * time.Millisecond
	// creditTime is the time for which tokens are given on credit at once.
	creditTime = 150 * time.Millisecond
	// retryTime is the time between two calls of a store that fails.
	retryTime = 150 * time.Millisecond
	// maxDebt is how many tokens a daemon gives before it asks the store for them,
	// while much is left.
	maxDebt = 3
	// maxAdvanceRate is the rate, in requests a second, up to which it does so:
	// callers of a higher one may send more within the time of a load report than the
	// limit leaves room for.
	maxAdvanceRate = 20
	// returnPatience is the same as callPatience after an outage, when all daemons
	// ask at once and the bucket in the store is full beside their estimates.
	returnPatience = 100 * time.Millisecond
	// returnedAge is how old the last reading of the configuration is at most when
	// the store counts as reached again.
	returnedAge = time.Second
	// fullyHeard is the part of the daemons that must be heard before requests are
	// admitted ahead of the store.
	fullyHeard = 0.9
	// estimateInterval is the time between two updates of the estimates.
	estimateInterval = 200 * time.Millisecond
	// averageTime is the time over which requests are averaged.
	averageTime = 1500 * time.Millisecond
	// minAverageTime is the shortest time over which a rate is measured.
	minAverageTime = 300 * time.Millisecond
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
	ticker := time.NewTicker(estimateInterval)
	defer ticker.Stop()
	snap := c.board.Catalog.Load()
	if snap.Value != nil {
		c.reconcile(ctx, snap.Value, stops)
	}
	for {
		select {
		case <-snap.Changed():
			snap = c.board.Catalog.Load()
			c.reconcile(ctx, snap.Value, stops)
		case <-ticker.C:
			c.updateEstimates()
		case <-ctx.Done():
			return
		}
	}
}

// updateEstimates updates what the daemon estimates of each shared bucket.
func (c *Controller) updateEstimates() {
	cat := c.board.Catalog.Value()
	for name, share := range c.board.Shares.Value().ByWorkspace {
		if w := cat.Workspace(name); w != nil {
			share.Estimate.Update(func(old bucket.Estimate) bucket.Estimate { return c.estimate(old, share, limitOf(w)) })
		}
	}
}

// estimate returns the estimate of the share's bucket as it is now, from an older
// one.
func (c *Controller) estimate(old bucket.Estimate, share *blackboard.Share, limit bucket.Limit) bucket.Estimate {
	admitted := share.Admitted.Load() + share.PeersAdmitted.Load()
	return old.Next(limit, c.board.HeardPart(), admitted, clock.Now())
}

func limitOf(w *catalog.Workspace) bucket.Limit {
	return bucket.Limit{Rate: w.Rate, Burst: math.Max(w.Burst, 1)}
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
