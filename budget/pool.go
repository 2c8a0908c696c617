package budget

import (
	"sync"
	"sync/atomic"

	"github.com/baobablanding/baobablanding/clock"
)

// Rank says what a connection keeps the process waiting for. Those with the lowest rank are
// closed first.
type Rank int

const (
	// RankIdle is a connection between two requests.
	RankIdle Rank = iota
	// RankSilent is a connection that has sent nothing.
	RankSilent
	// RankHead is a connection in the middle of a head or frame.
	RankHead
	// RankBody is a connection whose next part of a body is awaited.
	RankBody
	// RankUnread is a connection whose caller does not read what is written.
	RankUnread
	// RankBusy is a connection that the process does not wait for. It is never closed.
	RankBusy
)

// cause returns the cause of the eviction of a connection.
func (r Rank) cause() Cause {
	return [...]Cause{CauseIdle, CauseSilent, CauseHead, CauseBody, CauseSlow}[r]
}

// Holder is a connection in a pool. Its methods are called from several goroutines.
type Holder interface {
	// Waiting returns what the connection keeps the process waiting for, and since when.
	Waiting() (Rank, clock.Instant)
	// Evict closes the connection, which leaves its pool.
	Evict()
}

// Pool is the connections of one listener or of several. A nil Pool has no bounds. It may be
// used by several goroutines.
type Pool struct {
	budget  *Budget
	members []atomic.Pointer[Member]
	free    chan int // indices of the members that are nil
}

// Member is a connection that was admitted to a pool.
type Member struct {
	pool   *Pool
	index  int
	holder Holder       // set before the member is in pool.members
	head   atomic.Int64 // bytes taken for an incomplete head
	left   atomic.Bool
	leave  sync.Once
}

// minConnections is the smallest pool: a few connections of a load balancer or a scraper.
const minConnections = 8

// maxConnections bounds a pool in a process that may open very many files.
const maxConnections = 1 << 16

// NewPool returns a pool for a fraction of the descriptors of the process. It returns nil for
// a nil Budget.
func (b *Budget) NewPool(fraction float64) *Pool {
	if b == nil {
		return nil
	}
	n := min(max(int(float64(b.limits.Descriptors)*fraction), minConnections), maxConnections)
	p := &Pool{budget: b, members: make([]atomic.Pointer[Member], n), free: make(chan int, n)}
	for i := range n {
		p.free <- i
	}
	for {
		old := b.pools.Load()
		all := append((*old)[:len(*old):len(*old)], p)
		if b.pools.CompareAndSwap(old, &all) {
			return p
		}
	}
}

// Budget returns the budget of the pool, or nil for a nil Pool.
func (p *Pool) Budget() *Budget {
	if p == nil {
		return nil
	}
	return p.budget
}

// Admit takes room for a new connection, if need be after an eviction. It returns false if there
// is none; the caller then closes the connection. Otherwise the connection may be evicted after
// SetHolder. The member of a nil Pool is nil.
func (p *Pool) Admit() (*Member, bool) {
	if p == nil {
		return nil, true
	}
	index, ok := p.place()
	if !ok {
		p.budget.evict([]*Pool{p}, RankUnread)
		index, ok = p.place()
	}
	if ok && !p.budget.Take(connCost) {
		p.free <- index
		ok = false
	}
	if !ok {
		p.budget.Record(CauseRefused)
		return nil, false
	}
	return &Member{pool: p, index: index}, true
}

// SetHolder sets the connection of the member. It is called once, before the connection is used.
func (m *Member) SetHolder(h Holder) {
	if m != nil {
		m.holder = h
		m.pool.members[m.index].Store(m)
	}
}

// place takes a free index.
func (p *Pool) place() (index int, ok bool) {
	select {
	case index = <-p.free:
		return index, true
	default:
		return 0, false
	}
}

// candidates appends the connections whose rank is at most worst, and that have kept the process
// waiting for long enough.
func (p *Pool) candidates(found []candidate, worst Rank) []candidate {
	now := clock.Now()
	for i := range p.members {
		m := p.members[i].Load()
		if m == nil {
			continue
		}
		rank, since := m.holder.Waiting()
		if rank > worst || rank == RankBusy || rank >= RankBody && now.Sub(since) < minWait {
			continue
		}
		found = append(found, candidate{member: m, rank: rank, since: since})
	}
	return found
}

// TakeHead takes room for n bytes of an incomplete head and reports whether there was any.
// Beyond the part of the budget for heads, the oldest incomplete heads are closed.
func (m *Member) TakeHead(n int) bool {
	if m == nil {
		return true
	}
	b, cost := m.pool.budget, int64(n)*headCost
	if b.maxHeadBytes > 0 && b.headBytes.Load()+cost > b.maxHeadBytes {
		b.evictHeads()
	}
	if !b.Take(cost) {
		return false
	}
	b.headBytes.Add(cost)
	m.head.Add(cost)
	if m.left.Load() { // closed by another caller meanwhile
		m.ReleaseHead()
		return false
	}
	return true
}

// evictHeads closes the oldest connections with incomplete heads.
func (b *Budget) evictHeads() {
	var found []candidate
	for _, p := range *b.pools.Load() {
		found = p.candidates(found, RankHead)
	}
	heads := found[:0]
	for _, c := range found {
		if c.rank == RankHead {
			heads = append(heads, c)
		}
	}
	b.closeOldest(heads, 1+len(heads)/evictionShare)
}

// ReleaseHead gives back what was taken for the head, which is complete.
func (m *Member) ReleaseHead() {
	if m == nil {
		return
	}
	if taken := m.head.Swap(0); taken > 0 {
		m.pool.budget.headBytes.Add(-taken)
		m.pool.budget.Release(taken)
	}
}

// Leave gives back all that the connection holds. It may be called more than once; each call
// returns after the room is free, which whoever evicts the connection counts on.
func (m *Member) Leave() {
	if m == nil {
		return
	}
	m.leave.Do(func() {
		m.left.Store(true)
		m.ReleaseHead()
		m.pool.members[m.index].Store(nil)
		m.pool.budget.Release(connCost)
		m.pool.free <- m.index
	})
}
