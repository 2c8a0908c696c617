// Package quarantine keeps the set of prompt segments that crash engines. It collects the
// crashes and answers that this daemon's requests saw and what other daemons report, and
// judges them by package policy/quarantine.
package quarantine

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/quarantine"
)

// checkInterval is the time between two checks for answers and trials while there is
// evidence against any segment.
const checkInterval = 50 * time.Millisecond

// Controller writes the blackboard's Quarantine and Evidence sections. It belongs to the
// goroutine of Run.
type Controller struct {
	board   *blackboard.EntryBoard
	ledger  *quarantine.Ledger
	metrics *Metrics
	log     *log.Logger

	published map[blackboard.Segment]*published
	suspected map[blackboard.Segment]bool
	version   uint64 // of the ledger when Evidence was published
}

// published is a quarantined segment as it was last published.
type published struct {
	*blackboard.Quarantined
	segment   blackboard.Segment
	lastCrash clock.Instant
	due       clock.Instant // when the decision allows a trial
	window    int64         // of the trial
	trialSeen bool          // whether the trial was logged
}

// New returns a controller of the daemon that the board's roster names.
func New(board *blackboard.EntryBoard, metrics *Metrics, logger *log.Logger) *Controller {
	return &Controller{
		board: board, ledger: quarantine.NewLedger(board.Roster.Value().Self.Name), metrics: metrics, log: logger,
		published: make(map[blackboard.Segment]*published), suspected: make(map[blackboard.Segment]bool),
	}
}

// Run judges evidence as it comes, and checks for answers and trials at intervals while there
// is any, until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		var ticks <-chan time.Time // none while there is nothing to check
		if !c.ledger.IsEmpty() {
			ticks = ticker.C
		}
		select {
		case crash := <-c.board.Crashes.Chan():
			c.addOwn(crash)
		case e := <-c.board.PeerEvidence.Chan():
			c.addPeers(e)
		case <-ticks:
		case <-ctx.Done():
			return
		}
		c.drain()
		c.judge()
	}
}

// drain adds what is queued.
func (c *Controller) drain() {
	for range len(c.board.Crashes.Chan()) {
		c.addOwn(<-c.board.Crashes.Chan())
	}
	for range len(c.board.PeerEvidence.Chan()) {
		c.addPeers(<-c.board.PeerEvidence.Chan())
	}
}

// addOwn adds a crash that a request of this daemon saw.
func (c *Controller) addOwn(crash blackboard.EngineCrash) {
	claim := blackboard.CrashClaim{EngineCrash: crash, Reporter: c.board.Roster.Value().Self.Name}
	if e := c.board.Engines.Value().ByID(crash.Engine); e != nil {
		claim.EngineDataCentre = e.DataCentre
	}
	if len(crash.Segments) > 0 {
		c.metrics.ownCrashes.Inc()
		c.log.Warn().Str("engine", crash.Engine).Int64("started_at_ms", crash.StartedAtMs).Str("request_hash", hex(crash.Request)).
			Strs("segments", segmentNames(crash.Segments)).Msg("engine ended before it began to answer a request")
	} else if !c.ledger.KnowsEnd(&claim) {
		c.metrics.ownEnds.Inc()
		c.log.Warn().Str("engine", crash.Engine).Int64("started_at_ms", crash.StartedAtMs).Msg("engine ended under requests with sound segments")
	}
	c.ledger.AddCrash(claim, clock.Now())
}

// addPeers adds what other daemons reported. Answers go first, since they void crashes.
func (c *Controller) addPeers(e blackboard.Evidence) {
	now := clock.Now()
	for _, claim := range e.Clears {
		c.clear(claim, now)
	}
	for _, claim := range e.Crashes {
		c.metrics.peerClaims.Inc()
		c.ledger.AddCrash(claim, now)
	}
	for _, claim := range e.Decisions {
		c.metrics.peerClaims.Inc()
		c.ledger.AddDecisionClaim(claim, now)
	}
}

// judge brings the decisions up to date and publishes what changed.
func (c *Controller) judge() {
	now := clock.Now()
	for _, s := range c.ledger.Doubtful() {
		if at, ok := c.board.SoundSegments.AnsweredAt(s); ok && c.board.SoundSegments.IsSound(s, now) {
			c.clear(blackboard.ClearClaim{Segment: s, AnsweredAt: at, SeenHere: true}, now)
		}
	}
	for _, event := range c.ledger.Evaluate(now, c.board.Roster.Value().Size()) {
		c.record(event)
	}
	c.publishQuarantine(now)
	if c.version != c.ledger.Version() {
		c.version = c.ledger.Version()
		c.board.Evidence.Publish(c.ledger.Evidence(now))
	}
}

// clear records that an engine answered a request with the segment.
func (c *Controller) clear(claim blackboard.ClearClaim, now clock.Instant) {
	if c.ledger.Clear(claim, now) {
		c.metrics.cleared.Inc()
		c.log.Warn().Str("segment", hex(uint64(claim.Segment))).Bool("answered_here", claim.SeenHere).Msg("segment was answered and leaves quarantine")
	}
}

// record counts and logs a change of a decision.
func (c *Controller) record(event quarantine.Event) {
	v := event.Decision
	line := c.log.Warn().Str("segment", hex(uint64(v.Segment))).Strs("reported_by", event.Reporters).
		Dur("trial_in", v.TrialDue.Sub(clock.Now())).Int("trials_that_crashed", v.Extensions)
	if event.Crash != nil {
		line = line.Str("engine", event.Crash.Engine).Str("request_hash", hex(event.Crash.Request))
	}
	switch event.Kind {
	case quarantine.Quarantined:
		c.metrics.decisions.Inc()
		line.Msg("segment is quarantined: it crashes engines")
	case quarantine.Adopted:
		c.metrics.decisions.Inc()
		line.Msg("segment is quarantined: other daemons report that it crashes engines")
	case quarantine.Extended:
		c.metrics.extended.Inc()
		line.Msg("quarantined segment crashed another engine")
	case quarantine.Explained:
		line.Msg("segment leaves quarantine: another one explains the crashes")
	case quarantine.Overruled:
		line.Msg("segment leaves quarantine: other ends of engines or earlier answers speak against it")
	case quarantine.Forgotten:
		line.Msg("segment leaves quarantine: no request had it for long")
	}
}

// publishQuarantine publishes the quarantine if it changed.
func (c *Controller) publishQuarantine(now clock.Instant) {
	c.logTrials()
	next := make(map[blackboard.Segment]*published, len(c.ledger.Decisions()))
	for s, v := range c.ledger.Decisions() {
		next[s] = c.publishedFor(v, now)
	}
	suspected := c.ledger.Suspected()
	if maps.Equal(next, c.published) && maps.Equal(suspected, c.suspected) {
		return
	}
	c.published, c.suspected = next, suspected
	q := &blackboard.Quarantine{BySegment: make(map[blackboard.Segment]*blackboard.Quarantined, len(next)), Suspected: suspected}
	for s, p := range next {
		q.BySegment[s] = p.Quarantined
	}
	c.board.Quarantine.Publish(q)
	c.metrics.quarantined.Set(float64(len(next)))
	c.metrics.suspected.Set(float64(len(suspected)))
}

// publishedFor returns what is published for the decision: what already is, unless the decision
// or the trial changed.
func (c *Controller) publishedFor(v *quarantine.Decision, now clock.Instant) *published {
	trial := quarantine.TrialOf(v.Segment, now.Sub(v.TrialDue), c.board.StoreNow(), c.board.Roster.Value())
	next := &published{segment: v.Segment, lastCrash: v.LastCrash, due: v.TrialDue}
	next.Quarantined = &blackboard.Quarantined{Since: v.LastCrash, TrialDue: v.TrialDue, MayTry: trial.MayTry}
	if now >= v.TrialDue {
		next.window = trial.Window
		if !trial.MayTry {
			next.TrialDue = now.Add(trial.Next)
		}
	}
	old := c.published[v.Segment]
	if old != nil && old.lastCrash == next.lastCrash && old.due == next.due && old.window == next.window && old.MayTry == next.MayTry {
		return old
	}
	return next
}

// logTrials counts and logs the trials that this daemon's requests began.
func (c *Controller) logTrials() {
	for _, p := range c.published {
		if !p.trialSeen && p.TrialTaken() {
			p.trialSeen = true
			c.metrics.trials.Inc()
			c.log.Warn().Str("segment", hex(uint64(p.segment))).Msg("a request with a quarantined segment was sent as a trial")
		}
	}
}

// hex returns the number as it is logged.
func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// segmentNames returns the segments as they are logged.
func segmentNames(segments []blackboard.Segment) []string {
	names := make([]string, len(segments))
	for i, s := range segments {
		names[i] = hex(uint64(s))
	}
	return names
}
