package httpserve

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

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
	phaseLate                     // nothing: a header did not arrive in time
)

// callerConn is a connection of a caller. Its reads wait longer than net/http allows if the
// current timeouts of the server are longer, also after a change while a read waits. net/http
// uses it from several goroutines.
type callerConn struct {
	*net.TCPConn
	server *Server
	phase  atomic.Int32 // a connPhase
	since  atomic.Int64 // clock.Instant at which the phase began
}

// setPhase records what the server waits for.
func (c *callerConn) setPhase(phase connPhase) {
	c.since.Store(int64(clock.Now()))
	c.phase.Store(int32(phase))
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		phase := connPhase(c.phase.Load())
		if n > 0 && (phase == phaseNew || phase == phaseIdle) {
			c.setPhase(phaseHeader)
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

// waitLonger sets the deadline of reads to the end of the server's current timeout for the
// phase. It returns false if that is over or the phase has none.
func (c *callerConn) waitLonger(phase connPhase) bool {
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

// callerListener accepts connections as callerConn.
type callerListener struct {
	*net.TCPListener
	server *Server
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &callerConn{TCPConn: conn, server: l.server}
	c.setPhase(phaseNew)
	return c, nil
}

// followConnState records what net/http waits for on a connection.
func followConnState(c net.Conn, state http.ConnState) {
	switch caller := c.(*callerConn); state {
	case http.StateActive:
		caller.setPhase(phaseRequest)
	case http.StateIdle:
		caller.setPhase(phaseIdle)
	}
}
