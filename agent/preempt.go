package agent

import (
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/result"
)

// takeSlotFromBatch preempts the newest batch request and takes its slot, if no request
// waits and the slot can be transferred at once. It reports whether it did.
func (p *slotPool) takeSlotFromBatch(up *blackboard.Upstream, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	slot := p.newestRunningBatch()
	if slot == nil || waitingCount(p.slots.Load()) > 0 || !p.canTransferSlot(up, limit) {
		return false
	}
	p.transferSlot(slot)
	return true
}

// canTransferSlot reports whether an online request may use the slot of a batch request
// before the upstream has stopped running the batch request. This holds only while all
// slots of the upstream are open and no more than these are used.
func (p *slotPool) canTransferSlot(up *blackboard.Upstream, limit int) bool {
	return limit == up.Spec.Slots && usedSlots(p.slots.Load()) <= limit
}

// transferSlot preempts the batch request and leaves its slot to an online request.
// The caller holds mu.
func (p *slotPool) transferSlot(slot *heldSlot) {
	slot.transferred = true
	p.removeBatchLocked(slot)
	p.preemptBatch(slot)
}

// removeBatchLocked removes a batch request from the running ones. The caller holds mu.
func (p *slotPool) removeBatchLocked(slot *heldSlot) {
	p.batch = slices.DeleteFunc(p.batch, func(b *heldSlot) bool { return b == slot })
	p.batchCount.Store(int64(len(p.batch)))
}

// preemptForWaiting preempts batch requests until there is one for each waiting request
// or none is left. If all slots of the upstream are open, the slot is transferred at
// once; a recovering upstream must end the batch request first. The caller holds mu.
func (p *slotPool) preemptForWaiting(up *blackboard.Upstream, limit int) {
	for waitingCount(p.slots.Load()) > p.preemptedCount() {
		slot := p.newestRunningBatch()
		if slot == nil {
			return
		}
		if !p.canTransferSlot(up, limit) {
			p.preemptBatch(slot)
			continue
		}
		p.transferSlot(slot)
		p.slots.Add(^(oneWaiting - 1))
		p.assignToNext()
	}
}

// preemptBatch cancels a batch request, which keeps its slot until it has ended or the
// slot is transferred. The caller holds mu.
func (p *slotPool) preemptBatch(slot *heldSlot) {
	slot.preempt(result.New(result.Preempted, result.MayHaveRun))
	slot.preempt = nil
	p.metrics.preempted.Inc()
}

// newestRunningBatch returns the newest batch request that was not preempted, or nil.
// The caller holds mu.
func (p *slotPool) newestRunningBatch() *heldSlot {
	for _, slot := range slices.Backward(p.batch) {
		if slot.preempt != nil {
			return slot
		}
	}
	return nil
}

// preemptedCount returns the number of preempted batch requests that still hold a slot.
// The caller holds mu.
func (p *slotPool) preemptedCount() int {
	n := 0
	for _, slot := range p.batch {
		if slot.preempt == nil {
			n++
		}
	}
	return n
}

// addBatch adds a batch request that has a slot to the running ones. Online requests that
// began to wait since it got the slot may preempt it at once.
func (p *slotPool) addBatch(slot *heldSlot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batch = append(p.batch, slot)
	p.batchCount.Store(int64(len(p.batch)))
	if up, err := p.availableUpstream(); err == nil {
		p.preemptForWaiting(up, p.limit(up))
	}
}

// removeBatch removes a batch request from the running ones. It returns false if the slot
// was transferred to an online request, which releases it.
func (p *slotPool) removeBatch(slot *heldSlot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeBatchLocked(slot)
	return !slot.transferred
}
