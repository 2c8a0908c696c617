// Package rates gets this daemon's part of each workspace's rate out of a token
// bucket in the store that all daemons share.
package rates

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/bucket"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
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

// account gets the tokens of one workspace. It belongs to one goroutine.
type account struct {
	*Controller
	workspace string
	share     *blackboard.Share

	state     bucket.State
	version   int64 // of the row; 0 if it does not exist
	known     bool  // state and version are as they were last seen
	storeNow  time.Duration
	seen      clock.Instant // when storeNow was received
	debt      int           // tokens given on credit and not taken yet
	asked     int64
	averaged  clock.Instant
	perSecond float64 // requests that asked
	granted   float64 // tokens a second that were given
	given     int     // tokens since the last average
	lost      bool
}

func (c *Controller) newAccount(workspace string, share *blackboard.Share) *account {
	return &account{Controller: c, workspace: workspace, share: share, averaged: clock.Now()}
}

func (a *account) run(ctx context.Context) {
	for {
		select {
		case <-a.share.Needed:
			a.refill(ctx)
			if a.lost {
				timer.Sleep(ctx, creditTime)
			}
		case <-ctx.Done():
			return
		}
	}
}

// limit returns the workspace's rate, or false if it has none any more.
func (a *account) limit() (bucket.Limit, bool) {
	w := a.board.Catalog.Value().Workspace(a.workspace)
	if w == nil || w.Rate <= 0 {
		return bucket.Limit{}, false
	}
	return bucket.Limit{Rate: w.Rate, Burst: math.Max(w.Burst, 1)}, true
}

// average updates the number of requests a second.
func (a *account) average() {
	now := clock.Now()
	passed := now.Sub(a.averaged)
	if passed <= 0 {
		return
	}
	asked := a.share.Asked.Load()
	rate := float64(asked-a.asked) / math.Max(passed.Seconds(), minAverageTime.Seconds())
	weight := 1 - math.Exp(-passed.Seconds()/averageTime.Seconds())
	a.perSecond += weight * (rate - a.perSecond)
	a.asked, a.averaged = asked, now
	given := float64(a.given) / math.Max(passed.Seconds(), minAverageTime.Seconds())
	a.granted += weight * (given - a.granted)
	a.given = 0
}

// refill replaces the share's grant. While the store does not answer, requests
// get tokens on credit.
func (a *account) refill(ctx context.Context) {
	limit, ok := a.limit()
	if !ok || !a.share.Grant.Value().Low(clock.Now()) {
		return
	}
	a.average()
	unused := 0
	if grant := a.share.Grant.Value(); grant.Expired(clock.Now()) {
		unused = grant.Close()
	}
	want := bucket.Want(a.perSecond, limit)
	done := make(chan outcome, 1)
	go func() { done <- a.take(ctx, limit, want, unused) }()
	wait := patience
	for {
		select {
		case o := <-done:
			a.finish(o, want, limit)
			return
		case <-time.After(wait):
			a.giveCredit(limit)
			wait = creditTime
		case <-ctx.Done():
			<-done
			return
		}
	}
}

// giveCredit publishes tokens that were not taken from the bucket. It gives no
// more than the daemon was given lately, or a part of its even share: whatever
// callers ask meanwhile, all daemons together stay near the rate.
func (a *account) giveCredit(limit bucket.Limit) {
	unused := a.share.Grant.Value().Close()
	a.debt -= min(unused, a.debt)
	even := limit.Rate / float64(a.board.Roster.Value().Size())
	rate := math.Max(math.Min(a.granted, limit.Rate), evenPart*even)
	exact := rate * creditTime.Seconds()
	tokens := int(exact)
	if rand.Float64() < exact-float64(tokens) {
		tokens++
	}
	a.debt += tokens
	now := clock.Now()
	a.share.Grant.Publish(blackboard.NewGrant(tokens, now.Add(2*creditTime), 0))
}

// outcome is the end of an attempt to take tokens.
type outcome struct {
	taken    int
	returned int
	wait     time.Duration // until the next token, if none was taken
	err      error
}

// take takes tokens from the bucket in the store.
func (a *account) take(ctx context.Context, limit bucket.Limit, want, unused int) outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxTries {
		if !a.known {
			if err := a.read(ctx, limit); err != nil {
				return outcome{err: err}
			}
		}
		now := a.storeNow + clock.Since(a.seen)
		next, taken := a.state.Refill(limit, now).Take(limit, want+a.debt, unused)
		if taken == 0 {
			return outcome{wait: max(next.Wait(limit), minWait)}
		}
		err := a.commit(ctx, next)
		if err == nil {
			return outcome{taken: taken, returned: unused}
		}
		if !errors.Is(err, store.ErrConflict) {
			a.known = false
			return outcome{err: err}
		}
		a.adopt(err, limit)
		timer.Sleep(ctx, time.Duration(rand.Int64N(int64(conflictPause))))
	}
	return outcome{wait: minWait}
}

func (a *account) key() store.Key {
	return store.Key{Table: Table, Part: a.workspace, Name: bucketRow}
}

func (a *account) read(ctx context.Context, limit bucket.Limit) error {
	reading, err := a.store.Get(ctx, store.Range{Table: Table, Part: a.workspace, From: bucketRow, Limit: 1})
	if err != nil {
		return err
	}
	a.storeNow, a.seen, a.known = reading.Now, clock.Now(), true
	a.state, a.version = bucket.Full(limit, reading.Now), 0
	if len(reading.Rows) > 0 {
		return a.decode(reading.Rows[0])
	}
	return nil
}

func (a *account) decode(row store.Row) error {
	a.version = row.Version
	if err := json.Unmarshal(row.Value, &a.state); err != nil {
		return errors.Join(errors.New("bucket cannot be read"), err)
	}
	return nil
}

// adopt takes in the row that caused a conflict.
func (a *account) adopt(err error, limit bucket.Limit) {
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		a.known = false
		return
	}
	row, found := conflict.Find(a.key())
	if !found {
		a.state, a.version = bucket.Full(limit, a.storeNow), 0
		return
	}
	if err := a.decode(row); err != nil {
		a.log.Error().Str("workspace", a.workspace).Err(err).Msg("shared rate cannot be read; it starts anew")
		a.state = bucket.State{At: a.storeNow}
	}
}

func (a *account) commit(ctx context.Context, next bucket.State) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	reading, err := a.store.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: a.key(), Version: a.version}},
		Put: []store.Row{{Key: a.key(), Value: value}},
	})
	if err != nil {
		return err
	}
	a.state, a.version = next, reading.Version
	a.storeNow, a.seen = reading.Now, clock.Now()
	return nil
}

// finish publishes what was taken.
func (a *account) finish(o outcome, want int, limit bucket.Limit) {
	now := clock.Now()
	if o.err != nil {
		a.fail(o.err)
		return
	}
	if a.lost {
		a.lost = false
		a.log.Info().Str("workspace", a.workspace).Int("debt", a.debt).Msg("shared rate is reached again")
	}
	paid := min(max(o.taken-want, 0), a.debt)
	a.debt -= paid
	tokens := o.taken - paid + a.share.Grant.Value().Close()
	if tokens == 0 {
		a.share.Grant.Publish(blackboard.NewGrant(0, 0, now.Add(o.wait)))
		return
	}
	a.given += max(o.taken-o.returned, 0)
	a.share.Grant.Publish(blackboard.NewGrant(tokens, now.Add(bucket.Validity(limit)), 0))
}

// fail gives tokens on credit after a call that failed.
func (a *account) fail(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if !a.lost {
		a.lost = true
		a.log.Warn().Str("workspace", a.workspace).Float64("requests_per_s", a.perSecond).Err(err).
			Msg("shared rate is not reached; requests are admitted at the recent rate of this daemon")
	}
	if limit, ok := a.limit(); ok {
		a.giveCredit(limit)
	}
}
