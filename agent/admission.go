package agent

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/queue"
	"github.com/baobablanding/baobablanding/policy/ramp"
	"github.com/baobablanding/baobablanding/result"
)

// slotPool hands out the slots of one upstream; each request at the upstream holds
// one. An online request takes a slot by a single atomic operation while one is free
// and no request waits. Otherwise it waits in a queue that is fair between
// workspaces. Batch requests never wait here, and online requests preempt them.
type slotPool struct {
	board        *blackboard.Board
	upstreamName string
	metrics      *Metrics
	onSlotFree   func() // called when a slot is released and no request waits

	// slots holds the number of used slots in its low 32 bits and the number of
	// waiting requests in its high 32 bits.
	slots atomic.Uint64
	meter ramp.Meter
	// seenRampRestarts is the upstream's count of ramp restarts that the meter was
	// already reset for.
	seenRampRestarts atomic.Int64
	// serviceTimeNs is the moving average of the time from the start of a request to
	// its response, or 0 before the first response.
	serviceTimeNs atomic.Int64
	// batchCount is the length of batch, for readers that do not hold mu.
	batchCount atomic.Int64

	mu        sync.Mutex // guards the fields below; taken only off the fast path
	waitQueue *queue.Fair[*waiter]
	batch     []*heldSlot // running batch requests, oldest first
}

// waiter is an online request in the queue.
type waiter struct {
	heldSlot *heldSlot
	ready    chan error // receives nil once the request has a slot, or the reason for rejecting it
}

// heldSlot is a slot that a request holds.
type heldSlot struct {
	slotPool  *slotPool
	class     fleet.Class
	epoch     ramp.Epoch
	startedAt time.Time
	// preempt cancels the request. On a batch request, slotPool.mu guards it, and it is
	// nil once it was called.
	preempt context.CancelCauseFunc
	// transferred is set once an online request uses the slot of this batch request.
	// It is guarded by slotPool.mu.
	transferred bool
}

// Layout of slotPool.slots. To subtract n atomically, the code adds ^(n - 1).
const (
	waitingShift  = 32
	usedSlotsMask = 1<<waitingShift - 1
	oneWaiting    = uint64(1) << waitingShift
)

func usedSlots(counts uint64) int    { return int(counts & usedSlotsMask) }
func waitingCount(counts uint64) int { return int(counts >> waitingShift) }

func newSlotPool(board *blackboard.Board, upstreamName string, metrics *Metrics, onSlotFree func()) *slotPool {
	return &slotPool{
		board:        board,
		upstreamName: upstreamName,
		metrics:      metrics,
		onSlotFree:   onSlotFree,
		waitQueue:    queue.NewFair[*waiter](),
	}
}

// availableUpstream returns the upstream, or an error of verdict NotRun if it gets no
// new requests. The upstream is returned together with an error of checkAvailable.
func (p *slotPool) availableUpstream() (*blackboard.Upstream, error) {
	up := p.board.Upstreams.Value().ByName(p.upstreamName)
	if up == nil {
		return nil, result.Errorf(result.UnknownUpstream, "this agent has no upstream named %q", p.upstreamName)
	}
	return up, checkAvailable(up)
}

// limit returns the number of requests that may be at the upstream at the same time. It
// restarts the ramp if the upstream began to take work, or was found cold or warm again,
// since the last call.
func (p *slotPool) limit(up *blackboard.Upstream) int {
	if known := p.seenRampRestarts.Load(); known != up.RampRestarts && p.seenRampRestarts.CompareAndSwap(known, up.RampRestarts) {
		p.meter.BeginEpoch(p.meter.Epoch())
	}
	return ramp.Limit(up.Spec, up.CurrentState(), p.meter.Completed())
}

// acquire takes a slot for the request. An online request waits for one, unless it
// has NoWait set: then it may take the slot of a batch request, or is rejected. All
// errors have the verdict NotRun. The pool calls preempt to cancel a batch request.
func (p *slotPool) acquire(ctx context.Context, req *peer.RunRequest, preempt context.CancelCauseFunc) (*heldSlot, error) {
	up, err := p.availableUpstream()
	if err != nil {
		return nil, err
	}
	slot := &heldSlot{slotPool: p, class: req.Class, preempt: preempt}
	limit := p.limit(up)
	if p.tryAcquire(limit) {
		return slot.start(), nil
	}
	if req.Class == fleet.ClassBatch {
		return nil, result.New(result.QueueFull, result.NotRun).WithRetryAfter(p.retryAfter(limit))
	}
	if !req.NoWait {
		return p.waitForSlot(ctx, req, slot)
	}
	if p.takeSlotFromBatch(up, limit) {
		return slot.start(), nil
	}
	return nil, result.New(result.QueueFull, result.NotRun).WithRetryAfter(p.retryAfter(limit))
}

// start records the start of the request that holds the slot.
func (s *heldSlot) start() *heldSlot {
	s.epoch = s.slotPool.meter.Epoch()
	s.startedAt = time.Now()
	if s.class == fleet.ClassBatch {
		s.slotPool.addBatch(s)
	}
	return s
}

// tryAcquire takes a slot if one is free and no request waits, and reports whether it
// did.
func (p *slotPool) tryAcquire(limit int) bool {
	for {
		counts := p.slots.Load()
		if waitingCount(counts) > 0 || usedSlots(counts) >= limit {
			return false
		}
		if p.slots.CompareAndSwap(counts, counts+1) {
			return true
		}
	}
}

// acquireOrCountWaiting takes a slot as tryAcquire does, or else counts one more
// waiting request. It reports whether it took a slot.
func (p *slotPool) acquireOrCountWaiting(limit int) bool {
	for {
		counts := p.slots.Load()
		if waitingCount(counts) == 0 && usedSlots(counts) < limit {
			if p.slots.CompareAndSwap(counts, counts+1) {
				return true
			}
			continue
		}
		if p.slots.CompareAndSwap(counts, counts+oneWaiting) {
			return false
		}
	}
}

// waitForSlot queues an online request until it has a slot, its caller gives up, or
// the longest wait set in the rules has passed.
func (p *slotPool) waitForSlot(ctx context.Context, req *peer.RunRequest, slot *heldSlot) (*heldSlot, error) {
	rules := p.rules()
	w := &waiter{heldSlot: slot, ready: make(chan error, 1)}
	entry, err := p.enqueue(req, w, rules.MaxOnlineQueue)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	timer := time.NewTimer(rules.MaxOnlineWait)
	defer timer.Stop()
	select {
	case err = <-w.ready:
	case <-timer.C:
		err = p.leaveQueue(entry, w, result.New(result.QueueTimeout, result.NotRun).WithRetryAfter(minRetryAfter))
	case <-ctx.Done():
		err = p.leaveQueue(entry, w, cancelledError(ctx, result.NotRun))
	}
	p.metrics.queueWait.Observe(time.Since(began).Seconds())
	if err != nil {
		return nil, err
	}
	return slot.start(), nil
}

// rules returns the rules in force, or zero rules before a configuration is in force.
func (p *slotPool) rules() fleet.Rules {
	if view := p.board.Config.Value().View; view != nil {
		return view.Inventory.Rules
	}
	return fleet.Rules{}
}

// enqueue gives the request a slot if one has become free; the entry is nil then.
// Otherwise it adds the request to the queue. If the queue then holds more than
// maxQueued requests, it rejects the newest request of the workspace that has the
// most queued requests relative to its weight.
func (p *slotPool) enqueue(req *peer.RunRequest, w *waiter, maxQueued int) (*queue.Entry[*waiter], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	up, err := p.availableUpstream()
	if err != nil {
		return nil, err
	}
	limit := p.limit(up)
	if p.acquireOrCountWaiting(limit) {
		w.ready <- nil
		return nil, nil
	}
	entry := p.waitQueue.Push(req.Workspace, req.Weight, w)
	p.assignFreeSlots(limit)
	p.preemptForWaiting(up, limit)
	if p.waitQueue.Len() > maxQueued {
		p.evictOne(limit)
	}
	return entry, nil
}

// evictOne rejects one waiting request. The caller holds mu.
func (p *slotPool) evictOne(limit int) {
	if w, ok := p.waitQueue.Evict(); ok {
		p.slots.Add(^(oneWaiting - 1))
		w.ready <- result.New(result.QueueFull, result.NotRun).WithRetryAfter(p.retryAfter(limit))
	}
}

// leaveQueue takes a request out of the queue and returns the reason. A request that
// was given a slot meanwhile releases it; one that was rejected meanwhile gets the
// error of the rejection.
func (p *slotPool) leaveQueue(entry *queue.Entry[*waiter], w *waiter, reason *result.Error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry != nil && p.waitQueue.Remove(entry) {
		p.slots.Add(^(oneWaiting - 1))
		return reason
	}
	err := <-w.ready
	if err != nil {
		return err
	}
	p.slots.Add(^uint64(0))
	p.rebalance()
	return reason
}

// assignFreeSlots gives free slots to waiting requests. The caller holds mu.
func (p *slotPool) assignFreeSlots(limit int) {
	for {
		counts := p.slots.Load()
		if waitingCount(counts) == 0 || usedSlots(counts) >= limit {
			return
		}
		if p.slots.CompareAndSwap(counts, counts-oneWaiting+1) {
			p.assignToNext()
		}
	}
}

// assignToNext takes the next request out of the queue and lets it proceed with a slot.
// The caller has counted the slot and holds mu.
func (p *slotPool) assignToNext() {
	if w, ok := p.waitQueue.Pop(); ok {
		w.ready <- nil
	}
}

// release frees the slot, unless it was transferred to an online request. Waiting
// requests get it first.
func (p *slotPool) release(slot *heldSlot) {
	if slot.class == fleet.ClassBatch && !p.removeBatch(slot) {
		return
	}
	for {
		counts := p.slots.Load()
		if waitingCount(counts) > 0 {
			break
		}
		if p.slots.CompareAndSwap(counts, counts-1) {
			p.onSlotFree()
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Add(^uint64(0))
	p.rebalance()
}

// refresh applies a change of the upstream's state to waiting and running requests.
func (p *slotPool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rebalance()
}

// rebalance gives free slots to waiting requests and preempts batch requests that
// exceed the concurrency limit. If the upstream gets no new requests, it rejects all
// waiting ones instead. The caller holds mu.
func (p *slotPool) rebalance() {
	up, err := p.availableUpstream()
	if err != nil {
		p.rejectAll(err)
		return
	}
	limit := p.limit(up)
	p.assignFreeSlots(limit)
	p.preemptForWaiting(up, limit)
	for usedSlots(p.slots.Load())-p.preemptedCount() > limit {
		slot := p.newestRunningBatch()
		if slot == nil {
			return
		}
		p.preemptBatch(slot)
	}
}

// rejectAll ends the wait of all queued requests with err. The caller holds mu.
func (p *slotPool) rejectAll(err error) {
	for {
		w, ok := p.waitQueue.Pop()
		if !ok {
			return
		}
		p.slots.Add(^(oneWaiting - 1))
		w.ready <- err
	}
}

// retryAfter estimates how long it takes until a rejected request may get a slot, from
// the number of waiting requests and the average time of a request.
func (p *slotPool) retryAfter(limit int) time.Duration {
	rounds := float64(waitingCount(p.slots.Load())+1) / float64(max(limit, 1))
	wait := time.Duration(math.Ceil(rounds) * float64(p.serviceTimeNs.Load()))
	return max(wait, minRetryAfter)
}

// minRetryAfter is the shortest time that a rejected caller is asked to wait.
const minRetryAfter = 100 * time.Millisecond

// serviceTimeSamples is the number of requests over which serviceTimeNs is averaged.
const serviceTimeSamples = 16

// recordSuccess counts a request that the upstream completed and records the time that
// it took.
func (p *slotPool) recordSuccess(slot *heldSlot) {
	p.meter.CountCompleted(slot.epoch)
	elapsed, mean := int64(time.Since(slot.startedAt)), p.serviceTimeNs.Load()
	if mean == 0 {
		p.serviceTimeNs.Store(elapsed)
		return
	}
	p.serviceTimeNs.Add((elapsed - mean) / serviceTimeSamples)
}

// recordColdSign records a sign that the upstream became cold after the request that
// holds the slot had started. Only the first sign of an epoch counts.
func (p *slotPool) recordColdSign(slot *heldSlot) {
	if !p.meter.BeginEpoch(slot.epoch) {
		return
	}
	p.metrics.coldSigns.Inc()
	if up, err := p.availableUpstream(); err == nil {
		up.Load.ColdSigns.Add(1)
	}
	p.refresh()
}

// idleSlots returns the number of slots that batch requests may take now. It is 0
// unless the upstream is ready and no online request waits.
func (p *slotPool) idleSlots() int {
	up, err := p.availableUpstream()
	counts := p.slots.Load()
	if err != nil || up.CurrentState() != fleet.StateReady || waitingCount(counts) > 0 {
		return 0
	}
	return max(0, p.limit(up)-usedSlots(counts))
}
