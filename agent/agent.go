// Package agent forwards requests to the upstreams beside it and refuses what
// they must not get.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

// Agent is the only way to the upstreams of one VM.
type Agent struct {
	board   *blackboard.Board
	forward *forwarder
	running sync.Map // RunRequest.ID to context.CancelFunc
	active  inFlight
	metrics *Metrics
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
	up, err := a.admit(req)
	if err != nil {
		a.metrics.refused.WithLabelValues(result.CodeOf(err).String()).Inc()
		return nil, err
	}
	defer a.release(up)
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	if _, loaded := a.running.LoadOrStore(req.ID, cancel); loaded {
		return nil, result.New(result.DuplicateRequest, result.NotRun)
	}
	defer a.running.Delete(req.ID)
	resp, err := a.forward.run(ctx, up.Spec, req, sink)
	a.metrics.forwarded.WithLabelValues(req.Class.String()).Inc()
	if err != nil {
		return nil, err
	}
	resp.Report = Report(up)
	return resp, nil
}

// admit reserves a slot of the request's upstream.
func (a *Agent) admit(req *peer.RunRequest) (*blackboard.Upstream, error) {
	if a.board.Phase.Value() != blackboard.Serving {
		return nil, result.New(result.Draining, result.NotRun)
	}
	up := a.board.Upstreams.Value().ByName(req.Upstream)
	if up == nil {
		return nil, result.Errorf(result.UnknownUpstream, "upstream %q is not served here", req.Upstream)
	}
	if err := checkState(up); err != nil {
		return nil, err
	}
	if up.Load.InFlight.Add(1) > int64(Limit(up)) {
		up.Load.InFlight.Add(-1)
		return nil, result.New(result.QueueFull, result.NotRun).After(time.Second)
	}
	return up, nil
}

func (a *Agent) release(up *blackboard.Upstream) { up.Load.InFlight.Add(-1) }

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

// Limit returns the number of requests that the upstream gets at once.
func Limit(up *blackboard.Upstream) int {
	if up.State == fleet.Cold {
		return up.Spec.ColdSlots
	}
	return up.Spec.Slots
}

// Report returns the load of the upstream.
func Report(up *blackboard.Upstream) peer.Report {
	return peer.Report{
		Upstream: up.Spec.Name,
		State:    up.State,
		InFlight: int(up.Load.InFlight.Load()),
		Limit:    Limit(up),
	}
}

// Cancel ends a running request.
func (a *Agent) Cancel(id string) {
	if cancel, ok := a.running.Load(id); ok {
		cancel.(context.CancelFunc)()
	}
}

// Wait waits until no request runs, or returns the error of ctx.
func (a *Agent) Wait(ctx context.Context) error { return a.active.wait(ctx) }
