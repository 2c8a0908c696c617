// Package loads tells the other entry daemons how many requests this one has at
// each engine and admitted for each workspace, and adds up what they tell.
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
	// intervalPerDaemon keeps the reports that a daemon sends and receives a
	// second constant in a large fleet.
	intervalPerDaemon = 2 * time.Millisecond
	// maxAge is how long a report counts.
	maxAge = 1200 * time.Millisecond
	// maxDatagram is the size of the receive buffer.
	maxDatagram = 64 << 10
)

// Controller keeps the peers' part of the engines' loads.
type Controller struct {
	board *blackboard.Entry
	conn  *net.UDPConn
	log   *log.Logger

	seen [2]uint64       // versions of the engines and the daemons behind Homes
	told map[string]told // by workspace; belongs to the sender

	mu      sync.Mutex
	reports map[string]*report // by incarnation
	// admitted holds the requests that daemons told that they admitted, by
	// incarnation and workspace.
	admitted map[string]map[string]int64
}

type report struct {
	peer.LoadReport
	at clock.Instant
}

// read returns when the daemon asked for its last reading of the configuration.
func (r *report) read() clock.Instant {
	return r.at.Add(-time.Duration(r.ReadingAge) * time.Millisecond)
}

// Listen opens the daemon's socket.
func Listen(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", addr)
}

// New returns the controller that uses the socket.
func New(board *blackboard.Entry, conn *net.UDPConn, logger *log.Logger) *Controller {
	return &Controller{
		board: board, conn: conn, log: logger, told: make(map[string]told),
		reports: make(map[string]*report), admitted: make(map[string]map[string]int64),
	}
}

// RunReceiver takes in reports until ctx is done.
func (c *Controller) RunReceiver(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.log.Warn().Err(err).Msg("receiving a load report failed")
			continue
		}
		r, err := peer.DecodeLoadReport(buf[:n])
		if err != nil {
			c.log.Warn().Err(err).Msg("load report cannot be read")
			continue
		}
		c.take(r)
	}
}

func (c *Controller) take(r peer.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.reports[r.From]
	if old != nil && old.Sequence >= r.Sequence {
		return
	}
	if old == nil {
		old = new(report)
	}
	c.add(old.Engines, r.Engines)
	if c.admitted[r.From] == nil {
		c.admitted[r.From] = make(map[string]int64)
	}
	addAdmissions(c.board.Shares.Value(), c.admitted[r.From], r.Admitted)
	c.reports[r.From] = &report{LoadReport: r, at: clock.Now()}
}

// add changes the engines' loads by the difference between two reports of one
// daemon, so that the newer one counts at once.
func (c *Controller) add(before, now map[string]peer.EngineCounts) {
	engines := c.board.Engines.Value()
	at := clock.Now()
	for id, counts := range now {
		e := engines.ByID(id)
		if e == nil {
			continue
		}
		e.Load.PeerOnline.Add(counts[0] - before[id][0])
		e.Load.PeerBatch.Add(counts[1] - before[id][1])
		if counts[2] > 0 {
			e.Load.Peers.Set(counts[2], at)
		}
	}
	for id, counts := range before {
		if _, still := now[id]; !still {
			if e := engines.ByID(id); e != nil {
				e.Load.PeerOnline.Add(-counts[0])
				e.Load.PeerBatch.Add(-counts[1])
			}
		}
	}
}

// RunSender sends a report at regular intervals and adds up those of the others,
// until ctx is done.
func (c *Controller) RunSender(ctx context.Context) {
	for sequence := int64(1); ; sequence++ {
		roster := c.board.Roster.Value()
		interval := max(minInterval, time.Duration(roster.Size())*intervalPerDaemon)
		if !timer.Sleep(ctx, interval) {
			return
		}
		c.sum(roster)
		c.findHomes()
		c.send(roster, sequence)
	}
}

// findHomes publishes which engines the daemon prefers, if the engines or the
// daemons changed.
func (c *Controller) findHomes() {
	engines, roster := c.board.Engines.Load(), c.board.Roster.Load()
	seen := [2]uint64{engines.Version, roster.Version}
	if c.seen != seen {
		c.seen = seen
		c.board.Homes.Publish(placement.Homes(engines.Value.All, roster.Value))
	}
}

// report returns what this daemon tells the others.
func (c *Controller) report(roster *blackboard.Roster, sequence int64) peer.LoadReport {
	now := clock.Now()
	r := peer.LoadReport{
		From:       roster.Self.Incarnation,
		Sequence:   sequence,
		Waiting:    c.board.Demand.Value().Waiting,
		ReadingAge: now.Sub(c.board.Reading.Value().Sent).Milliseconds(),
		Engines:    make(map[string]peer.EngineCounts),
		Admitted:   c.admissions(),
	}
	for _, e := range c.board.Engines.Value().All {
		counts := peer.EngineCounts{e.Load.Online.Load(), e.Load.Batch.Load(), e.Load.Own.Requests(now)}
		if e.Load.Health.Suspect(now) {
			counts[3] = 1
		}
		if counts != (peer.EngineCounts{}) {
			r.Engines[e.ID] = counts
		}
	}
	return r
}

// send tells the other daemons.
func (c *Controller) send(roster *blackboard.Roster, sequence int64) {
	data, err := peer.EncodeLoadReport(c.report(roster, sequence))
	if err != nil {
		c.log.Error().Err(err).Msg("load report cannot be encoded")
		return
	}
	for i := range roster.Peers {
		c.sendTo(&roster.Peers[i], roster, data)
	}
}

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
