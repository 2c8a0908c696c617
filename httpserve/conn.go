package httpserve

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/clock"
)

// Timeouts are limits on what a server waits for on a caller's connection.
type Timeouts struct {
	// Header limits the time until the header of a request has arrived.
	Header time.Duration
	// Idle limits the time between a response and the next request.
	Idle time.Duration
}

// connPhase is what the server waits for on a connection.
type connPhase int32

const (
	phaseNew     connPhase = iota // the first byte of the first request
	phaseHeader                   // the rest of a header
	phaseRequest                  // the end of a request whose header has arrived
	phaseIdle                     // the first byte of a further request
	phaseLate                     // nothing: a header did not arrive in time or is too long
)

// headSlack is what may arrive with a head beyond its size: net/http reads up to 4 KiB at
// once, which may hold the first bytes of the body.
const headSlack = 8 << 10

// unreadChecks is how often within the UnreadTimeout a blocked write looks for progress.
const unreadChecks = 4

// callerConn is a connection of a caller. Its reads wait longer than net/http allows if the
// current timeouts of the server are longer, also after a change while a read waits. What it
// holds is taken from the budget of the process. net/http uses it from several goroutines.
type callerConn struct {
	*net.TCPConn
	server    *Server
	member    *budget.Member
	phase     atomic.Int32 // a connPhase
	since     atomic.Int64 // clock.Instant at which the phase began
	reading   atomic.Bool  // a part of a body is awaited
	writeWait atomic.Int64 // clock.Instant at which a write began that has not ended, or 0
	head      int          // bytes of the current head; belongs to the goroutine that reads it
}

// setPhase records what the server waits for.
func (c *callerConn) setPhase(phase connPhase) {
	c.since.Store(int64(clock.Now()))
	c.phase.Store(int32(phase))
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	// With one byte net/http learns of a caller that leaves while the handler runs; it reads
	// bodies by longer pieces.
	if connPhase(c.phase.Load()) == phaseRequest && len(p) > 1 {
		c.reading.Store(true)
		defer c.reading.Store(false)
	}
	for {
		n, err := c.TCPConn.Read(p)
		phase := connPhase(c.phase.Load())
		if n > 0 && (phase == phaseNew || phase == phaseIdle) {
			phase, c.head = phaseHeader, 0
			c.setPhase(phaseHeader)
		}
		if n > 0 && phase == phaseHeader {
			return c.takeHead(n, err)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !c.waitLonger(phase) {
			if c.phase.CompareAndSwap(int32(phaseHeader), int32(phaseLate)) {
				c.server.ends.recordHeaderTimeout()
			}
			return n, err
		}
	}
}

// headTooLarge is the answer to a head that exceeds the configured size.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"

// takeHead counts n bytes that were read of a head, and ends the connection if they exceed the
// size of a head or the budget.
func (c *callerConn) takeHead(n int, err error) (int, error) {
	c.head += n
	if c.head > c.server.maxHead()+headSlack {
		c.phase.Store(int32(phaseLate))
		c.server.pool.Budget().Record(budget.CauseHeadTooLarge)
		_, _ = io.WriteString(c, headTooLarge)
		return 0, io.EOF
	}
	if !c.member.TakeHead(n) {
		c.server.pool.Budget().Record(budget.CauseNoRoom)
		c.Close()
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn. It fails if the caller acknowledges nothing for the budget's
// UnreadTimeout; a caller that reads slowly may take as long as it needs.
func (c *callerConn) Write(p []byte) (int, error) {
	b := c.server.pool.Budget()
	timeout := b.UnreadTimeout()
	if timeout == 0 {
		return c.TCPConn.Write(p)
	}
	b.Hold(int64(len(p)))
	defer b.Release(int64(len(p)))
	c.writeWait.Store(int64(clock.Now()))
	defer c.writeWait.Store(0)
	written, left, progress := 0, math.MaxInt, clock.Now()
	for {
		if err := c.SetWriteDeadline(time.Now().Add(timeout / unreadChecks)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if now := unacknowledged(c.TCPConn); n > 0 || now < left {
			left, progress = now, clock.Now()
		}
		if clock.Since(progress) >= timeout {
			b.Record(budget.CauseUnread)
			c.Close()
			return written, err
		}
	}
}

// Waiting implements budget.Holder.
func (c *callerConn) Waiting() (budget.Rank, clock.Instant) {
	since := clock.Instant(c.since.Load())
	switch connPhase(c.phase.Load()) {
	case phaseNew:
		return budget.RankSilent, since
	case phaseHeader, phaseLate:
		return budget.RankHead, since
	case phaseIdle:
		return budget.RankIdle, since
	}
	if t := c.writeWait.Load(); t != 0 {
		return budget.RankUnread, clock.Instant(t)
	}
	if c.reading.Load() { // since the head, so that bodies that trickle in count as waiting
		return budget.RankBody, since
	}
	return budget.RankBusy, since
}

// Evict implements budget.Holder.
func (c *callerConn) Evict() { c.Close() }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.TCPConn.Close()
	c.member.Leave()
	return err
}

// waitLonger sets the deadline of reads to the end of the server's current timeout for the
// phase. It returns false if that is over or the phase has none.
func (c *callerConn) waitLonger(phase connPhase) bool {
	if c.server.timeouts == nil {
		return false
	}
	timeouts, limit := c.server.timeouts(), time.Duration(0)
	switch phase {
	case phaseNew, phaseHeader:
		limit = timeouts.Header
	case phaseIdle:
		limit = timeouts.Idle
	}
	left := limit - clock.Since(clock.Instant(c.since.Load()))
	return left > 0 && c.SetReadDeadline(time.Now().Add(left)) == nil
}

// callerListener accepts connections as callerConn. It closes those that find no room in the
// pool of the server.
type callerListener struct {
	*net.TCPListener
	server *Server
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		member, ok := l.server.pool.Admit()
		if !ok {
			conn.Close()
			continue
		}
		c := &callerConn{TCPConn: conn, server: l.server, member: member}
		c.setPhase(phaseNew)
		member.SetHolder(c)
		return c, nil
	}
}

// followConnState records what net/http waits for on a connection.
func followConnState(c net.Conn, state http.ConnState) {
	switch caller := c.(*callerConn); state {
	case http.StateActive:
		caller.setPhase(phaseRequest)
		caller.member.ReleaseHead()
	case http.StateIdle:
		caller.setPhase(phaseIdle)
	}
}
