package peer

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/clock"
)

// callCost is the memory that a call takes beside its parameters: its goroutine and response.
const callCost = 32 << 10

// errNoRoom ends a connection whose message finds no room in the budget.
var errNoRoom = errors.New("peer: no room for the message")

// serverConn is a connection that another process opened. What it holds is taken from the
// budget of this process. A nil serverConn has no bounds.
type serverConn struct {
	boundedConn
	pool    *budget.Pool
	member  *budget.Member
	since   atomic.Int64 // clock.Instant of the beginning, of the last message or of the frame
	inFrame atomic.Bool  // the rest of a message is awaited
	known   atomic.Bool  // a message has arrived
	calls   atomic.Int64 // calls that are being served
}

// admit returns the connection as part of the pool, or nil if there is no room for it.
func admit(conn net.Conn, pool *budget.Pool) *serverConn {
	member, ok := pool.Admit()
	if !ok {
		return nil
	}
	c := &serverConn{boundedConn: boundedConn{conn}, pool: pool, member: member}
	c.since.Store(int64(clock.Now()))
	member.SetHolder(c)
	return c
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.boundedConn.Read(p)
	if n > 0 && c.inFrame.CompareAndSwap(false, true) {
		c.since.Store(int64(clock.Now()))
	}
	return n, err
}

// messageRead records that a message is complete.
func (c *serverConn) messageRead() {
	if c != nil {
		c.since.Store(int64(clock.Now()))
		c.known.Store(true)
		c.inFrame.Store(false)
	}
}

// take takes n bytes of the budget for a frame. If there is no room, it counts a connection that is closed.
func (c *serverConn) take(n int64) bool {
	if c == nil || c.pool.Budget().TakeFrame(n) {
		return true
	}
	c.pool.Budget().Record(budget.CauseNoRoom)
	return false
}

// release gives n bytes of a frame back.
func (c *serverConn) release(n int64) {
	if c != nil {
		c.pool.Budget().ReleaseFrame(n)
	}
}

// beginCall takes room for a call with parameters of the size, and reports whether there was
// any. The caller then calls endCall.
func (c *serverConn) beginCall(size int) bool {
	if c == nil {
		return true
	}
	if !c.pool.Budget().Take(int64(size) + callCost) {
		return false
	}
	c.calls.Add(1)
	return true
}

// endCall gives the room of a call back.
func (c *serverConn) endCall(size int) {
	if c != nil {
		c.calls.Add(-1)
		c.pool.Budget().Release(int64(size) + callCost)
	}
}

// Waiting implements budget.Holder. A process that has sent messages is closed only after all
// that have not, and never while its calls are served.
func (c *serverConn) Waiting() (budget.Rank, clock.Instant) {
	since := clock.Instant(c.since.Load())
	switch {
	case c.calls.Load() > 0:
		return budget.RankBusy, since
	case c.inFrame.Load():
		return budget.RankHead, since
	case !c.known.Load():
		return budget.RankSilent, since
	default:
		return budget.RankBody, since
	}
}

// Evict implements budget.Holder.
func (c *serverConn) Evict() { c.Close() }

// Close implements net.Conn.
func (c *serverConn) Close() error {
	err := c.boundedConn.Close()
	c.member.Leave()
	return err
}
