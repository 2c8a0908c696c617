// Package jobs follows the batch jobs in the store and runs the items of those
// that this daemon owns, where engines have room beside online requests.
package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/policy/due"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/relay"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// tick is the time between two looks at the engines.
	tick = 40 * time.Millisecond
	// reserve is the number of slots of an engine that items leave free for online
	// requests.
	reserve = 1
	// startValidity is how old the last reading of the store may be when an item
	// is started: an engine that leaves, a data centre that is taken out or the
	// end of a job would be noticed too late.
	startValidity = 1800 * time.Millisecond
	// claimDelay is how long an owner must be missing before its job is taken over:
	// a daemon that has just started may own jobs before others know of it.
	claimDelay = time.Second
	// trimPause is the time between two takings from one engine, after which the
	// other daemons know of the first.
	trimPause = 120 * time.Millisecond
	// maxRunning bounds the items that one daemon runs at once.
	maxRunning = 160
)

// Controller keeps Jobs and Demand.
type Controller struct {
	board   *blackboard.Entry
	store   store.Store
	ledger  *job.Ledger
	engines relay.Engines
	self    blackboard.Peer
	log     *log.Logger

	owned    map[job.Key]*owned
	claiming map[job.Key]bool
	events   chan func()
	trimmed  map[string]clock.Instant  // by engine: when items were last taken away
	orphaned map[job.Key]clock.Instant // when the owner was first found missing
	running  int
	runTime  due.RunTime
	stopping atomic.Bool
}

// New returns the controller of the daemon.
func New(board *blackboard.Entry, s store.Store, engines relay.Engines, self blackboard.Peer, logger *log.Logger) *Controller {
	return &Controller{
		board: board, store: s, ledger: job.NewLedger(s), engines: engines, self: self, log: logger,
		owned: make(map[job.Key]*owned), claiming: make(map[job.Key]bool), orphaned: make(map[job.Key]clock.Instant),
		events: make(chan func(), 256), trimmed: make(map[string]clock.Instant),
	}
}

// owned is a job whose items this daemon runs.
type owned struct {
	key        job.Key
	head       *job.Versioned
	seen       clock.Instant // when the daemon came to know the job
	items      []job.Item    // nil until they are loaded
	loading    bool
	waiting    []*progress
	running    map[int]*progress
	finished   []job.Finished
	committing bool
}

// Run runs items until ctx is done. Then it stops the items that run.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		snap := c.board.Jobs.Load()
		c.reconcile(ctx, snap.Value)
		c.trim()
		c.start(ctx)
		c.publishDemand()
		select {
		case <-ticker.C:
		case <-snap.Changed():
		case event := <-c.events:
			event()
			c.drainEvents()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) drainEvents() {
	for {
		select {
		case event := <-c.events:
			event()
		default:
			return
		}
	}
}

// post hands an event to the controller's goroutine.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// reconcile takes in new jobs and drops those that ended or have another owner.
func (c *Controller) reconcile(ctx context.Context, jobs *blackboard.Jobs) {
	for key, head := range jobs.All() {
		o := c.owned[key]
		if o != nil {
			if head.Version > o.head.Version {
				o.head = head
			}
			continue
		}
		if !head.Open() {
			continue
		}
		if head.Owner == c.self.Incarnation {
			c.adopt(key, head)
		} else if c.succeeds(key, head) {
			c.claim(ctx, key, head)
		}
	}
	for key, o := range c.owned {
		switch {
		case jobs.Get(key) == nil || !o.head.Open():
			c.drop(o)
		case o.head.Owner != c.self.Incarnation && !o.committing:
			c.drop(o)
		case o.items == nil && !o.loading:
			c.load(ctx, o)
		default:
			c.commit(ctx, o)
		}
	}
}

func (c *Controller) adopt(key job.Key, head *job.Versioned) {
	c.owned[key] = &owned{key: key, head: head, seen: clock.Now(), running: make(map[int]*progress)}
	c.log.Info().Str("job", key.ID).Str("workspace", key.Workspace).Int64("head_version", head.Version).
		Int("items", head.Total).Int("done", len(head.Done)).Msg("batch job is run here")
}

// drop stops the items of a job that is not run here any more.
func (c *Controller) drop(o *owned) {
	for _, p := range o.running {
		p.cancel()
	}
	delete(c.owned, o.key)
	delete(c.orphaned, o.key)
	c.log.Info().Str("job", o.key.ID).Bool("ended", o.head.Ended).Int("done", len(o.head.Done)).
		Str("owner", o.head.Owner).Msg("batch job is no longer run here")
}

// succeeds tells whether this daemon takes the job over, since its owner does not
// run any more.
func (c *Controller) succeeds(key job.Key, head *job.Versioned) bool {
	roster := c.board.Roster.Value()
	if !roster.Known || roster.Has(head.Owner) || !roster.Has(c.self.Incarnation) {
		delete(c.orphaned, key)
		return false
	}
	if c.orphaned[key] == 0 {
		c.orphaned[key] = clock.Now()
	}
	if clock.Since(c.orphaned[key]) < claimDelay {
		return false
	}
	var best string
	var bestHash uint64
	id := xxhash.Sum64String(key.ID)
	for i := range roster.Peers {
		hash := blackboard.Mix(id, xxhash.Sum64String(roster.Peers[i].Incarnation))
		if best == "" || hash > bestHash {
			best, bestHash = roster.Peers[i].Incarnation, hash
		}
	}
	return best == c.self.Incarnation
}

func (c *Controller) claim(ctx context.Context, key job.Key, head *job.Versioned) {
	if c.claiming[key] {
		return
	}
	c.claiming[key] = true
	from := head.Owner
	go func() {
		claimed, err := c.ledger.Claim(ctx, key, head, from, c.self.Incarnation)
		c.post(ctx, func() {
			delete(c.claiming, key)
			if err != nil {
				c.orphaned[key] = clock.Now() // wait before the next attempt
				c.log.Warn().Str("job", key.ID).Str("owner", from).Err(err).Msg("batch job was not taken over")
				return
			}
			c.log.Info().Str("job", key.ID).Str("from", from).Str("owner", claimed.Owner).Msg("batch job was taken over")
			c.board.NoteJob(key, claimed)
		})
	}()
}

// load reads the items of a job.
func (c *Controller) load(ctx context.Context, o *owned) {
	o.loading = true
	go func() {
		items, err := c.ledger.Items(ctx, o.key, o.head.Chunks)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Err(err).Msg("items of a batch job were not read")
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
			}
		}
		c.post(ctx, func() {
			o.loading = false
			if err == nil {
				c.loaded(o, items)
			}
		})
	}()
}

func (c *Controller) loaded(o *owned, items []job.Item) {
	o.items = items
	done := make(map[int]bool)
	for _, index := range o.head.Done {
		done[index] = true
	}
	for i := range items {
		if !done[i] {
			o.waiting = append(o.waiting, newProgress(o, i))
		}
	}
}

// commit writes the results that wait, one transaction a job at a time.
func (c *Controller) commit(ctx context.Context, o *owned) {
	if o.committing || len(o.finished) == 0 {
		return
	}
	batch := o.finished
	if len(batch) > maxCommit {
		batch = batch[:maxCommit]
	}
	o.finished = o.finished[len(batch):]
	o.committing = true
	head := o.head
	go func() {
		next, err := c.ledger.Append(ctx, o.key, head, c.self.Incarnation, batch)
		if err != nil {
			c.log.Warn().Str("job", o.key.ID).Int("results", len(batch)).Err(err).Msg("results were not written")
			next = c.reread(ctx, o.key)
		}
		c.post(ctx, func() { c.committed(o, next, batch, err) })
	}()
}

const (
	// maxCommit bounds the results of one transaction, which holds at most 1 MB.
	maxCommit = 6
	// commitRetry is the time after a transaction that failed.
	commitRetry = 150 * time.Millisecond
)

// reread returns the head after a transaction that failed, or nil.
func (c *Controller) reread(ctx context.Context, key job.Key) *job.Versioned {
	select {
	case <-time.After(commitRetry):
	case <-ctx.Done():
		return nil
	}
	head, err := c.ledger.Head(ctx, key)
	if err != nil {
		c.log.Warn().Str("job", key.ID).Err(err).Msg("head of a batch job was not read")
		return nil
	}
	return head
}

func (c *Controller) committed(o *owned, next *job.Versioned, batch []job.Finished, err error) {
	o.committing = false
	if next != nil {
		if next.Version > o.head.Version {
			o.head = next
		}
		c.board.NoteJob(o.key, next)
	}
	if err != nil && o.head.Open() {
		o.finished = append(batch, o.finished...)
	}
}

// trim takes items away from engines that have more requests than slots.
func (c *Controller) trim() {
	now := clock.Now()
	for _, e := range c.board.Engines.Value().All {
		if now.Sub(c.trimmed[e.ID]) < trimPause {
			continue
		}
		excess := placement.Excess(e, rand.Float64())
		if !e.Usable() {
			excess = 0 // a leaving engine finishes what it runs
		}
		if excess == 0 {
			continue
		}
		c.trimmed[e.ID] = now
		for _, p := range c.latest(e.ID, excess) {
			c.log.Info().Str("item", p.item().ID).Str("job", p.job.key.ID).Str("engine", e.ID).
				Int("engine_busy", e.Busy()).Int64("event", p.last).Msg("item gives way to online requests")
			p.cut = true
			p.cancel()
		}
	}
}

// latest returns up to n items that run at the engine, in the reverse order
// of their starts.
func (c *Controller) latest(engine string, n int) []*progress {
	var found []*progress
	for _, o := range c.owned {
		for _, p := range o.running {
			if p.engine == engine && !p.cut {
				found = append(found, p)
			}
		}
	}
	now := c.board.StoreNow()
	slices.SortFunc(found, func(a, b *progress) int { return due.Compare(c.due(b), c.due(a), now) })
	return found[:min(n, len(found))]
}

// due returns what the order of the item's job depends on.
func (c *Controller) due(p *progress) due.Job {
	head := &p.job.head.Head
	ran := p.ran
	if p.cancel != nil {
		ran += clock.Since(p.started)
	}
	return due.Job{Due: head.Submitted + head.Due, Remaining: c.runTime.Remaining(ran)}
}

// start gives waiting items to engines with room, in the order of package due.
func (c *Controller) start(ctx context.Context) {
	if c.stopping.Load() || !c.board.Reading.Value().Within(startValidity, clock.Now()) {
		return
	}
	var jobs []*owned
	for _, o := range c.owned {
		if len(o.waiting) > 0 && o.head.Open() && o.head.Owner == c.self.Incarnation {
			jobs = append(jobs, o)
		}
	}
	now := c.board.StoreNow()
	slices.SortFunc(jobs, func(a, b *owned) int { return due.Compare(c.due(a.waiting[0]), c.due(b.waiting[0]), now) })
	for _, o := range jobs {
		if !c.due(o.waiting[0]).OnTime(now) && c.board.Rivals.Load() > 0 {
			return // other daemons have items that can end in time
		}
		for len(o.waiting) > 0 && c.running < maxRunning {
			if !c.startItem(ctx, o) {
				break
			}
		}
	}
}

// startItem starts the job's next item and tells whether an engine had room.
func (c *Controller) startItem(ctx context.Context, o *owned) bool {
	cat := c.board.Catalog.Value()
	route := cat.RouteByName(o.head.Route)
	if route == nil {
		c.giveUpAll(o, "the route was removed")
		return false
	}
	if route.MaxAge > 0 && clock.Since(o.seen) > route.MaxAge {
		c.giveUpAll(o, "the job is too old")
		return false
	}
	service := cat.Service(route.Pick(rand.Float64()))
	if service == nil {
		return false
	}
	p := o.waiting[0]
	query := placement.BatchQuery{
		Query: placement.Query{
			DataCentre: c.self.DataCentre, Now: clock.Now(), ColdRate: service.ColdRate,
			Daemons: c.board.Roster.Value().Size(), Random: rand.Float64, Tried: p.wasRefused,
			Homes: c.board.Homes.Value(),
		},
		Reserve: reserve,
		Rivals:  int(c.board.Rivals.Load()),
	}
	engine := placement.ChooseForBatch(c.board.Engines.Value().OfService(service.Name), &query)
	if engine == nil {
		return false
	}
	o.waiting = o.waiting[1:]
	c.run(ctx, p, route, engine)
	return true
}

// giveUpAll gives up every item of the job that waits.
func (c *Controller) giveUpAll(o *owned, reason string) {
	for _, p := range o.waiting {
		c.log.Warn().Str("item", p.item().ID).Str("job", o.key.ID).Str("reason", reason).Msg("item is given up")
		o.finished = append(o.finished, p.result(job.GivenUp))
	}
	o.waiting = nil
}

// publishDemand shows how many items wait here that can end in time.
func (c *Controller) publishDemand() {
	waiting := 0
	now := c.board.StoreNow()
	for _, o := range c.owned {
		if len(o.waiting) > 0 && c.due(o.waiting[0]).OnTime(now) {
			waiting += len(o.waiting)
		}
	}
	if c.board.Demand.Value().Waiting != waiting {
		c.board.Demand.Publish(blackboard.Demand{Waiting: waiting})
	}
}

// Stop stops the starting of items. Those that run go on.
func (c *Controller) Stop() { c.stopping.Store(true) }
