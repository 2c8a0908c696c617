package rollouts

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/store"
)

// ownership is what this daemon knows of the owner of a roll-out. It belongs to the goroutine
// of Run.
type ownership struct {
	writing   bool          // a transaction is under way
	retryAt   clock.Instant // not before the next one after a failure
	orderSeen int64         // order whose begin is firstSeen
	firstSeen clock.Instant
	version   int64         // last known version of the row
	changedAt clock.Instant // when it was first seen
	stageFrom clock.Instant // an instant at which the stage was written already
	stageOf   stageID       // stage to which stageFrom belongs
}

// stageID identifies a stage of an order.
type stageID struct {
	order int64
	state string
}

const (
	// maxOrdersAge is the largest age of the last read of the orders with which a daemon
	// decides. It is no longer than leaseTime, so that a daemon that takes a roll-out over has
	// read its order.
	maxOrdersAge = 1800 * time.Millisecond
	// enginesDelay is how long a daemon that knows no engine of the version in use leaves the
	// claim to others.
	enginesDelay = 2500 * time.Millisecond
	// writeRetryDelay is the time after a transaction that failed.
	writeRetryDelay = 250 * time.Millisecond
	// writeTimeout bounds a transaction.
	writeTimeout = 1500 * time.Millisecond
)

// observeRecord notes when the row changed.
func (o *ownership) observeRecord(r versionedRecord, now clock.Instant) {
	if r.version != o.version {
		o.version, o.changedAt = r.version, now
		o.observeStage(r, now)
	}
}

// observeStage notes for how long the stage was written at least. An earlier owner wrote into
// the row how long it knew of it; that counts from when this daemon first saw that row.
func (o *ownership) observeStage(r versionedRecord, now clock.Instant) {
	from := now.Add(-time.Duration(r.InStageMs) * time.Millisecond)
	if stage := (stageID{r.Order, r.State}); o.stageOf != stage || from < o.stageFrom {
		o.stageFrom, o.stageOf = from, stage
	}
}

// decide claims the roll-out of the service if nobody else does, or decides on its next stage
// if this daemon owns it.
func (c *Controller) decide(ctx context.Context, service string, s *serviceState, now clock.Instant) {
	if s.writing || now < s.retryAt {
		return
	}
	orders := c.board.RolloutOrders.Value()
	if now.Sub(orders.ReadAt) > maxOrdersAge || c.board.StoreNow() == 0 {
		return
	}
	order := orders.ByService[service]
	r, exists := c.record(service)
	self := c.board.Roster.Value().Self.Incarnation
	switch {
	case exists && !r.isFinal() && r.Owner == self:
		c.advance(ctx, service, s, order, r, now)
	case exists && !r.isFinal():
		c.takeOverIfDue(ctx, service, s, r, now)
	case order != nil && !(exists && r.isOf(order)):
		c.claimIfDue(ctx, service, s, order, r, now)
	}
}

// rankDelay returns how long this daemon leaves a claim to others: not at all if it is the one
// responsible, which is not the excluded daemon.
func (c *Controller) rankDelay(service, excluded string, step time.Duration) time.Duration {
	roster := c.board.Roster.Value()
	work := rolloutWork + service
	first := roster.Responsible(work, excluded)
	switch roster.Self.Incarnation {
	case first:
		return 0
	case roster.Responsible(work+" instead of the first", excluded):
		return step
	default:
		return 2 * step
	}
}

// rolloutWork names the claim of a roll-out in Roster.Responsible.
const rolloutWork = "roll-out of "

// claimIfDue begins to carry out a new order.
func (c *Controller) claimIfDue(ctx context.Context, service string, s *serviceState, order *blackboard.RolloutOrder, old versionedRecord, now clock.Instant) {
	if s.orderSeen != order.Version {
		s.orderSeen, s.firstSeen = order.Version, now
	}
	delay := c.rankDelay(service, "", claimDelay)
	started := order.NotBefore
	if started == 0 { // another daemon may know better when the order was written
		started = order.SeenAt
		delay += claimDelay
	}
	if !c.hasEngine(service, s.inUse) { // the engines may not have been read yet
		delay = max(delay, enginesDelay)
	}
	if now.Sub(s.firstSeen) < delay {
		return
	}
	next := record{
		Order: order.Version, Seen: order.Version, To: order.To, InUse: s.inUse, DurationMs: order.Duration.Milliseconds(),
		StartedMs: started.Milliseconds(), State: stateCanary, Owner: c.board.Roster.Value().Self.Incarnation,
		Daemons: c.board.Roster.Value().Size(),
	}
	status := c.status.RolloutStatus(service, stateActive, next.To)
	c.write(ctx, service, s, old.version, next, &status, "roll-out begins", "")
}

// hasEngine reports whether an engine of the version is registered.
func (c *Controller) hasEngine(service, version string) bool {
	return slices.ContainsFunc(c.board.Engines.Value().OfService(service), func(e *blackboard.Engine) bool { return e.Version == version })
}

// takeOverIfDue makes this daemon the owner of a roll-out whose row did not change for
// leaseTime, while this daemon read it.
func (c *Controller) takeOverIfDue(ctx context.Context, service string, s *serviceState, r versionedRecord, now clock.Instant) {
	c.mu.Lock()
	readAt := c.readAt
	c.mu.Unlock()
	if readAt.Sub(s.changedAt) < leaseTime+c.rankDelay(service, r.Owner, readInterval) || now.Sub(readAt) > leaseTime {
		return
	}
	next := r.record
	from := next.Owner
	next.Owner = c.board.Roster.Value().Self.Incarnation
	c.write(ctx, service, s, r.version, next, nil, "roll-out was taken over", "owner was "+from)
}

// advance decides on the next stage of a roll-out that this daemon owns, and renews its
// lease.
func (c *Controller) advance(ctx context.Context, service string, s *serviceState, order *blackboard.RolloutOrder, r versionedRecord, now clock.Instant) {
	totals := c.totals(service, s)
	next := r.record
	next.Old, next.New = totalsOf(totals)
	situation := c.situation(service, s, order, r, totals, now)
	decision, reason := rollout.Next(situation)
	next.Canaries = c.canaries(service, &next, situation)
	if order != nil && r.isOf(order) {
		next.Seen = max(next.Seen, order.Version)
	}
	switch decision {
	case rollout.Switch:
		next.State, next.InStageMs = stateSwitch, 0
		c.write(ctx, service, s, r.version, next, nil, "all requests go to the new version", reason)
	case rollout.Complete:
		next.State, next.InUse = stateCompleted, next.To
		c.end(ctx, service, s, r.version, next, reason)
	case rollout.Revert:
		next.State = stateReverted
		c.end(ctx, service, s, r.version, next, reason)
	default:
		if now.Sub(s.changedAt) >= leaseRenewal {
			next.InStageMs = c.timeInStage(s, now).Milliseconds()
			c.write(ctx, service, s, r.version, next, nil, "", "")
		}
	}
}

// canaries returns the number of new engines that get requests in the canary stage, by the
// requests since the order.
func (c *Controller) canaries(service string, r *record, situation *rollout.Situation) int {
	old := 0
	for _, e := range c.board.Engines.Value().OfService(service) {
		if e.Version == r.InUse && e.IsUsable() {
			old++
		}
	}
	since := situation.Duration - situation.Left
	return rollout.CanaryCount(old, c.bounds.Share, c.bounds.Slack, r.Old[0], since, situation.CanaryTime())
}

// end writes the final state for the operators in one transaction with the row, so that there
// is exactly one.
func (c *Controller) end(ctx context.Context, service string, s *serviceState, version int64, next record, reason string) {
	next.Verdict = reason
	status := c.status.RolloutStatus(service, next.State, next.To)
	c.write(ctx, service, s, version, next, &status, "roll-out was "+next.State, reason)
}

// totalsOf returns the figures of both versions.
func totalsOf(t blackboard.RolloutTotals) (old, new blackboard.AnswerFigures) {
	e := rollout.Evidence{Routes: t.Routes}
	return e.Total(blackboard.OldVersion), e.Total(blackboard.NewVersion)
}

// situation returns what this daemon knows of the roll-out.
func (c *Controller) situation(service string, s *serviceState, order *blackboard.RolloutOrder, r versionedRecord, totals blackboard.RolloutTotals, now clock.Instant) *rollout.Situation {
	duration := time.Duration(r.DurationMs) * time.Millisecond
	situation := &rollout.Situation{
		Stage: r.stage(), Duration: duration, IsWanted: r.isOf(order), IsInUse: r.InUse == r.To,
		InStage: c.timeInStage(s, now), Left: r.deadline() - c.board.StoreNow(),
		Evidence: evidenceOf(totals, 0),
	}
	if cat := c.board.Catalog.Value(); cat != nil {
		situation.IsKnown = cat.Service(service) != nil
		situation.LongestRequest = longestRequest(cat, service)
	} else {
		situation.IsKnown = true // not known yet
	}
	for _, e := range c.board.Engines.Value().OfService(service) {
		switch {
		case e.Version == r.InUse && r.InUse != r.To:
			l := e.Load
			situation.OldRequests += int(l.Online.Load() + l.Batch.Load() + l.PeerOnline.Load() + l.PeerBatch.Load())
		case e.Version == r.To && e.IsUsable():
			situation.NewEngines++
		}
	}
	return situation
}

// timeInStage returns for how long the stage was written and could be read. It begins anew after an
// outage of the store: the other daemons went on with the stage that they had read before, and still
// do until they hear that the store is available.
func (c *Controller) timeInStage(s *serviceState, now clock.Instant) time.Duration {
	return now.Sub(max(s.stageFrom, c.outageAt))
}

// longestRequest returns the longest time limit of the service's routes whose requests cannot
// move to another engine.
func longestRequest(cat *catalog.Catalog, service string) time.Duration {
	var longest time.Duration
	for _, name := range cat.RoutesOfService(service) {
		if r := cat.RouteByName(name); r.Kind != catalog.KindBatch && !(r.Kind == catalog.KindStreaming && r.Resumable) {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// write writes the row, and the state for operators if there is one, in the background on the
// condition that the row has the version. It logs the message unless that is empty.
func (c *Controller) write(ctx context.Context, service string, s *serviceState, version int64, next record, status *store.Row, message, reason string) {
	row, err := next.row(service)
	if err != nil {
		c.log.Error().Str("service", service).Err(err).Msg("row of a roll-out cannot be encoded")
		return
	}
	tx := store.Tx{If: []store.Condition{{Key: row.Key, Version: version}}, Put: []store.Row{row}}
	if status != nil {
		tx.Put = append(tx.Put, *status)
	}
	s.writing = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		response, err := c.store.Commit(callCtx, tx)
		c.post(ctx, func() {
			s.writing = false
			c.written(service, s, next, response, err, message, reason)
		})
	}()
}

// post queues an event for the goroutine of Run. It waits while the queue is full, until ctx
// is done.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// written records the outcome of a transaction. After an error the next read shows the row.
func (c *Controller) written(service string, s *serviceState, next record, response store.Response, err error, message, reason string) {
	if err != nil {
		s.retryAt = clock.Now().Add(writeRetryDelay)
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			if row, ok := conflict.Find(key(service)); ok {
				c.mu.Lock()
				c.putRow(row)
				c.mu.Unlock()
			}
			return
		}
		c.log.Warn().Str("service", service).Str("state", next.State).Err(err).Msg("row of a roll-out was not written")
		return
	}
	c.mu.Lock()
	if c.records[service].version < response.Version {
		c.records[service] = versionedRecord{record: next, version: response.Version}
	}
	c.mu.Unlock()
	if message != "" {
		c.logStage(service, &next, message, reason)
	}
}

// logStage logs the figures of a roll-out at a change of its stage.
func (c *Controller) logStage(service string, r *record, message, reason string) {
	now := c.board.StoreNow()
	c.log.Info().Str("service", service).Str("from", r.InUse).Str("to", r.To).Int64("order", r.Order).Str("state", r.State).
		Str("reason", reason).Dur("since_order", now-time.Duration(r.StartedMs)*time.Millisecond).Dur("left", r.deadline()-now).
		Int64("old_sent", r.Old[0]).Int64("old_answered", r.Old[1]).Int64("old_bad", r.Old[2]).
		Int64("new_sent", r.New[0]).Int64("new_answered", r.New[1]).Int64("new_bad", r.New[2]).Msg(message)
}
