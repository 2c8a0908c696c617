package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
	"github.com/baobablanding/baobablanding/result"
)

// minPlaceRetryAfter is the shortest retry time given to a caller that found no place. A
// refusal and the new request take about as long to travel.
const minPlaceRetryAfter = 50 * time.Millisecond

// chooseOrWait is chooseAllowedEngine, except that a request that has not run waits a short
// time for a place, behind those that wait already, if its service uses the queue.
func (r *activeRequest) chooseOrWait(ctx context.Context) (*blackboard.Engine, error) {
	if r.runs > 0 || r.Route.TargetLatency <= 0 {
		return r.chooseAllowedEngine()
	}
	r.service = r.Route.PickService(r.server.random())
	defer func() { r.service = "" }()
	uses := r.server.board.UsesAdmissionQueue(r.service)
	if !uses || r.server.board.Places.Waiting.Load() == 0 {
		if engine, err := r.chooseAllowedEngine(); !uses || engine != nil || err != nil {
			return engine, err
		}
	}
	return r.waitForPlace(ctx)
}

// waitForPlace waits until the request has an engine with a place. It then has the turn until
// endTurn is called. It fails with an error of the verdict NotRun.
func (r *activeRequest) waitForPlace(ctx context.Context) (*blackboard.Engine, error) {
	places := r.server.board.Places
	w := blackboard.NewWaitingRequest(r.service, r.arrival())
	w.Selective = len(r.tried) > 0
	if w.Until <= w.Now {
		return nil, r.placeRefusal(result.NoUpstream, string(admission.TooLate), r.forecast())
	}
	select {
	case places.Joins <- w:
	default:
		return nil, r.placeRefusal(result.QueueFull, string(admission.Displaced), r.forecast())
	}
	timeout := time.NewTimer(w.Until.Sub(w.Now))
	defer timeout.Stop()
	for {
		select {
		case turn := <-w.Turn:
			if turn.Refused != "" {
				return nil, r.placeRefusal(result.NoUpstream, string(turn.Refused), turn.Forecast)
			}
			if engine, err := r.look(w); engine != nil || err != nil {
				return engine, err
			}
		case <-timeout.C:
			places.Leave(w)
			return nil, r.placeRefusal(result.QueueTimeout, reasonTimeout, r.forecast())
		case <-ctx.Done():
			places.Leave(w)
			return nil, r.waitEnded(ctx)
		}
	}
}

// waitEnded returns the error of a request whose context ended while it waited.
func (r *activeRequest) waitEnded(ctx context.Context) error {
	if err := StopError(ctx); err != nil {
		return err
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.placeRefusal(result.QueueTimeout, reasonTimeout, r.forecast())
	}
	return result.New(result.CallerGone, result.NotRun)
}

// look looks for an engine in the request's turn.
func (r *activeRequest) look(w *blackboard.WaitingRequest) (*blackboard.Engine, error) {
	places := r.server.board.Places
	err := r.checkDraining()
	var engine *blackboard.Engine
	if err == nil {
		engine, err = r.chooseAllowedEngine()
	}
	switch {
	case err != nil:
		places.Leave(w)
	case engine == nil:
		places.ReturnTurn(w, false)
	default:
		r.turn = w
	}
	return engine, err
}

// endTurn passes the turn on, once the engine that the request chose counts it.
func (r *activeRequest) endTurn() {
	if r.turn != nil {
		r.server.board.Places.ReturnTurn(r.turn, true)
		r.turn = nil
	}
}

// arrival returns the request as it joins the queue.
func (r *activeRequest) arrival() admission.Arrival {
	a := admission.Arrival{Now: clock.Now(), Priority: r.Route.Priority, Workspace: r.WorkspaceName(), Weight: 1}
	if w := r.Workspace; w != nil {
		a.Weight = admission.Weight(w.Priority, r.server.usesAllOfRate(w))
	}
	var usual time.Duration
	if runs := r.server.board.ServiceRuns.Value()[r.service]; runs != nil {
		usual = runs.UsualRun()
	}
	a.Until = admission.WaitLimit(r.Received, r.deadline, r.Route.TargetLatency, usual)
	return a
}

// scarceFraction is the part of the burst below which the estimate of a shared bucket shows
// that the workspace uses all of its rate.
const scarceFraction = 0.25

// usesAllOfRate reports whether the workspace uses all of its rate, over all daemons. It is
// false until the estimate of the bucket is known.
func (s *Server) usesAllOfRate(w *catalog.Workspace) bool {
	limiter := s.board.RateLimiters.Value().ByWorkspace[w.Name]
	if limiter == nil {
		return false
	}
	estimate := limiter.Estimate.Value()
	return estimate.Age(clock.Now()) > 0 && estimate.Tokens() < scarceFraction*w.Burst
}

// forecast returns when a new request behind all that wait would get a place.
func (r *activeRequest) forecast() admission.Forecast {
	f := admission.Forecast{Ahead: int(r.server.board.Places.Waiting.Load()), Capacity: r.server.board.PlaceCapacity(r.service)}
	f.Wait = f.Capacity.Wait(f.Ahead)
	return f
}

// placeRefusal returns the error of a request that gets no place. It tells the caller when
// room is expected for it, behind the callers that were told so before, and what that rests on.
func (r *activeRequest) placeRefusal(code result.Code, reason string, f admission.Forecast) error {
	r.server.countPlaceRefusal(r.WorkspaceName(), reason)
	refusal := result.Errorf(code, "workspace %s, %s: %d requests ahead, predicted wait %v; %d places, usual run %v, share here %.3f, own running %d, others' counts up to %v old",
		r.WorkspaceName(), reason, f.Ahead, f.Wait.Round(time.Millisecond), f.Capacity.Places, f.Capacity.UsualRun.Round(time.Millisecond),
		f.Capacity.Share, f.Capacity.OwnRunning, f.Capacity.Age)
	runs := r.server.board.ServiceRuns.Value()[r.service]
	if runs == nil {
		return refusal.WithRetryAfter(busyRetryAfter)
	}
	runs.Refused.Add(1)
	now := clock.Now()
	left := max(r.deadline.Sub(now), 0)
	earliest := max(min(f.Wait, admission.LatestReturn(left)), minPlaceRetryAfter)
	back := runs.Returns.Join(admission.Refusal{
		Now: now, Earliest: earliest, PerSecond: f.Capacity.PerSecond(), CallerLeft: left, Random: r.server.random(),
	})
	return refusal.WithRetryAfter(max(back.After, minPlaceRetryAfter))
}

// countPlaceRefusal counts a request of the workspace that gets no place.
func (s *Server) countPlaceRefusal(workspace, reason string) {
	s.metrics.refusals.WithLabelValues(reason).Inc()
	if limiter := s.board.RateLimiters.Value().ByWorkspace[workspace]; limiter != nil {
		limiter.RefusedPlace.Add(1)
	}
}

// freePlace tells waiting requests that the attempt has ended, and records how long it took.
func (a *attempt) freePlace() {
	a.board.Places.PlaceFreed()
	if a.response == nil || a.response.NotRun || a.response.Misdirected {
		return
	}
	if runs := a.board.ServiceRuns.Value()[a.engine.Service]; runs != nil {
		runs.RecordRun(clock.Since(a.sentAt))
	}
}
