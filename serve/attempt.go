package serve

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/retry"
	"github.com/baobablanding/baobablanding/policy/route"
	"github.com/baobablanding/baobablanding/result"
)

// activeRequest is an admitted request while it runs. It belongs to the goroutine of
// Serve.
type activeRequest struct {
	*Request
	view            *fleet.View
	workspace       *fleet.Workspace // nil on open routes
	budget          *retry.Budget
	sink            Sink
	tried           []string  // names of the upstreams that got an attempt
	noFreeSlot      []string  // those of tried whose agent had no free slot
	responseStarted bool      // the sink has the status
	firstByte       time.Time // when the response began, or zero
	admittedAt      time.Time // when the rate admitted it
	tracker         tracker
}

// tryUpstreams sends the request to one upstream after the other until one responds
// or no further attempt is allowed. An agent without a free slot rejects the request at
// once, until a few agents have done so; after that the request may wait for a slot. The
// error has the verdict of the attempt that got furthest.
func (s *Server) tryUpstreams(ctx context.Context, r *activeRequest) error {
	failed := retry.FailedAttempt{
		MaxAttempts: r.view.Inventory.Rules.MaxAttempts,
		Idempotent:  r.idempotent(),
	}
	verdict := result.NotRun
	for number := 1; ; number++ {
		upstream, noWait := s.nextUpstream(r)
		if upstream == nil {
			return noUpstreamError(failed.Err).WithVerdict(verdict)
		}
		err := s.attempt(ctx, r, upstream, number, noWait)
		if err == nil {
			return nil
		}
		coded := result.FromError(err)
		if noWait && coded.Code == result.QueueFull && ctx.Err() == nil {
			r.noFreeSlot = append(r.noFreeSlot, upstream.Spec.Name)
			s.metrics.agentBusy.Inc()
			continue
		}
		verdict = max(verdict, coded.Verdict)
		failed.ResponseStarted, failed.Err = r.responseStarted, coded
		if ctx.Err() != nil || !s.allowRetry(r, &failed) {
			return coded.WithVerdict(verdict)
		}
		s.metrics.retries.Inc()
	}
}

// nextUpstream returns the upstream for the next attempt, or nil. With noWait, its
// agent rejects the request if it has no free slot. When no untried upstream is left,
// nextUpstream returns one whose agent had no free slot, for the request to wait there.
func (s *Server) nextUpstream(r *activeRequest) (upstream *blackboard.Upstream, noWait bool) {
	noWait = len(r.noFreeSlot) < route.MaxNoWaitAttempts
	upstream = s.chooseUpstream(r)
	if upstream == nil && len(r.noFreeSlot) > 0 {
		r.tried = slices.DeleteFunc(r.tried, func(name string) bool { return slices.Contains(r.noFreeSlot, name) })
		return s.chooseUpstream(r), false
	}
	return upstream, noWait
}

// allowRetry counts the failed attempt and reports whether another one follows. A
// retry that is not a redirect is paid from the route's retry budget.
func (s *Server) allowRetry(r *activeRequest, failed *retry.FailedAttempt) bool {
	redirect := retry.IsRedirect(failed.Err)
	if redirect {
		failed.Redirects++
	} else {
		failed.Attempts++
	}
	if !retry.ShouldRetry(*failed) {
		return false
	}
	if redirect || r.budget.TryWithdraw() {
		return true
	}
	s.metrics.budgetEmpty.Inc()
	return false
}

// noUpstreamError returns the error of the last attempt, or NoUpstream if there was
// none.
func noUpstreamError(last *result.Error) *result.Error {
	if last != nil {
		return last
	}
	return result.New(result.NoUpstream, result.NotRun).WithRetryAfter(time.Second)
}

// attempt sends the request to the upstream's agent and passes its response on.
func (s *Server) attempt(ctx context.Context, r *activeRequest, upstream *blackboard.Upstream, number int, noWait bool) error {
	r.tried = append(r.tried, upstream.Spec.Name)
	upstream.Load.InFlight.Add(1)
	req := s.runRequest(ctx, r, upstream, number)
	req.NoWait = noWait
	resp, err := s.agents.Run(ctx, upstream.AgentAddress, req, r.onChunk)
	upstream.Load.InFlight.Add(-1)
	if err != nil {
		recordRejection(upstream, result.FromError(err))
		return err
	}
	recordLoad(upstream, resp.Report)
	return r.finishResponse(resp)
}

// chooseUpstream returns the best of the candidates, or nil if none can take the
// request.
func (s *Server) chooseUpstream(r *activeRequest) *blackboard.Upstream {
	upstreams := s.board.Upstreams.Value()
	query := route.Request{
		DataCentre: s.dataCentre,
		Prefix:     r.PrefixHash,
		Tried:      r.wasTried,
		Random:     rand.Uint64(),
		Now:        time.Now(),
	}
	return route.Choose(upstreams.All, candidates(upstreams, r), &query)
}

// candidates returns the upstreams to which the request may be sent.
func candidates(upstreams *blackboard.Upstreams, r *activeRequest) *blackboard.Group {
	if r.Route == nil {
		if legacy := r.view.LegacyUpstream(r.workspace.Name, r.Model); legacy != nil {
			return upstreams.GroupForUpstream(legacy.Name)
		}
		return upstreams.GroupForModel(r.Model)
	}
	if r.Route.Legacy != "" {
		return upstreams.GroupForUpstream(r.Route.Legacy)
	}
	return upstreams.GroupForRoute(r.Route.Name)
}

func (r *activeRequest) wasTried(u *blackboard.Upstream) bool {
	return slices.Contains(r.tried, u.Spec.Name)
}

// runRequest returns the message to the upstream's agent. Its id is that of the
// request with the number of the attempt.
func (s *Server) runRequest(ctx context.Context, r *activeRequest, upstream *blackboard.Upstream, number int) *peer.RunRequest {
	deadline, _ := ctx.Deadline()
	req := &peer.RunRequest{
		ID:            fmt.Sprintf("%s.%d", r.ID, number),
		Class:         fleet.ClassOnline,
		Upstream:      upstream.Spec.Name,
		Method:        r.Method,
		Path:          r.Path,
		ContentType:   r.ContentType,
		Accept:        r.Accept,
		Body:          r.Body,
		Stream:        r.Stream,
		Idempotent:    r.idempotent(),
		Timeout:       time.Until(deadline),
		ConfigVersion: r.view.Version,
	}
	if r.workspace != nil {
		req.Workspace = r.workspace.Name
		req.Weight = r.workspace.Weight
	}
	return req
}

// onChunk passes a chunk of a streamed response on to the caller.
func (r *activeRequest) onChunk(chunk peer.Chunk) error {
	if !r.responseStarted {
		if err := r.startResponse(chunk.Status, chunk.ContentType); err != nil {
			return err
		}
	}
	r.tracker.onChunk()
	return r.write(chunk.Data)
}

func (r *activeRequest) startResponse(status int, contentType string) error {
	r.responseStarted = true
	r.firstByte = time.Now()
	if err := r.sink.Start(status, contentType); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

func (r *activeRequest) write(data []byte) error {
	if err := r.sink.Write(data); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

// finishResponse passes a response that was not streamed on to the caller.
func (r *activeRequest) finishResponse(resp *peer.RunResponse) error {
	if r.responseStarted {
		return nil
	}
	if err := r.startResponse(resp.Status, resp.ContentType); err != nil {
		return err
	}
	return r.write(resp.Body)
}

// recordRejection records that the agent rejected a request if e says so. For a time,
// the rejection counts more than the load that the agent reported before.
func recordRejection(upstream *blackboard.Upstream, e *result.Error) {
	switch e.Code {
	case result.QueueFull, result.QueueTimeout, result.UpstreamOverloaded:
	default:
		if !retry.IsRedirect(e) {
			return
		}
	}
	hold := min(cmp.Or(e.RetryAfter, route.MaxRejectionHold), route.MaxRejectionHold)
	upstream.Load.RejectedUntil.Store(time.Now().Add(hold).UnixNano())
}

// recordLoad records the load that the agent reported with its response.
func recordLoad(upstream *blackboard.Upstream, report peer.UpstreamReport) {
	upstream.Load.Report.Store(&blackboard.LoadReport{
		ReceivedAt:  time.Now(),
		InFlight:    report.InFlight,
		Queued:      report.Queued,
		Limit:       report.MaxInFlight,
		OwnInFlight: upstream.Load.InFlight.Load(),
	})
}
