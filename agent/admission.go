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

// admission hands out the slots of one upstream. While a slot is free and
// nothing waits, an online request takes one by a single atomic operation.
// Otherwise it waits in a queue that is fair between workspaces. Batch requests
// never wait here and give their slots up to online requests.
type admission struct {
	board    *blackboard.Board
	upstream string
	metrics  *Metrics
	notify   func()

	// slots holds the used slots in its low half and the number of waiting
	// requests in its high half.
	slots atomic.Uint64
	meter ramp.Meter
	// coldStarts is the number of cold starts that the meter knows of.
	coldStarts atomic.Int64
	// service is the usual time of a request in ns.
	service atomic.Int64
	// batchRunning is the length of batch.
	batchRunning atomic.Int64

	mu      sync.Mutex // guards what follows; taken only off the fast path
	waiting *queue.Fair[*waiter]
	batch   []*grant // running batch requests, oldest first
}

// waiter is an online request in the queue.
type waiter struct {
	grant *grant
	ready chan error // receives nil with a slot, or why there is none
}

// grant is a slot that a request holds.
type grant struct {
	admission *admission
	class     fleet.Class
	epoch     ramp.Epoch
	began     time.Time
	// preempt ends a batch request.
	preempt context.CancelCauseFunc
	// transferred tells that the slot went to an online request. It is guarded
	// by the admission's mutex.
	transferred bool
}

const (
	waitingShift = 32
	usedMask     = 1<<waitingShift - 1
	oneWaiting   = uint64(1) << waitingShift
)

func used(slots uint64) int    { return int(slots & usedMask) }
func waiting(slots uint64) int { return int(slots >> waitingShift) }

func newAdmission(board *blackboard.Board, upstream string, metrics *Metrics, notify func()) *admission {
	return &admission{
		board:    board,
		upstream: upstream,
		metrics:  metrics,
		notify:   notify,
		waiting:  queue.NewFair[*waiter](),
	}
}

// current returns the upstream, or why it gets no new work.
func (d *admission) current() (*blackboard.Upstream, error) {
	up := d.board.Upstreams.Value().ByName(d.upstream)
	if up == nil {
		return nil, result.Errorf(result.UnknownUpstream, "upstream %q is not served here", d.upstream)
	}
	return up, checkState(up)
}

// limit returns the number of requests that the upstream gets at once.
func (d *admission) limit(up *blackboard.Upstream) int {
	if known := d.coldStarts.Load(); known != up.ColdStarts && d.coldStarts.CompareAndSwap(known, up.ColdStarts) {
		d.meter.Reset(d.meter.Epoch())
	}
	return ramp.Limit(up.Spec, up.CurrentState(), d.meter.Completed())
}

// acquire takes a slot for the request, and waits for one if it is online. The
// error says that nothing was run. The function preempt ends a batch request.
func (d *admission) acquire(ctx context.Context, req *peer.RunRequest, preempt context.CancelCauseFunc) (*grant, error) {
	up, err := d.current()
	if err != nil {
		return nil, err
	}
	g := &grant{admission: d, class: req.Class, preempt: preempt}
	limit := d.limit(up)
	if d.tryTake(limit) {
		return g.start(), nil
	}
	if req.Class == fleet.Batch {
		return nil, result.New(result.QueueFull, result.NotRun).After(d.retryAfter(limit))
	}
	if !req.NoWait {
		return d.wait(ctx, req, g)
	}
	if d.takeFromBatch(up, limit) {
		return g.start(), nil
	}
	return nil, result.New(result.QueueFull, result.NotRun).After(d.retryAfter(limit))
}

// start notes when the request of the grant begins.
func (g *grant) start() *grant {
	g.epoch = g.admission.meter.Epoch()
	g.began = time.Now()
	if g.class == fleet.Batch {
		g.admission.addBatch(g)
	}
	return g
}

// tryTake takes a slot if nothing waits and one is free.
func (d *admission) tryTake(limit int) bool {
	for {
		s := d.slots.Load()
		if waiting(s) > 0 || used(s) >= limit {
			return false
		}
		if d.slots.CompareAndSwap(s, s+1) {
			return true
		}
	}
}

// takeOrWait takes a slot like tryTake, or counts a waiting request.
func (d *admission) takeOrWait(limit int) bool {
	for {
		s := d.slots.Load()
		if waiting(s) == 0 && used(s) < limit {
			if d.slots.CompareAndSwap(s, s+1) {
				return true
			}
			continue
		}
		if d.slots.CompareAndSwap(s, s+oneWaiting) {
			return false
		}
	}
}

// wait queues an online request until it has a slot.
func (d *admission) wait(ctx context.Context, req *peer.RunRequest, g *grant) (*grant, error) {
	rules := d.rules()
	w := &waiter{grant: g, ready: make(chan error, 1)}
	entry, err := d.enqueue(req, w, rules.OnlineQueue)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	timer := time.NewTimer(rules.OnlineWait)
	defer timer.Stop()
	select {
	case err = <-w.ready:
	case <-timer.C:
		err = d.abandon(entry, w, result.New(result.QueueTimeout, result.NotRun).After(minRetryAfter))
	case <-ctx.Done():
		err = d.abandon(entry, w, cancelled(ctx, result.NotRun))
	}
	d.metrics.queueWait.Observe(time.Since(began).Seconds())
	if err != nil {
		return nil, err
	}
	return g.start(), nil
}

func (d *admission) rules() fleet.Rules {
	if view := d.board.Config.Value().View; view != nil {
		return view.Inventory.Rules
	}
	return fleet.Rules{}
}

// enqueue gives the request a slot if one has become free, or a place in the
// queue. A full queue gives up the newest request of the workspace that has the
// most requests in it.
func (d *admission) enqueue(req *peer.RunRequest, w *waiter, bound int) (*queue.Entry[*waiter], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	up, err := d.current()
	if err != nil {
		return nil, err
	}
	limit := d.limit(up)
	if d.takeOrWait(limit) {
		w.ready <- nil
		return nil, nil
	}
	entry := d.waiting.Push(req.Workspace, req.Weight, w)
	d.grantFree(limit)
	d.preemptFor(up, limit)
	if d.waiting.Len() > bound {
		d.evict(limit)
	}
	return entry, nil
}

// evict refuses one waiting request. The caller holds the mutex.
func (d *admission) evict(limit int) {
	if w, ok := d.waiting.Evict(); ok {
		d.slots.Add(^(oneWaiting - 1))
		w.ready <- result.New(result.QueueFull, result.NotRun).After(d.retryAfter(limit))
	}
}

// abandon takes a request out of the queue. If it was given a slot meanwhile,
// the slot is given back.
func (d *admission) abandon(entry *queue.Entry[*waiter], w *waiter, reason *result.Error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entry != nil && d.waiting.Remove(entry) {
		d.slots.Add(^(oneWaiting - 1))
		return reason
	}
	err := <-w.ready
	if err != nil {
		return err
	}
	d.slots.Add(^uint64(0))
	d.pump()
	return reason
}

// grantFree gives free slots to waiting requests. The caller holds the mutex.
func (d *admission) grantFree(limit int) {
	for {
		s := d.slots.Load()
		if waiting(s) == 0 || used(s) >= limit {
			return
		}
		if d.slots.CompareAndSwap(s, s-oneWaiting+1) {
			d.grantNext()
		}
	}
}

// grantNext tells the request that is served next that it has a slot. The
// caller holds the mutex.
func (d *admission) grantNext() {
	if w, ok := d.waiting.Pop(); ok {
		w.ready <- nil
	}
}

// release gives the slot of the grant back.
func (d *admission) release(g *grant) {
	if g.class == fleet.Batch && !d.removeBatch(g) {
		return
	}
	for {
		s := d.slots.Load()
		if waiting(s) > 0 {
			break
		}
		if d.slots.CompareAndSwap(s, s-1) {
			d.notify()
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots.Add(^uint64(0))
	d.pump()
}

// refresh acts on a change of the upstream's state.
func (d *admission) refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump()
}

// pump gives free slots to waiting requests, refuses them if the upstream gets
// no new work, and ends batch requests that it no longer bears. The caller
// holds the mutex.
func (d *admission) pump() {
	up, err := d.current()
	if err != nil {
		d.refuseAll(err)
		return
	}
	limit := d.limit(up)
	d.grantFree(limit)
	d.preemptFor(up, limit)
	for used(d.slots.Load())-d.preempted() > limit {
		g := d.newestBatch()
		if g == nil {
			return
		}
		d.end(g)
	}
}

func (d *admission) refuseAll(err error) {
	for {
		w, ok := d.waiting.Pop()
		if !ok {
			return
		}
		d.slots.Add(^(oneWaiting - 1))
		w.ready <- err
	}
}

// retryAfter returns the time after which a refused request may find a place.
func (d *admission) retryAfter(limit int) time.Duration {
	ahead := float64(waiting(d.slots.Load())+1) / float64(max(limit, 1))
	wait := time.Duration(math.Ceil(ahead) * float64(d.service.Load()))
	return max(wait, minRetryAfter)
}

// minRetryAfter is the shortest time that a refused caller is asked to wait.
const minRetryAfter = 100 * time.Millisecond

// serviceWeight is the number of requests over which their time is averaged.
const serviceWeight = 16

// answered notes that the upstream answered the request of the grant.
func (d *admission) answered(g *grant) {
	d.meter.Done(g.epoch)
	took, usual := int64(time.Since(g.began)), d.service.Load()
	if usual == 0 {
		d.service.Store(took)
		return
	}
	d.service.Add((took - usual) / serviceWeight)
}

// turnedCold notes a sign that the upstream lost its state since the grant was
// made.
func (d *admission) turnedCold(g *grant) {
	if !d.meter.Reset(g.epoch) {
		return
	}
	d.metrics.coldSigns.Inc()
	if up, err := d.current(); err == nil {
		up.Load.ColdSigns.Add(1)
	}
	d.refresh()
}

// idle returns the number of slots that batch requests may take now.
func (d *admission) idle() int {
	up, err := d.current()
	s := d.slots.Load()
	if err != nil || up.CurrentState() != fleet.Ready || waiting(s) > 0 {
		return 0
	}
	return max(0, d.limit(up)-used(s))
}
