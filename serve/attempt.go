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

// call is an admitted request.
type call struct {
	*Request
	view      *fleet.View
	workspace *fleet.Workspace // nil on open routes
	budget    *retry.Budget
	sink      Sink
	tried     []string
	asked     []string // of tried: agents that had no free slot
	started   bool
	firstByte time.Time
	admitted  time.Time // when the rate admitted it
	tracker   tracker
}

// attempts tries upstreams until one answers or no further attempt is allowed.
// It first asks a few agents for a free slot and only then lets the request wait
// at one.
func (s *Server) attempts(ctx context.Context, c *call) error {
	state := retry.Attempt{
		Limit:      c.view.Inventory.Rules.Attempts,
		Idempotent: c.idempotent(),
	}
	worst := result.NotRun
	for number := 1; ; number++ {
		up, noWait := s.next(c)
		if up == nil {
			return noUpstream(state.Err).WithVerdict(worst)
		}
		err := s.attempt(ctx, c, up, number, noWait)
		if err == nil {
			return nil
		}
		failed := result.From(err)
		if noWait && failed.Code == result.QueueFull && ctx.Err() == nil {
			c.asked = append(c.asked, up.Spec.Name)
			s.metrics.asks.Inc()
			continue
		}
		worst = max(worst, failed.Verdict)
		state.Started, state.Err = c.started, failed
		if ctx.Err() != nil || !s.again(c, &state) {
			return failed.WithVerdict(worst)
		}
		s.metrics.retries.Inc()
	}
}

// next returns the upstream for the next attempt, and whether the request is
// refused there when no slot is free. When every upstream was asked in vain, it
// returns one to wait at.
func (s *Server) next(c *call) (up *blackboard.Upstream, noWait bool) {
	noWait = len(c.asked) < route.MaxAsks
	up = s.choose(c)
	if up == nil && len(c.asked) > 0 {
		c.tried = slices.DeleteFunc(c.tried, func(name string) bool { return slices.Contains(c.asked, name) })
		return s.choose(c), false
	}
	return up, noWait
}

// again counts the failed attempt and tells whether another one follows.
func (s *Server) again(c *call, state *retry.Attempt) bool {
	redirect := retry.IsRedirect(state.Err)
	if redirect {
		state.Redirects++
	} else {
		state.Tries++
	}
	if !retry.Again(*state) {
		return false
	}
	if redirect || c.budget.Spend() {
		return true
	}
	s.metrics.budgetEmpty.Inc()
	return false
}

// noUpstream returns the last attempt's failure, or that there was no upstream
// to try.
func noUpstream(last *result.Error) *result.Error {
	if last != nil {
		return last
	}
	return result.New(result.NoUpstream, result.NotRun).After(time.Second)
}

// attempt runs the request at the upstream.
func (s *Server) attempt(ctx context.Context, c *call, up *blackboard.Upstream, number int, noWait bool) error {
	c.tried = append(c.tried, up.Spec.Name)
	up.Load.InFlight.Add(1)
	req := s.runRequest(ctx, c, up, number)
	req.NoWait = noWait
	resp, err := s.runner.Run(ctx, up.Agent, req, c.chunk)
	up.Load.InFlight.Add(-1)
	if err != nil {
		noteRefusal(up, result.From(err))
		return err
	}
	noteLoad(up, resp.Report)
	return c.finish(resp)
}

func (s *Server) choose(c *call) *blackboard.Upstream {
	ups := s.board.Upstreams.Value()
	req := route.Request{
		DataCentre: s.dataCentre,
		Prefix:     c.Prefix,
		Tried:      c.wasTried,
		Random:     rand.Uint64(),
		Now:        time.Now(),
	}
	return route.Choose(ups.All, candidates(ups, c), &req)
}

// candidates returns the upstreams that can run the call.
func candidates(ups *blackboard.Upstreams, c *call) *blackboard.Group {
	if c.Route == nil {
		if legacy := c.view.LegacyFor(c.workspace.Name, c.Model); legacy != nil {
			return ups.Only(legacy.Name)
		}
		return ups.ByModel(c.Model)
	}
	if c.Route.Legacy != "" {
		return ups.Only(c.Route.Legacy)
	}
	return ups.ByRoute(c.Route.Name)
}

func (c *call) wasTried(u *blackboard.Upstream) bool {
	return slices.Contains(c.tried, u.Spec.Name)
}

func (s *Server) runRequest(ctx context.Context, c *call, up *blackboard.Upstream, number int) *peer.RunRequest {
	deadline, _ := ctx.Deadline()
	req := &peer.RunRequest{
		ID:            fmt.Sprintf("%s.%d", c.ID, number),
		Class:         fleet.Online,
		Upstream:      up.Spec.Name,
		Method:        c.Method,
		Path:          c.Path,
		ContentType:   c.ContentType,
		Accept:        c.Accept,
		Body:          c.Body,
		Stream:        c.Stream,
		Idempotent:    c.idempotent(),
		Timeout:       time.Until(deadline),
		ConfigVersion: c.view.Version,
	}
	if c.workspace != nil {
		req.Workspace = c.workspace.Name
		req.Weight = c.workspace.Weight
	}
	return req
}

// chunk passes a part of a streamed answer to the caller.
func (c *call) chunk(part peer.Chunk) error {
	if !c.started {
		if err := c.start(part.Status, part.ContentType); err != nil {
			return err
		}
	}
	c.tracker.chunk()
	return c.write(part.Data)
}

func (c *call) start(status int, contentType string) error {
	c.started = true
	c.firstByte = time.Now()
	if err := c.sink.Start(status, contentType); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

func (c *call) write(data []byte) error {
	if err := c.sink.Write(data); err != nil {
		return result.New(result.CallerGone, result.MayHaveRun)
	}
	return nil
}

// finish passes a whole answer to the caller.
func (c *call) finish(resp *peer.RunResponse) error {
	if c.started {
		return nil
	}
	if err := c.start(resp.Status, resp.ContentType); err != nil {
		return err
	}
	return c.write(resp.Body)
}

// noteRefusal keeps that the agent refused a request, whatever load it reported
// before.
func noteRefusal(up *blackboard.Upstream, e *result.Error) {
	switch e.Code {
	case result.QueueFull, result.QueueTimeout, result.UpstreamOverloaded:
	default:
		if !retry.IsRedirect(e) {
			return
		}
	}
	hold := min(cmp.Or(e.RetryAfter, route.RefusalHold), route.RefusalHold)
	up.Load.RefusedUntil.Store(time.Now().Add(hold).UnixNano())
}

// noteLoad keeps the load that came with an answer.
func noteLoad(up *blackboard.Upstream, r peer.Report) {
	up.Load.Report.Store(&blackboard.LoadReport{
		At:          time.Now(),
		InFlight:    r.InFlight,
		Queued:      r.Queued,
		Limit:       r.Limit,
		OwnInFlight: up.Load.InFlight.Load(),
	})
}
