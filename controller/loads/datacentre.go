package loads

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
)

// senderSilence is how long the daemon that sends the sums of its data centre may be
// silent before another one takes over, here and at the receivers.
const senderSilence = 600 * time.Millisecond

// isReplacedBy reports whether the received report r replaces the kept one. A sum also
// replaces one of another sender that is silent or knows of fewer daemons: a daemon that
// is cut off from its data centre takes itself for the one that sends the sums.
func (kept *report) isReplacedBy(r *peer.LoadReport) bool {
	if kept.From == r.From {
		return r.Sequence > kept.Sequence
	}
	return clock.Since(kept.receivedAt) > senderSilence || r.DataCentre.Daemons > kept.DataCentre.Daemons
}

// sumSender is the state of sending the sums of this data centre. It belongs to the
// goroutine of RunSender.
type sumSender struct {
	sentAt   clock.Instant
	sent     int64 // number of sums, by which the receivers take turns
	admitted changedCounts
	evidence evidenceSender
}

// sendSumIfDue sends the sum of this data centre's reports to one daemon of each other data
// centre, which changes from one sum to the next: one that has stopped gets no more than its
// turn. It does nothing unless this is the daemon
// that sends the sums.
func (c *Controller) sendSumIfDue(roster *blackboard.Roster, sequence int64) {
	now := clock.Now()
	if now.Sub(c.sums.sentAt) < blackboard.SumInterval || !c.sendsSums(roster, now) {
		return
	}
	c.sums.sentAt = now
	c.sums.sent++
	sum := c.newSum(roster, sequence)
	byDataCentre := make(map[string][]blackboard.Peer)
	for _, p := range roster.Members {
		if p.DataCentre != roster.Self.DataCentre {
			byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
		}
	}
	var receivers []blackboard.Peer
	for _, daemons := range byDataCentre {
		receivers = append(receivers, daemons[c.sums.sent%int64(len(daemons))])
	}
	c.send(sum, receivers)
}

// sendsSums reports whether this daemon sends the sums of its data centre: it has the
// highest hash of those there whose reports arrive.
func (c *Controller) sendsSums(roster *blackboard.Roster, now clock.Instant) bool {
	self := &roster.Self
	dataCentre := xxhash.Sum64String(self.DataCentre)
	own := blackboard.HashPair(dataCentre, xxhash.Sum64String(self.Name))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.reports {
		p, ok := roster.Member(r.From)
		if !ok || r.DataCentre != nil || p.DataCentre != self.DataCentre || now.Sub(r.receivedAt) > senderSilence {
			continue
		}
		if blackboard.HashPair(dataCentre, xxhash.Sum64String(p.Name)) > own {
			return false
		}
	}
	return true
}

// newSum returns the sum of the recent reports of this data centre's daemons and of what
// this daemon would report itself.
func (c *Controller) newSum(roster *blackboard.Roster, sequence int64) peer.LoadReport {
	now := clock.Now()
	sum := c.ownCounts(roster, sequence)
	own := &peer.DataCentreSum{Name: roster.Self.DataCentre, Daemons: 1}
	if sum.WaitingItems > 0 {
		own.WaitingDaemons = 1
	}
	sum.WaitingItems, sum.DataCentre = 0, own
	pieces := c.sums.evidence.choose(sumPieces(c.board.Evidence.Value()), maxToldBySum, now)
	sum.Evidence = encodeEvidence(pieces, roster.Self.Name, now)
	rollouts := c.ownRollouts()
	admitted := admittedCounts(c.board.RateLimiters.Value())
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range admitted {
		admitted[name] += c.admittedNearby[name]
	}
	sum.Admitted = c.sums.admitted.changed(admitted)
	sum.States, sum.Failing = c.estimates.ownStates(c.board.Engines.Value().All, now), c.ownFailing(now)
	for _, r := range c.reports {
		if r.DataCentre != nil || roster.DataCentreOf(r.From) != own.Name || now.Sub(r.receivedAt) > maxReportAge {
			continue
		}
		own.Daemons++
		if r.WaitingItems > 0 {
			own.WaitingDaemons++
		}
		sum.ReadAgeMs = min(sum.ReadAgeMs, now.Sub(r.lastReadAt()).Milliseconds())
		if len(rollouts) > 0 {
			addRollouts(rollouts, r.Rollouts)
		}
		for id, counts := range r.Engines {
			sum.Engines[id] = addCounts(sum.Engines[id], counts)
		}
		sum.Tokens = addTokens(sum.Tokens, r.Tokens)
		sum.States = addStates(sum.States, r.States)
		sum.Failing = addFailing(sum.Failing, r.Failing, now.Sub(r.receivedAt))
	}
	sum.Rollouts = encodeRollouts(rollouts)
	sum.States, sum.Failing = bounded(sum.States, maxStatesOfSum, c.sums.sent), bounded(sum.Failing, maxFailingOfSum, c.sums.sent)
	return sum
}

// addCounts adds up two daemons' counts of one engine. Of the numbers of requests that the
// engine reported, the larger one holds.
func addCounts(a, b peer.EngineCounts) peer.EngineCounts {
	return peer.EngineCounts{a[0] + b[0], a[1] + b[1], max(a[2], b[2]), a[3] + b[3], a[4] + b[4]}
}

// forward sends a sum from another data centre to the other daemons of this one.
func (c *Controller) forward(r peer.LoadReport, roster *blackboard.Roster) {
	sum := *r.DataCentre
	sum.Forwarded = true
	r.DataCentre = &sum
	var receivers []blackboard.Peer
	for _, p := range roster.Members {
		if p.DataCentre == roster.Self.DataCentre && p.Incarnation != roster.Self.Incarnation {
			receivers = append(receivers, p)
		}
	}
	c.send(r, receivers)
}
