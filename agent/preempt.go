package agent

import (
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/result"
)

// takeFromBatch takes the slot of the newest batch request if nothing waits and
// the slot can change hands at once.
func (d *admission) takeFromBatch(up *blackboard.Upstream, limit int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.newestBatch()
	if g == nil || waiting(d.slots.Load()) > 0 || !d.transferable(up, limit) {
		return false
	}
	d.transfer(g)
	return true
}

// transferable tells whether a batch request's slot may go to an online request
// before the upstream has ended the batch request.
func (d *admission) transferable(up *blackboard.Upstream, limit int) bool {
	return limit == up.Spec.Slots && used(d.slots.Load()) <= limit
}

// transfer ends the batch request and leaves its slot to an online request. The
// caller holds the mutex.
func (d *admission) transfer(g *grant) {
	g.transferred = true
	d.forgetBatch(g)
	d.end(g)
}

// forgetBatch drops a batch request from the list. The caller holds the mutex.
func (d *admission) forgetBatch(g *grant) {
	d.batch = slices.DeleteFunc(d.batch, func(b *grant) bool { return b == g })
	d.batchRunning.Store(int64(len(d.batch)))
}

// preemptFor ends batch requests in favour of those that wait. On an upstream
// with all slots open the slot changes hands at once; one that still recovers
// must finish with the batch request first. The caller holds the mutex.
func (d *admission) preemptFor(up *blackboard.Upstream, limit int) {
	for waiting(d.slots.Load()) > d.preempted() {
		g := d.newestBatch()
		if g == nil {
			return
		}
		if !d.transferable(up, limit) {
			d.end(g)
			continue
		}
		d.transfer(g)
		d.slots.Add(^(oneWaiting - 1))
		d.grantNext()
	}
}

// end cancels a batch request.
func (d *admission) end(g *grant) {
	g.preempt(result.New(result.Preempted, result.MayHaveRun))
	g.preempt = nil
	d.metrics.preempted.Inc()
}

// newestBatch returns the newest batch request that still runs, or nil.
func (d *admission) newestBatch() *grant {
	for _, g := range slices.Backward(d.batch) {
		if g.preempt != nil {
			return g
		}
	}
	return nil
}

// preempted returns the number of ended batch requests that still hold a slot.
func (d *admission) preempted() int {
	n := 0
	for _, g := range d.batch {
		if g.preempt == nil {
			n++
		}
	}
	return n
}

func (d *admission) addBatch(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batch = append(d.batch, g)
	d.batchRunning.Store(int64(len(d.batch)))
	if up, err := d.current(); err == nil {
		d.preemptFor(up, d.limit(up))
	}
}

// removeBatch forgets a batch request. It returns false if its slot went to an
// online request.
func (d *admission) removeBatch(g *grant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetBatch(g)
	return !g.transferred
}
