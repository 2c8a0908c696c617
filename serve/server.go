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

// Runner forwards a request to the agent at an address.
type Runner interface {
	// Run returns the end of the answer. Chunks are given to sink before.
	Run(ctx context.Context, address string, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error)
}

// Server runs requests by the state on the board.
type Server struct {
	board      *blackboard.Board
	runner     Runner
	dataCentre string
	budgets    budgets
	metrics    *Metrics
}

// New returns a Server in the data centre.
func New(board *blackboard.Board, runner Runner, dataCentre string, metrics *Metrics) *Server {
	return &Server{board: board, runner: runner, dataCentre: dataCentre, metrics: metrics}
}

// Serve runs the request and passes its answer to sink. The error is a
// *result.Error; once sink was started, it means that the answer broke off.
func (s *Server) Serve(ctx context.Context, req *Request, sink Sink) error {
	view := s.board.Config.Value().View
	call, err := s.admit(view, req)
	if err != nil {
		s.metrics.refused(err)
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, view.Inventory.Rules.RequestTimeout, context.DeadlineExceeded)
	defer cancel()
	call.sink = sink
	err = s.attempts(ctx, call)
	s.metrics.done(call, err)
	return err
}

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

// admit checks the request against the configuration and the workspace's rate.
func (s *Server) admit(view *fleet.View, req *Request) (*call, error) {
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	if s.board.Phase.Value() != blackboard.Serving {
		return nil, result.New(result.Draining, result.NotRun).After(time.Second)
	}
	c := &call{Request: req, view: view}
	if req.Route == nil || !req.Route.Open {
		workspace, err := Authenticate(view, req)
		if err != nil {
			return nil, err
		}
		c.workspace = workspace
	}
	if req.Route == nil {
		if err := checkModel(view, c.workspace, req.Model); err != nil {
			return nil, err
		}
	}
	if c.workspace != nil {
		if err := s.takeRate(c.workspace.Name, req.Received); err != nil {
			return nil, err
		}
	}
	c.budget = s.budgets.of(routeName(req))
	c.budget.Earn(view.Inventory.Rules.RetryPercent)
	return c, nil
}

// Authenticate returns the workspace whose key the request carries.
func Authenticate(view *fleet.View, req *Request) (*fleet.Workspace, error) {
	if !req.HasKey {
		return nil, result.New(result.KeyMissing, result.NotRun)
	}
	key := view.Key(req.Key)
	if key == nil {
		return nil, result.New(result.KeyUnknown, result.NotRun)
	}
	if !key.Withdrawn.IsZero() {
		return nil, result.New(result.KeyWithdrawn, result.NotRun)
	}
	workspace := view.Workspace(key.Workspace)
	if workspace == nil {
		return nil, result.New(result.KeyUnknown, result.NotRun)
	}
	return workspace, nil
}

func checkModel(view *fleet.View, w *fleet.Workspace, model string) error {
	if view.Model(model) == nil {
		return result.Errorf(result.UnknownModel, "model %q does not exist", model)
	}
	if !w.MayUse(model) {
		return result.Errorf(result.ModelNotAllowed, "workspace %q may not use model %q", w.Name, model)
	}
	return nil
}

func (s *Server) takeRate(workspace string, now time.Time) error {
	limiter := s.board.Limits.Value().ByWorkspace[workspace]
	if limiter == nil {
		return result.New(result.RateExceeded, result.NotRun).After(time.Second)
	}
	if ok, wait := limiter.Take(now); !ok {
		return result.New(result.RateExceeded, result.NotRun).After(wait)
	}
	return nil
}

func routeName(req *Request) string {
	if req.Route != nil {
		return req.Route.Name
	}
	return req.Model
}

// attempts tries upstreams until one answers or no further attempt is allowed.
func (s *Server) attempts(ctx context.Context, c *call) error {
	limit := c.view.Inventory.Rules.Attempts
	for number := 1; ; number++ {
		err := s.attempt(ctx, c, number)
		if err == nil {
			return nil
		}
		failed := result.From(err)
		again := retry.Again(retry.Attempt{
			Number:     number,
			Limit:      limit,
			Idempotent: c.idempotent(),
			Started:    c.started,
			Err:        failed,
		})
		if !again || ctx.Err() != nil {
			return failed
		}
		if !c.budget.Spend() {
			s.metrics.budgetEmpty.Inc()
			return failed
		}
		s.metrics.retries.Inc()
	}
}

// attempt runs the request at one upstream.
func (s *Server) attempt(ctx context.Context, c *call, number int) error {
	up := s.choose(c)
	if up == nil {
		return result.New(result.NoUpstream, result.NotRun).After(time.Second)
	}
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
