// Package loads exchanges load reports between entry daemons: datagrams with the requests
// that a daemon has at each engine and has admitted for each workspace. It adds up the
// reports of the other daemons on the blackboard.
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
	// minInterval is the time between two reports in a small fleet.
	minInterval = 30 * time.Millisecond
	// intervalPerDaemon is the interval for each daemon of a large fleet. It keeps the
	// number of reports that a daemon sends and receives per second constant.
	intervalPerDaemon = 2 * time.Millisecond
	// maxReportAge is how long a report counts.
	maxReportAge = 1200 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
)

// Controller writes what the other daemons report to the blackboard: their part of the
// engines' loads and of the limiters' admissions, SuspectedByPeers of the engines'
// health, PeersWithBatchDemand, ReportingDaemons and PeerReadAt. It also writes
// PreferredEngines, the engines that this daemon chooses first, and marks slow engines.
type Controller struct {
	board *blackboard.EntryBoard
	conn  *net.UDPConn
	log   *log.Logger

	preferredFor [2]uint64            // versions of Engines and Roster from which PreferredEngines was computed
	sentCounts   map[string]sentCount // by workspace; used by the goroutine of RunSender only

	mu      sync.Mutex         // guards the fields below
	reports map[string]*report // by incarnation
	// admitted holds the last known counts of admitted requests of the other daemons, by
	// incarnation and workspace.
	admitted map[string]map[string]int64
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
		board: board, conn: conn, log: logger, sentCounts: make(map[string]sentCount),
		reports: make(map[string]*report), admitted: make(map[string]map[string]int64),
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

// apply applies a report unless a newer one of the same daemon was received before.
func (c *Controller) apply(r peer.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.reports[r.From]
	if old != nil && old.Sequence >= r.Sequence {
		return
	}
	if old == nil {
		old = new(report)
	}
	c.applyEngineCounts(old.Engines, r.Engines)
	if c.admitted[r.From] == nil {
		c.admitted[r.From] = make(map[string]int64)
	}
	addPeerAdmissions(c.board.RateLimiters.Value(), c.admitted[r.From], r.Admitted)
	c.reports[r.From] = &report{LoadReport: r, receivedAt: clock.Now()}
}

// applyEngineCounts adds the difference between two reports of one daemon to the engines'
// loads, so that the newer report counts before applyTotals runs next. The meaning of the
// counts is that of peer.EngineCounts. The caller holds c.mu.
func (c *Controller) applyEngineCounts(before, after map[string]peer.EngineCounts) {
	engines := c.board.Engines.Value()
	at := clock.Now()
	for id, counts := range after {
		e := engines.ByID(id)
		if e == nil {
			continue
		}
		e.Load.PeerOnline.Add(counts[0] - before[id][0])
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
			}
		}
	}
}

// RunSender adds up the other daemons' reports and sends one of its own, at regular
// intervals, until ctx is done.
func (c *Controller) RunSender(ctx context.Context) {
	for sequence := int64(1); ; sequence++ {
		roster := c.board.Roster.Value()
		interval := max(minInterval, time.Duration(roster.Size())*intervalPerDaemon)
		if !timer.Sleep(ctx, interval) {
			return
		}
		c.applyTotals(roster)
		c.updatePreferred()
		c.broadcast(roster, sequence)
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

// newReport returns the load report of this daemon. It holds only what this daemon
// counted or measured, or an engine reported to it directly, and nothing from other
// daemons' reports.
func (c *Controller) newReport(roster *blackboard.Roster, sequence int64) peer.LoadReport {
	now := clock.Now()
	r := peer.LoadReport{
		From:         roster.Self.Incarnation,
		Sequence:     sequence,
		WaitingItems: c.board.BatchDemand.Value().WaitingItems,
		ReadAgeMs:    now.Sub(c.board.ConfigRead.Value().SentAt).Milliseconds(),
		Engines:      make(map[string]peer.EngineCounts),
		Admitted:     c.admittedCounts(),
	}
	for _, e := range c.board.Engines.Value().All {
		counts := peer.EngineCounts{e.Load.Online.Load(), e.Load.Batch.Load(), e.Load.OwnReport.Requests(now)}
		if e.Load.Health.IsSuspected(now) {
			counts[3] = 1
		}
		if counts != (peer.EngineCounts{}) {
			r.Engines[e.ID] = counts
		}
	}
	return r
}

// broadcast sends a load report to all other daemons.
func (c *Controller) broadcast(roster *blackboard.Roster, sequence int64) {
	data, err := peer.EncodeLoadReport(c.newReport(roster, sequence))
	if err != nil {
		c.log.Error().Err(err).Msg("load report cannot be encoded")
		return
	}
	for i := range roster.Members {
		c.sendTo(&roster.Members[i], roster, data)
	}
}

// sendTo sends an encoded report to a daemon, unless that is this daemon.
func (c *Controller) sendTo(p *blackboard.Peer, roster *blackboard.Roster, data []byte) {
	if p.Incarnation == roster.Self.Incarnation {
		return
	}
	addr, err := netip.ParseAddrPort(p.Address)
	if err == nil {
		_, err = c.conn.WriteToUDPAddrPort(data, addr)
	}
	if err != nil {
		c.log.Debug().Str("daemon", p.Name).Err(err).Msg("load report was not sent")
	}
}
