package budget

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/baobablanding/baobablanding/clock"
	_ "github.com/baobablanding/baobablanding/history/seed"
)

// fakeConn is a connection that waits for something since a time.
type fakeConn struct {
	member *Member
	rank   Rank
	since  clock.Instant
	closed bool
}

func (c *fakeConn) Waiting() (Rank, clock.Instant) { return c.rank, c.since }

func (c *fakeConn) Evict() {
	c.closed = true
	c.member.Leave()
}

func newBudget(limits Limits) *Budget {
	return New(limits, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
}

// open admits a connection, or returns nil.
func open(p *Pool, rank Rank, since clock.Instant) *fakeConn {
	m, ok := p.Admit()
	if !ok {
		return nil
	}
	c := &fakeConn{member: m, rank: rank, since: since}
	m.SetHolder(c)
	return c
}

// TestEvictionFreesRoomAtOnce guards against a new connection that is refused because the one that
// was evicted for it is just closing by itself.
func TestEvictionFreesRoomAtOnce(t *testing.T) {
	p := newBudget(Limits{MemoryBytes: 64 << 20, Descriptors: minConnections}).NewPool(1)
	now := clock.Now()
	for len(p.free) > 0 {
		open(p, RankIdle, now)
	}
	const rounds = 20_000
	refused := 0
	for i := range rounds {
		c := open(p, RankIdle, now.Add(time.Duration(i-rounds))) // the oldest, which is evicted next
		if c == nil {
			refused++
			continue
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			c.member.Leave()
		}()
		if next := open(p, RankIdle, now); next == nil {
			refused++
		}
		<-closed
	}
	if refused > 0 {
		t.Errorf("%d of %d connections were refused", refused, 2*rounds)
	}
}

// TestOldestIdleConnectionIsClosedFirst guards against a full process that refuses ordinary
// callers or closes busy or recent connections while older idle ones exist.
func TestOldestIdleConnectionIsClosedFirst(t *testing.T) {
	p := newBudget(Limits{MemoryBytes: 64 << 20, Descriptors: minConnections}).NewPool(1)
	now := clock.Now()
	var all []*fakeConn
	for i, rank := range []Rank{RankBusy, RankUnread, RankBody, RankHead, RankSilent, RankIdle, RankIdle, RankBusy} {
		all = append(all, open(p, rank, now.Add(-5*minWait+time.Duration(i))))
	}
	for _, want := range []int{5, 6, 4, 3, 2, 1} {
		if open(p, RankBusy, now) == nil {
			t.Fatalf("no room although connection %d can be closed", want)
		}
		if !all[want].closed {
			t.Fatalf("connection %d is open", want)
		}
	}
	if open(p, RankIdle, now) != nil || all[0].closed || all[7].closed {
		t.Error("a busy connection was closed")
	}
}

// TestBudgetIsNeverExceeded guards against room that is given twice or lost: the bytes stay
// within the budget and are 0 after all has been given back.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(Limits{MemoryBytes: 1 << 20, Descriptors: 20})
		p := b.NewPool(1)
		var conns []*fakeConn
		var taken []int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				rank := Rank(rapid.IntRange(0, int(RankBusy)).Draw(t, "rank"))
				if c := open(p, rank, clock.Now().Add(-2*minWait)); c != nil {
					conns = append(conns, c)
				}
			case 1:
				if n := rapid.Int64Range(1, 300<<10).Draw(t, "bytes"); b.Take(n) {
					taken = append(taken, n)
				}
			case 2:
				if len(conns) > 0 {
					rapid.SampledFrom(conns).Draw(t, "conn").member.TakeHead(rapid.IntRange(1, 20<<10).Draw(t, "head"))
				}
			case 3:
				if len(conns) > 0 {
					rapid.SampledFrom(conns).Draw(t, "conn").member.ReleaseHead()
				}
			case 4:
				if len(taken) > 0 {
					b.Release(taken[0])
					taken = taken[1:]
				}
			}
			if b.Bytes() > b.maxBytes || b.Connections() > cap(p.free) {
				t.Fatalf("%d of %d bytes, %d of %d connections", b.Bytes(), b.maxBytes, b.Connections(), cap(p.free))
			}
		}
		for _, c := range conns {
			c.member.Leave()
		}
		for _, n := range taken {
			b.Release(n)
		}
		if b.Bytes() != 0 || b.headBytes.Load() != 0 || b.Connections() != 0 {
			t.Errorf("%d bytes, %d of heads and %d connections are left", b.Bytes(), b.headBytes.Load(), b.Connections())
		}
	})
}
