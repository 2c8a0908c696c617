// Package agent forwards requests to the upstreams of its VM. It limits how many
// requests each upstream has at the same time, queues online requests, and preempts
// batch requests in favour of online ones.
package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

// Agent is the single point through which requests reach the upstreams of one VM. It is
// safe for concurrent use.
type Agent struct {
	board    *blackboard.Board
	client   *forwarder
	cancels  sync.Map // RunRequest.ID to the context.CancelCauseFunc of its request
	pools    sync.Map // upstream name to *slotPool
	inFlight inFlightCounter
	// slotsChanged is the channel that Changed returned last, or nil if it was closed.
	slotsChanged atomic.Pointer[chan struct{}]
	metrics      *Metrics
}

// New returns an Agent that takes its upstreams, rules and phase from the board.
func New(board *blackboard.Board, metrics *Metrics) *Agent {
	return &Agent{board: board, client: newForwarder(), metrics: metrics}
}

// Run forwards the request to its upstream and returns the response. The chunks of a
// streamed response are passed to sink, which must not keep their data. The error is a
// *result.Error; its verdict is NotRun only if nothing was sent to the upstream.
func (a *Agent) Run(ctx context.Context, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error) {
	a.inFlight.begin()
	defer a.inFlight.end()
	ctx, stop := context.WithTimeout(ctx, req.Timeout)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if _, loaded := a.cancels.LoadOrStore(req.ID, cancel); loaded {
		return nil, result.New(result.DuplicateRequest, result.NotRun)
	}
	defer a.cancels.Delete(req.ID)
	slot, err := a.admit(ctx, req, cancel)
	if err != nil {
		a.metrics.rejected.WithLabelValues(result.CodeOf(err).String()).Inc()
		return nil, err
	}
	resp, err := a.send(ctx, req, slot, sink)
	a.finish(slot, err)
	if err != nil {
		return nil, err
	}
	resp.Report = a.loadReport(slot.slotPool)
	return resp, nil
}

// admit takes a slot of the request's upstream. Its errors have the verdict NotRun.
func (a *Agent) admit(ctx context.Context, req *peer.RunRequest, cancel context.CancelCauseFunc) (*heldSlot, error) {
	if a.board.Phase.Value() != blackboard.PhaseServing {
		return nil, result.New(result.Draining, result.NotRun)
	}
	if a.board.Upstreams.Value().ByName(req.Upstream) == nil {
		return nil, result.Errorf(result.UnknownUpstream, "this agent has no upstream named %q", req.Upstream)
	}
	return a.slotPool(req.Upstream).acquire(ctx, req, cancel)
}

// slotPool returns the slot pool of the upstream and creates it if needed. Pools are
// never removed; their number is bounded because upstream names come from the
// configuration.
func (a *Agent) slotPool(upstream string) *slotPool {
	if v, ok := a.pools.Load(upstream); ok {
		return v.(*slotPool)
	}
	v, _ := a.pools.LoadOrStore(upstream, newSlotPool(a.board, upstream, a.metrics, a.notifyChanged))
	return v.(*slotPool)
}

// send forwards a request that holds a slot.
func (a *Agent) send(ctx context.Context, req *peer.RunRequest, slot *heldSlot, sink func(peer.Chunk) error) (*peer.RunResponse, error) {
	up, err := slot.slotPool.availableUpstream()
	if err != nil {
		return nil, err
	}
	a.metrics.forwarded.WithLabelValues(req.Class.String()).Inc()
	return a.client.forward(ctx, up.Spec, req, a.observeFirstToken(slot, req, sink))
}

// observeFirstToken returns a sink that also records the time to the first chunk of a
// streamed response. Slow first chunks are a sign that the upstream is cold.
func (a *Agent) observeFirstToken(slot *heldSlot, req *peer.RunRequest, sink func(peer.Chunk) error) func(peer.Chunk) error {
	if !req.Stream {
		return sink
	}
	return func(c peer.Chunk) error {
		if c.Sequence == 0 && slot.slotPool.meter.ObserveFirstToken(time.Since(slot.startedAt)) {
			slot.slotPool.recordColdSign(slot)
		}
		return sink(c)
	}
}

// cancelGrace is how long the slot of a cancelled request stays in use at a recovering
// upstream, which may go on with the request after its connection was closed.
const cancelGrace = 200 * time.Millisecond

// finish records the outcome of a request and releases its slot.
func (a *Agent) finish(slot *heldSlot, err error) {
	p := slot.slotPool
	var failed *result.Error
	switch {
	case err == nil:
		p.recordSuccess(slot)
	case errors.As(err, &failed) && isColdSign(failed):
		p.recordColdSign(slot)
	}
	if failed != nil && mayStillRun(failed) && p.isRecovering() {
		time.AfterFunc(cancelGrace, func() { p.release(slot) })
		return
	}
	p.release(slot)
}

// isColdSign reports whether a failure is a sign that the upstream was restarted or
// is overloaded.
func isColdSign(e *result.Error) bool {
	switch e.Code {
	case result.UpstreamUnreachable, result.UpstreamOverloaded, result.OutcomeUnknown, result.AnswerIncomplete:
		return true
	default:
		return false
	}
}

// mayStillRun reports whether the request was cancelled after it had been sent. The
// upstream takes a moment to notice and may still run it.
func mayStillRun(e *result.Error) bool {
	switch e.Code {
	case result.CallerGone, result.DeadlineExceeded, result.Preempted:
		return e.Verdict == result.MayHaveRun
	default:
		return false
	}
}

// isRecovering reports whether the upstream may use fewer than all its slots, or gets
// no new requests.
func (p *slotPool) isRecovering() bool {
	up, err := p.availableUpstream()
	return err != nil || p.limit(up) < up.Spec.Slots
}

// checkAvailable returns an error of verdict NotRun if the upstream gets no new
// requests.
func checkAvailable(up *blackboard.Upstream) error {
	switch {
	case up.TakenOut:
		return result.New(result.DataCentreOut, result.NotRun)
	case up.State == fleet.StateLeaving:
		return result.New(result.UpstreamLeaving, result.NotRun)
	case up.State == fleet.StateDown, up.State == fleet.StateUnknown:
		return result.New(result.UpstreamUnreachable, result.NotRun)
	default:
		return nil
	}
}

// LoadReports returns the load and state of every upstream on the board.
func (a *Agent) LoadReports() []peer.UpstreamReport {
	all := a.board.Upstreams.Value().All
	reports := make([]peer.UpstreamReport, 0, len(all))
	for _, up := range all {
		reports = append(reports, a.loadReport(a.slotPool(up.Spec.Name)))
	}
	return reports
}

// loadReport returns the load of the pool's upstream. Only online requests count as in
// flight, since batch requests give way to them.
func (a *Agent) loadReport(p *slotPool) peer.UpstreamReport {
	counts := p.slots.Load()
	online := max(0, usedSlots(counts)-int(p.batchCount.Load()))
	r := peer.UpstreamReport{Upstream: p.upstreamName, InFlight: online, Queued: waitingCount(counts)}
	if up := a.board.Upstreams.Value().ByName(p.upstreamName); up != nil {
		r.State = up.CurrentState()
		r.MaxInFlight = p.limit(up)
	}
	return r
}

// Idle returns the number of batch requests that the upstream can take now. It is 0
// for an unknown upstream and while the daemon is not serving.
func (a *Agent) Idle(upstream string) int {
	if a.board.Phase.Value() != blackboard.PhaseServing || a.board.Upstreams.Value().ByName(upstream) == nil {
		return 0
	}
	return a.slotPool(upstream).idleSlots()
}

// Changed returns a channel that is closed when some upstream may have more idle slots.
// Callers get the channel before they ask for the number, so that they miss no change.
func (a *Agent) Changed() <-chan struct{} {
	for {
		if ch := a.slotsChanged.Load(); ch != nil {
			return *ch
		}
		ch := make(chan struct{})
		if a.slotsChanged.CompareAndSwap(nil, &ch) {
			return ch
		}
	}
}

// notifyChanged closes the channel that Changed returned last.
func (a *Agent) notifyChanged() {
	if a.slotsChanged.Load() == nil {
		return
	}
	if ch := a.slotsChanged.Swap(nil); ch != nil {
		close(*ch)
	}
}

// FollowUpstreams applies changes of the upstreams' states to waiting and running
// requests. It returns when ctx ends.
func (a *Agent) FollowUpstreams(ctx context.Context) {
	for {
		snap := a.board.Upstreams.Load()
		for _, up := range snap.Value.All {
			a.slotPool(up.Spec.Name).refresh()
		}
		a.notifyChanged()
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Cancel cancels the waiting or running request with the ID, if there is one.
func (a *Agent) Cancel(id string) {
	if cancel, ok := a.cancels.Load(id); ok {
		cancel.(context.CancelCauseFunc)(nil)
	}
}

// WaitUntilIdle waits until no request waits or runs, or returns the error of ctx. Only
// one goroutine may wait at a time.
func (a *Agent) WaitUntilIdle(ctx context.Context) error { return a.inFlight.wait(ctx) }
