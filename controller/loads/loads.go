// Package loads exchanges load reports between entry daemons: datagrams with the requests
// that a daemon has at each engine and has admitted for each workspace. It adds up the
// reports of the other daemons on the blackboard.
//
// In a small fleet each daemon reports to all others. In a larger one it reports to those
// of its data centre only; one of them sends the sum of these reports to a daemon of each
// other data centre, which forwards it there. The number of reports between data centres
// then does not depend on the number of daemons.
package loads

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// maxReportAge is how long a report counts.
	maxReportAge = 1200 * time.Millisecond
	// receiveRetryInterval is the pause after a failed read of the socket.
	receiveRetryInterval = 30 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
)

// Controller writes what the other daemons report to the blackboard: their part of the
// engines' loads and of the limiters' admissions, SuspectedByPeers of the engines'
// health, LeavingByPeers, PeersWithBatchDemand, ReportingDaemons and PeerReadAt. It queues
// their evidence about prompt segments in PeerEvidence and tells them what Evidence holds. It
// also writes PreferredEngines, the engines that this daemon chooses first, and marks slow
// engines.
type Controller struct {
	board *blackboard.EntryBoard
	conn  *net.UDPConn
	write func(data []byte, to netip.AddrPort) (int, error) // sends a datagram
	log   *log.Logger

	// The fields up to mu are used by the goroutine of RunSender only.
	preferredFor [2]uint64 // versions of Engines and Roster from which PreferredEngines was computed
	admittedHere changedCounts
	evidence     evidenceSender
	sums         sumSender

	mu      sync.Mutex         // guards the fields below
	reports map[string]*report // by reportKey
	// admitted holds the last known counts of admitted requests, by workspace, of the
	// daemons that report their own and of those that report sums.
	admitted  map[admissionsOf]map[string]int64
	estimates estimates
	// failures holds what other daemons reported of failed answers, by engine.
	failures map[string][]placement.FailureClaim
	// admittedNearby counts the requests that other daemons of this data centre were seen
	// to admit, by workspace.
	admittedNearby map[string]int64
}

// admissionsOf identifies a series of counts of admitted requests.
type admissionsOf struct {
	from  string // incarnation
	isSum bool
}

// report is a received load report.
type report struct {
	peer.LoadReport
	receivedAt clock.Instant
}

// lastReadAt returns when the sender of the report sent its last read of the
// configuration, on this VM's clock.
func (r *report) lastReadAt() clock.Instant {
	return r.receivedAt.Add(-time.Duration(r.ReadAgeMs) * time.Millisecond)
}

// Listen opens the UDP socket on which the daemon receives load reports.
func Listen(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", addr)
}

// New returns a controller that sends and receives reports on conn. RunReceiver closes
// conn.
func New(board *blackboard.EntryBoard, conn *net.UDPConn, logger *log.Logger) *Controller {
	return &Controller{
		board: board, conn: conn, write: conn.WriteToUDPAddrPort, log: logger,
		admittedHere: make(changedCounts), evidence: make(evidenceSender),
		sums:    sumSender{admitted: make(changedCounts), evidence: make(evidenceSender)},
		reports: make(map[string]*report), admitted: make(map[admissionsOf]map[string]int64),
		admittedNearby: make(map[string]int64), estimates: newEstimates(),
	}
}

// RunReceiver applies received reports until ctx is done, which closes the socket. It may
// run beside RunSender.
func (c *Controller) RunReceiver(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.log.Warn().Err(err).Msg("failed to receive a load report")
			timer.Sleep(ctx, receiveRetryInterval)
			continue
		}
		r, err := peer.DecodeLoadReport(buf[:n])
		if err != nil {
			c.log.Warn().Err(err).Msg("load report cannot be decoded")
			continue
		}
		c.apply(r)
	}
}

// reportKey returns what identifies the reports that replace each other: the reporting
// daemon, or the data centre whose reports were added up.
func reportKey(r *peer.LoadReport) string {
	if r.DataCentre != nil {
		return sumKey(r.DataCentre.Name)
	}
	return r.From
}

// sumKey returns the reportKey of the sums of a data centre.
func sumKey(dataCentre string) string { return "data centre " + dataCentre }

// apply applies a report unless a newer one of the same daemon was received before. It
// forwards a sum that came from another data centre.
func (c *Controller) apply(r peer.LoadReport) {
	roster := c.board.Roster.Value()
	if r.DataCentre != nil && r.DataCentre.Name == roster.Self.DataCentre {
		return // its daemons report to this one themselves
	}
	if !c.applyNewer(r, roster) {
		return
	}
	c.passEvidence(&r, roster)
	if r.DataCentre != nil && !r.DataCentre.Forwarded {
		c.forward(r, roster)
	}
}

// applyNewer applies a report unless a newer one of the same daemon was received before. It
// reports whether it did.
func (c *Controller) applyNewer(r peer.LoadReport, roster *blackboard.Roster) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := reportKey(&r)
	old := c.reports[key]
	if old != nil && !old.isReplacedBy(&r) {
		return false
	}
	if old == nil {
		old = new(report)
	}
	c.applyEngineCounts(old.Engines, r.Engines)
	c.applyTokens(old.Tokens, r.Tokens)
	c.estimates.applyStates(c.board.Engines.Value(), r.States, clock.Now())
	series := admissionsOf{from: r.From, isSum: r.DataCentre != nil}
	if c.admitted[series] == nil {
		c.admitted[series] = make(map[string]int64)
	}
	grown := countGrowth(c.admitted[series], r.Admitted)
	addPeerAdmissions(c.board.RateLimiters.Value(), grown)
	if !series.isSum && roster.DataCentreOf(r.From) == roster.Self.DataCentre {
		for name, n := range grown {
			c.admittedNearby[name] += n
		}
	}
	c.reports[key] = &report{LoadReport: r, receivedAt: clock.Now()}
	return true
}

// applyEngineCounts adds the difference between two reports of one daemon to the engines'
// loads, so that the newer report counts before applyTotals runs next. The meaning of the
// counts is that of peer.EngineCounts. The caller holds c.mu.
func (c *Controller) applyEngineCounts(before, after map[string]peer.EngineCounts) {
	engines := c.board.Engines.Value()
	at := clock.Now()
	fewer := false // online requests at an engine
	for id, counts := range after {
		e := engines.ByID(id)
		if e == nil {
			continue
		}
		e.Load.PeerOnline.Add(counts[0] - before[id][0])
		fewer = fewer || counts[0] < before[id][0]
		e.Load.PeerBatch.Add(counts[1] - before[id][1])
		if counts[2] > 0 {
			e.Load.PeerReport.Record(counts[2], at)
		}
	}
	for id, counts := range before {
		if _, still := after[id]; !still {
			if e := engines.ByID(id); e != nil {
				e.Load.PeerOnline.Add(-counts[0])
				e.Load.PeerBatch.Add(-counts[1])
				fewer = fewer || counts[0] > 0
			}
		}
	}
	if fewer {
		c.board.Places.PlaceFreed()
	}
}

// RunSender adds up the other daemons' reports and sends one of its own, at regular
// intervals, until ctx is done.
func (c *Controller) RunSender(ctx context.Context) {
	for sequence := int64(1); ; sequence++ {
		roster := c.board.Roster.Value()
		receivers := roster.ReportReceivers()
		if !timer.Sleep(ctx, blackboard.ReportInterval(len(receivers))) {
			return
		}
		c.applyTotals(roster)
		c.updatePreferred()
		c.send(c.newReport(roster, sequence), receivers)
		if roster.ReportsBySums() {
			c.sendSumIfDue(roster, sequence)
		}
	}
}

// updatePreferred publishes the engines that this daemon chooses first if the set of
// engines or of daemons changed.
func (c *Controller) updatePreferred() {
	engines, roster := c.board.Engines.Load(), c.board.Roster.Load()
	versions := [2]uint64{engines.Version, roster.Version}
	if c.preferredFor != versions {
		c.preferredFor = versions
		c.board.PreferredEngines.Publish(placement.PreferredEngines(engines.Value.All, roster.Value))
	}
}

// newReport returns the load report of this daemon.
func (c *Controller) newReport(roster *blackboard.Roster, sequence int64) peer.LoadReport {
	r := c.ownCounts(roster, sequence)
	c.mu.Lock()
	r.States = bounded(c.estimates.ownStates(c.board.Engines.Value().All, clock.Now()), maxStatesOfDaemon, sequence)
	r.Failing = bounded(c.ownFailing(clock.Now()), maxFailingOfDaemon, sequence)
	c.mu.Unlock()
	r.Admitted = c.admittedHere.changed(admittedCounts(c.board.RateLimiters.Value()))
	self, now := roster.Self.Name, clock.Now()
	r.Rollouts = encodeRollouts(c.ownRollouts())
	r.Evidence = encodeEvidence(c.evidence.choose(ownPieces(c.board.Evidence.Value(), self), maxToldByDaemon, now), self, now)
	return r
}

// ownCounts returns a load report without the admitted requests. It holds only what this
// daemon counted or measured, or an engine reported to it directly, and nothing from other
// daemons' reports.
func (c *Controller) ownCounts(roster *blackboard.Roster, sequence int64) peer.LoadReport {
	now := clock.Now()
	r := peer.LoadReport{
		From:         roster.Self.Incarnation,
		Sequence:     sequence,
		WaitingItems: c.board.BatchDemand.Value().WaitingItems,
		ReadAgeMs:    now.Sub(c.board.ConfigRead.Value().SentAt).Milliseconds(),
		Engines:      make(map[string]peer.EngineCounts),
	}
	for _, e := range c.board.Engines.Value().All {
		counts := peer.EngineCounts{e.Load.Online.Load(), e.Load.Batch.Load(), e.Load.OwnReport.Requests(now)}
		if e.Load.Health.IsSuspected(now) {
			counts[3] = 1
		}
		if e.Load.Leaving.Load() {
			counts[4] = 1
		}
		if counts != (peer.EngineCounts{}) {
			r.Engines[e.ID] = counts
		}
	}
	r.Tokens = c.ownTokens()
	return r
}

// send sends a report to the receivers.
func (c *Controller) send(r peer.LoadReport, receivers []blackboard.Peer) {
	data, err := peer.EncodeLoadReport(r)
	if err != nil {
		c.log.Error().Err(err).Msg("load report cannot be encoded")
		return
	}
	for i := range receivers {
		c.sendTo(&receivers[i], data)
	}
}

// sendTo sends an encoded report to a daemon.
func (c *Controller) sendTo(p *blackboard.Peer, data []byte) {
	addr, err := netip.ParseAddrPort(p.Address)
	if err == nil {
		_, err = c.write(data, addr)
	}
	if err != nil {
		c.log.Debug().Str("daemon", p.Name).Err(err).Msg("load report was not sent")
	}
}
