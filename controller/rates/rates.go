// Package rates limits the requests of each workspace by a token bucket in the store that
// all entry daemons share. It takes tokens from the bucket in small grants, so that most
// requests are admitted without a call of the store.
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

// Table is the store's table of shared buckets. It holds one row for each workspace, in a
// part named after the workspace.
const Table = "rates"

// bucketRow is the name of the row.
const bucketRow = "bucket"

const (
	// overdraftDelay is how long a call of the store may take before requests get tokens
	// on overdraft.
	overdraftDelay = 60 * time.Millisecond
	// overdraftLifetime is how long the tokens of one overdraft grant may be used.
	overdraftLifetime = 150 * time.Millisecond
	// storeRetryInterval is the time between two calls of a store that is unavailable.
	storeRetryInterval = 150 * time.Millisecond
	// maxTokensAhead is how many tokens a daemon grants before it asks the store for them
	// while the shared bucket is nearly full. An overdraft of this size is always
	// allowed.
	maxTokensAhead = 3
	// maxRateAhead is the rate, in requests per second, up to which tokens are granted
	// before the store is asked. Callers with a higher rate may send more in the time
	// between two load reports than the limit leaves room for.
	maxRateAhead = 20
	// overdraftDelayAfterOutage replaces overdraftDelay after an outage, when all daemons
	// call the store at once and its bucket is full although the daemons have admitted
	// requests by their estimates.
	overdraftDelayAfterOutage = 100 * time.Millisecond
	// availableReadAge is the largest age of the last read of the configuration at which
	// the store counts as available again.
	availableReadAge = time.Second
	// minReportingFraction is the fraction of the daemons whose load reports must arrive
	// before requests are admitted ahead of the store.
	minReportingFraction = 0.9
	// estimateInterval is the time between two updates of the estimates.
	estimateInterval = 200 * time.Millisecond
	// averagingTime is the time constant of the average of requests per second.
	averagingTime = 1500 * time.Millisecond
	// minAveragingTime is the shortest time over which requests per second are computed.
	minAveragingTime = 300 * time.Millisecond
	// minEmptyWait is the shortest time for which an empty bucket is not asked again.
	minEmptyWait = 20 * time.Millisecond
	// maxTries bounds the conflicts with other daemons while one grant is taken.
	maxTries = 10
	// maxConflictPause bounds the random pause after a conflict.
	maxConflictPause = 8 * time.Millisecond
	// callTimeout bounds the time in which one grant is taken, including all retries.
	callTimeout = 1500 * time.Millisecond
)

// Controller writes the blackboard's RateLimiters section, and the grants and estimates
// in it.
type Controller struct {
	board *blackboard.EntryBoard
	store store.Store
	log   *log.Logger
}

// New returns a controller that shares the buckets in s with the controllers of other
// daemons.
func New(board *blackboard.EntryBoard, s store.Store, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, log: logger}
}

// Run keeps a limiter for each workspace of the catalog that has a rate, until ctx is
// done.
func (c *Controller) Run(ctx context.Context) {
	cancels := make(map[string]context.CancelFunc)
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	ticker := time.NewTicker(estimateInterval)
	defer ticker.Stop()
	snap := c.board.Catalog.Load()
	if snap.Value != nil {
		c.reconcile(ctx, snap.Value, cancels)
	}
	for {
		select {
		case <-snap.Changed():
			snap = c.board.Catalog.Load()
			c.reconcile(ctx, snap.Value, cancels)
		case <-ticker.C:
			c.updateEstimates()
		case <-ctx.Done():
			return
		}
	}
}

// updateEstimates updates this daemon's estimate of each shared bucket.
func (c *Controller) updateEstimates() {
	cat := c.board.Catalog.Value()
	for name, limiter := range c.board.RateLimiters.Value().ByWorkspace {
		if w := cat.Workspace(name); w != nil {
			limiter.Estimate.Update(func(old bucket.Estimate) bucket.Estimate { return c.advanceEstimate(old, limiter, limitOf(w)) })
		}
	}
}

// advanceEstimate returns the estimate of the limiter's shared bucket as it is now,
// computed from an earlier one.
func (c *Controller) advanceEstimate(old bucket.Estimate, limiter *blackboard.RateLimiter, limit bucket.Limit) bucket.Estimate {
	admitted := limiter.AdmittedHere.Load() + limiter.AdmittedByPeers.Load()
	return old.Next(limit, c.board.ReportingFraction(), admitted, clock.Now())
}

// limitOf returns the workspace's limit. A bucket holds at least one token, since a
// smaller one would admit nothing.
func limitOf(w *catalog.Workspace) bucket.Limit {
	return bucket.Limit{Rate: w.Rate, Burst: math.Max(w.Burst, 1)}
}

// reconcile starts and stops limiters so that they match the catalog, and publishes them.
func (c *Controller) reconcile(ctx context.Context, cat *catalog.Catalog, cancels map[string]context.CancelFunc) {
	next := blackboard.NewRateLimiters()
	old := c.board.RateLimiters.Value()
	for _, w := range cat.Workspaces() {
		if w.Rate <= 0 {
			continue
		}
		limiter := old.ByWorkspace[w.Name]
		if limiter == nil {
			limiter = blackboard.NewRateLimiter()
			limiterCtx, cancel := context.WithCancel(ctx)
			cancels[w.Name] = cancel
			go c.newRefiller(w.Name, limiter).run(limiterCtx)
		}
		next.ByWorkspace[w.Name] = limiter
	}
	for name := range old.ByWorkspace {
		if next.ByWorkspace[name] == nil {
			cancels[name]()
			delete(cancels, name)
		}
	}
	c.board.RateLimiters.Publish(next)
}
