package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	started   bool
	firstByte time.Time
}

// attempts tries upstreams until one answers or no further attempt is allowed.
func (s *Server) attempts(ctx context.Context, c *call) error {
	state := retry.Attempt{
		Limit:      c.view.Inventory.Rules.Attempts,
		Idempotent: c.idempotent(),
	}
	worst := result.NotRun
	for number := 1; ; number++ {
		up := s.choose(c)
		if up == nil {
			return noUpstream(state.Err).WithVerdict(worst)
		}
		err := s.attempt(ctx, c, up, number)
		if err == nil {
			return nil
		}
		failed := result.From(err)
		worst = max(worst, failed.Verdict)
		state.Started, state.Err = c.started, failed
		if ctx.Err() != nil || !s.again(c, &state) {
			return failed.WithVerdict(worst)
		}
		s.metrics.retries.Inc()
	}
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
func (s *Server) attempt(ctx context.Context, c *call, up *blackboard.Upstream, number int) error {
	c.tried = append(c.tried, up.Spec.Name)
	up.Load.InFlight.Add(1)
	defer up.Load.InFlight.Add(-1)
	resp, err := s.runner.Run(ctx, up.Agent, s.runRequest(ctx, c, up, number), c.chunk)
	if err != nil {
		return err
	}
	noteLoad(up, resp.Report)
	return c.finish(resp)
}

func (s *Server) choose(c *call) *blackboard.Upstream {
	ups := s.board.Upstreams.Value()
	req := route.Request{DataCentre: s.dataCentre, Tried: c.wasTried, Random: rand.Uint64()}
	return route.Choose(candidates(ups, c), &req)
}

// candidates returns the upstreams that can run the call.
func candidates(ups *blackboard.Upstreams, c *call) []*blackboard.Upstream {
	if c.Route == nil {
		if legacy := c.view.LegacyFor(c.workspace.Name, c.Model); legacy != nil {
			return named(ups, legacy.Name)
		}
		return ups.ByModel(c.Model)
	}
	if c.Route.Legacy != "" {
		return named(ups, c.Route.Legacy)
	}
	return named(ups, c.Route.Upstreams...)
}

func named(ups *blackboard.Upstreams, names ...string) []*blackboard.Upstream {
	found := make([]*blackboard.Upstream, 0, len(names))
	for _, name := range names {
		if u := ups.ByName(name); u != nil {
			found = append(found, u)
		}
	}
	return found
}

func (c *call) wasTried(u *blackboard.Upstream) bool {
	for _, name := range c.tried {
		if name == u.Spec.Name {
			return true
		}
	}
	return false
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
