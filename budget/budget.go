// Package budget bounds the connections and the bytes that a process holds for callers and
// for other processes. What is held is taken from the budget before it is allocated. Beyond
// the budget the connections that keep the process waiting are closed, the oldest idle one
// first. All state is in atomics; an eviction is the only operation that looks at all
// connections.
package budget

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/clock"
)

// Limits are the resources of a process.
type Limits struct {
	// MemoryBytes is the memory of the process. 0 means that bytes have no bound.
	MemoryBytes int64
	// Descriptors is the number of files that the process may open.
	Descriptors int
	// UnreadTimeout is how long a caller may take to receive anything of what was written to
	// it. 0 means no bound.
	UnreadTimeout time.Duration
}

const (
	// memoryFraction is the part of a process's memory that the budget hands out. The program,
	// its state, the engines' answers and the garbage collector need the rest.
	memoryFraction = 0.4
	// headFraction is the part of the budget for heads and frames that are not complete.
	headFraction = 0.25
	// frameFraction is the part of the budget for long frames. Their buffers leave much garbage:
	// with the whole budget, 48 processes that sent 4 MB each took 80 MB of 64 in one of four runs.
	frameFraction = 0.5
	// headCost is the memory that a byte of an incomplete head takes: net/http needs 54 KB for a
	// head of 15 KB that stops.
	headCost = 4
	// connCost is the memory that a connection takes without any message: its buffers and the
	// stacks of its goroutines. 1,890 idle ones took 50 MB.
	connCost = 24 << 10
	// evictionShare is the part of a pool's connections that one eviction may close, so that a
	// crowd causes few of them.
	evictionShare = 32
	// minWait is how long a connection must have kept the process waiting in the middle of a
	// body or an answer before it may be closed.
	minWait = time.Second
)

// Budget bounds the bytes that the connections of all its pools hold together. A nil Budget has
// no bounds. It may be used by several goroutines.
type Budget struct {
	limits        Limits
	maxBytes      int64
	maxHeadBytes  int64
	bytes         atomic.Int64
	headBytes     atomic.Int64 // part of bytes
	frameBytes    atomic.Int64 // part of bytes
	pools         atomic.Pointer[[]*Pool]
	closed        *prometheus.CounterVec // by cause
	log           *log.Logger
	lastLine      atomic.Int64 // clock.Instant of the last log line
	closedBetween atomic.Int64 // connections closed since then
}

// New returns a budget for the limits. Its metrics are registered with reg; New panics if reg
// has metrics of the same names.
func New(limits Limits, reg prometheus.Registerer, logger *log.Logger) *Budget {
	b := &Budget{limits: limits, maxBytes: int64(float64(limits.MemoryBytes) * memoryFraction), log: logger}
	b.maxHeadBytes = int64(float64(b.maxBytes) * headFraction)
	b.pools.Store(new([]*Pool))
	b.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "baobab_budget_closed_connections_total",
		Help: "Connections that were closed or refused because of the budget or of a caller that does not read, by cause.",
	}, []string{"cause"})
	for _, cause := range causes {
		b.closed.WithLabelValues(string(cause))
	}
	reg.MustRegister(b.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "baobab_budget_bytes", Help: "Bytes taken from the budget of the process.",
	}, func() float64 { return float64(b.Bytes()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "baobab_budget_connections", Help: "Connections that the listeners of the process hold.",
	}, func() float64 { return float64(b.Connections()) }))
	return b
}

// UnreadTimeout returns that of the limits, or 0 for a nil Budget.
func (b *Budget) UnreadTimeout() time.Duration {
	if b == nil {
		return 0
	}
	return b.limits.UnreadTimeout
}

// Bytes returns the number of bytes that are taken.
func (b *Budget) Bytes() int64 { return b.bytes.Load() }

// Connections returns the number of connections of all pools.
func (b *Budget) Connections() int {
	n := 0
	for _, p := range *b.pools.Load() {
		n += cap(p.free) - len(p.free)
	}
	return n
}

// Take takes n bytes and reports whether there was room for them, if need be after an
// eviction. The caller gives them back with Release.
func (b *Budget) Take(n int64) bool {
	if b == nil || b.tryTake(n) {
		return true
	}
	b.evict(*b.pools.Load(), RankUnread)
	return b.tryTake(n)
}

// tryTake takes n bytes if there is room for them.
func (b *Budget) tryTake(n int64) bool {
	if b.bytes.Add(n) <= b.maxBytes || b.maxBytes == 0 {
		return true
	}
	b.bytes.Add(-n)
	return false
}

// Hold takes n bytes that are allocated already. Beyond the budget it closes the connections
// that keep the process waiting, the slowest last.
func (b *Budget) Hold(n int64) {
	if b != nil && b.bytes.Add(n) > b.maxBytes && b.maxBytes > 0 {
		b.evict(*b.pools.Load(), RankUnread)
	}
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.bytes.Add(-n)
	}
}

// TakeFrame is Take within the part of the budget for frames. The caller gives the bytes back with
// ReleaseFrame.
func (b *Budget) TakeFrame(n int64) bool {
	if b == nil {
		return true
	}
	held := float64(b.frameBytes.Add(n))
	if (b.maxBytes == 0 || held <= float64(b.maxBytes)*frameFraction) && b.Take(n) {
		return true
	}
	b.frameBytes.Add(-n)
	return false
}

// ReleaseFrame gives n bytes of a frame back.
func (b *Budget) ReleaseFrame(n int64) {
	if b != nil {
		b.frameBytes.Add(-n)
		b.Release(n)
	}
}

// candidate is a connection that may be closed.
type candidate struct {
	member *Member
	rank   Rank
	since  clock.Instant
}

// evict closes the connections of the pools that have the lowest rank up to worst, the oldest
// first, at most a share of all.
func (b *Budget) evict(pools []*Pool, worst Rank) {
	var found []candidate
	held := 0
	for _, p := range pools {
		held += cap(p.free) - len(p.free)
		found = p.candidates(found, worst)
	}
	b.closeOldest(found, 1+held/evictionShare)
}

// closeOldest closes the n connections with the lowest ranks, the oldest first.
func (b *Budget) closeOldest(found []candidate, n int) {
	slices.SortFunc(found, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.since, y.since))
	})
	for _, c := range found[:min(len(found), n)] {
		b.Record(c.rank.cause())
		c.member.holder.Evict()
	}
}

// Cause says why a connection was closed. The values are those of the label cause.
type Cause string

const (
	// CauseIdle, CauseSilent, CauseHead, CauseBody and CauseSlow are evictions, by Rank.
	CauseIdle   Cause = "idle"
	CauseSilent Cause = "silent"
	CauseHead   Cause = "head_incomplete"
	CauseBody   Cause = "body_waiting"
	CauseSlow   Cause = "slow_reader"
	// CauseRefused means that a new connection found no room.
	CauseRefused Cause = "refused"
	// CauseUnread means that the caller received nothing for UnreadTimeout.
	CauseUnread Cause = "unread"
	// CauseHeadTooLarge means that a head exceeded the configured size.
	CauseHeadTooLarge Cause = "head_too_large"
	// CauseNoRoom means that a message found no room.
	CauseNoRoom Cause = "no_room"
)

var causes = []Cause{CauseIdle, CauseSilent, CauseHead, CauseBody, CauseSlow, CauseRefused, CauseUnread, CauseHeadTooLarge, CauseNoRoom}

// lineInterval is the time between two log lines of a budget.
const lineInterval = time.Second

// Record counts a connection that is closed for the cause, and logs one line a second at most.
func (b *Budget) Record(cause Cause) {
	if b == nil {
		return
	}
	b.closed.WithLabelValues(string(cause)).Inc()
	n, now, last := b.closedBetween.Add(1), clock.Now(), b.lastLine.Load()
	if last != 0 && now.Sub(clock.Instant(last)) < lineInterval || !b.lastLine.CompareAndSwap(last, int64(now)) {
		return
	}
	b.closedBetween.Add(-n)
	b.log.Warn().Str("cause", string(cause)).Int64("connections", n).Int64("bytes_held", b.bytes.Load()).
		Int("connections_held", b.Connections()).Msg("connections were closed by the budget of the process; cause is that of the last one")
}
