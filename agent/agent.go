// Package agent forwards requests to the upstreams beside it and refuses what
// they must not get.
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

// Agent is the only way to the upstreams of one VM.
type Agent struct {
	board      *blackboard.Board
	forward    *forwarder
	running    sync.Map // RunRequest.ID to context.CancelCauseFunc
	admissions sync.Map // upstream name to *admission
	active     inFlight
	changed    atomic.Pointer[chan struct{}]
	metrics    *Metrics
}

// New returns an Agent that works by the state on the board.
func New(board *blackboard.Board, metrics *Metrics) *Agent {
	return &Agent{board: board, forward: newForwarder(), metrics: metrics}
}

// Run forwards the request to its upstream. Parts of a streamed answer are
// given to sink. The error is a *result.Error; its verdict is NotRun only if
// nothing was sent to the upstream.
func (a *Agent) Run(ctx context.Context, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error) {
	a.active.enter()
	defer a.active.leave()
	ctx, stop := context.WithTimeout(ctx, req.Timeout)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if _, loaded := a.running.LoadOrStore(req.ID, cancel); loaded {
		return nil, result.New(result.DuplicateRequest, result.NotRun)
	}
	defer a.running.Delete(req.ID)
	g, err := a.admit(ctx, req, cancel)
	if err != nil {
		a.metrics.refused.WithLabelValues(result.CodeOf(err).String()).Inc()
		return nil, err
	}
	resp, err := a.send(ctx, req, g, sink)
	a.settle(g, err)
	if err != nil {
		return nil, err
	}
	resp.Report = a.report(g.admission)
	return resp, nil
}

// admit reserves a slot of the request's upstream.
func (a *Agent) admit(ctx context.Context, req *peer.RunRequest, cancel context.CancelCauseFunc) (*grant, error) {
	if a.board.Phase.Value() != blackboard.Serving {
		return nil, result.New(result.Draining, result.NotRun)
	}
	if a.board.Upstreams.Value().ByName(req.Upstream) == nil {
		return nil, result.Errorf(result.UnknownUpstream, "upstream %q is not served here", req.Upstream)
	}
	return a.admission(req.Upstream).acquire(ctx, req, cancel)
}

// admission returns the admission of the upstream. Upstreams come from the
// configuration, so their number is bounded.
func (a *Agent) admission(upstream string) *admission {
	if v, ok := a.admissions.Load(upstream); ok {
		return v.(*admission)
	}
	v, _ := a.admissions.LoadOrStore(upstream, newAdmission(a.board, upstream, a.metrics, a.wake))
	return v.(*admission)
}

// send forwards a request that holds a slot.
func (a *Agent) send(ctx context.Context, req *peer.RunRequest, g *grant, sink func(peer.Chunk) error) (*peer.RunResponse, error) {
	up, err := g.admission.current()
	if err != nil {
		return nil, err
	}
	a.metrics.forwarded.WithLabelValues(req.Class.String()).Inc()
	return a.forward.run(ctx, up.Spec, req, a.timed(g, req, sink))
}

// timed returns a sink that also notes the time to the first token.
func (a *Agent) timed(g *grant, req *peer.RunRequest, sink func(peer.Chunk) error) func(peer.Chunk) error {
	if !req.Stream {
		return sink
	}
	return func(c peer.Chunk) error {
		if c.Seq == 0 && g.admission.meter.FirstToken(time.Since(g.began)) {
			g.admission.turnedCold(g)
		}
		return sink(c)
	}
}

// cancelGrace is how long a recovering upstream may go on with a request after
// its connection was closed.
const cancelGrace = 200 * time.Millisecond

// settle learns from the outcome and gives the slot back.
func (a *Agent) settle(g *grant, err error) {
	d := g.admission
	var failed *result.Error
	switch {
	case err == nil:
		d.answered(g)
	case errors.As(err, &failed) && signOfColdStart(failed):
		d.turnedCold(g)
	}
	if failed != nil && wasCancelled(failed) && d.recovering() {
		time.AfterFunc(cancelGrace, func() { d.release(g) })
		return
	}
	d.release(g)
}

// signOfColdStart tells whether a failure shows that the upstream was restarted
// or has more work than it bears.
func signOfColdStart(e *result.Error) bool {
	switch e.Code {
	case result.UpstreamUnreachable, result.UpstreamOverloaded, result.OutcomeUnknown, result.AnswerIncomplete:
		return true
	default:
		return false
	}
}

// wasCancelled tells whether a failure left the request to the upstream, which
// takes a moment to notice.
func wasCancelled(e *result.Error) bool {
	switch e.Code {
	case result.CallerGone, result.DeadlineExceeded, result.Preempted:
		return e.Verdict == result.MayHaveRun
	default:
		return false
	}
}

// recovering tells whether the upstream gets less than its full load.
func (d *admission) recovering() bool {
	up, err := d.current()
	return err != nil || d.limit(up) < up.Spec.Slots
}

func checkState(up *blackboard.Upstream) error {
	switch {
	case up.Out:
		return result.New(result.DataCentreOut, result.NotRun)
	case up.State == fleet.Leaving:
		return result.New(result.UpstreamLeaving, result.NotRun)
	case up.State == fleet.Down, up.State == fleet.Unknown:
		return result.New(result.UpstreamUnreachable, result.NotRun)
	default:
		return nil
	}
}

// Reports returns the load of every upstream.
func (a *Agent) Reports() []peer.Report {
	all := a.board.Upstreams.Value().All
	reports := make([]peer.Report, 0, len(all))
	for _, up := range all {
		reports = append(reports, a.report(a.admission(up.Spec.Name)))
	}
	return reports
}

func (a *Agent) report(d *admission) peer.Report {
	s := d.slots.Load()
	online := max(0, used(s)-int(d.batchRunning.Load()))
	r := peer.Report{Upstream: d.upstream, InFlight: online, Queued: waiting(s)}
	if up := a.board.Upstreams.Value().ByName(d.upstream); up != nil {
		r.State = up.CurrentState()
		r.Limit = d.limit(up)
	}
	return r
}

// Idle returns the number of batch requests that the upstream can take now.
func (a *Agent) Idle(upstream string) int {
	if a.board.Phase.Value() != blackboard.Serving || a.board.Upstreams.Value().ByName(upstream) == nil {
		return 0
	}
	return a.admission(upstream).idle()
}

// Changed returns a channel that is closed when Idle may have grown. Take the
// channel before asking Idle.
func (a *Agent) Changed() <-chan struct{} {
	for {
		if ch := a.changed.Load(); ch != nil {
			return *ch
		}
		ch := make(chan struct{})
		if a.changed.CompareAndSwap(nil, &ch) {
			return ch
		}
	}
}

// wake tells those who wait that a slot became free.
func (a *Agent) wake() {
	if a.changed.Load() == nil {
		return
	}
	if ch := a.changed.Swap(nil); ch != nil {
		close(*ch)
	}
}

// Follow applies changes of the upstreams' states to the requests that wait or
// run, until ctx ends.
func (a *Agent) Follow(ctx context.Context) {
	for {
		snap := a.board.Upstreams.Load()
		for _, up := range snap.Value.All {
			a.admission(up.Spec.Name).refresh()
		}
		a.wake()
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Cancel ends a waiting or running request.
func (a *Agent) Cancel(id string) {
	if cancel, ok := a.running.Load(id); ok {
		cancel.(context.CancelCauseFunc)(nil)
	}
}

// Wait waits until no request runs, or returns the error of ctx.
func (a *Agent) Wait(ctx context.Context) error { return a.active.wait(ctx) }
