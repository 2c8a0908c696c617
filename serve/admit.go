package serve

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

// admit checks the request against the configuration and the workspace's rate.
func (s *Server) admit(ctx context.Context, view *fleet.View, req *Request) (*call, error) {
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	if err := Accepting(s.board.Phase.Value()); err != nil {
		return nil, err
	}
	if time.Now().After(s.board.Freshness.Value().Until) {
		return nil, result.New(result.ConfigStale, result.NotRun).After(time.Second)
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
		if err := s.takeRate(ctx, c); err != nil {
			return nil, err
		}
	}
	c.budget = s.budgets.of(routeName(req))
	c.budget.Earn(view.Inventory.Rules.RetryPercent)
	return c, nil
}

// Accepting returns an error unless a process in the phase takes new requests.
func Accepting(p blackboard.Phase) error {
	switch p {
	case blackboard.Serving, blackboard.Leaving:
		return nil
	case blackboard.Starting:
		return result.New(result.Starting, result.NotRun).After(time.Second)
	default:
		return result.New(result.Draining, result.NotRun).After(time.Second)
	}
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

// maxAdmissionAge is how old an admission may be when the request is forwarded.
// It is shorter than the margin by which a lender counts a loan longer than its
// borrower.
const maxAdmissionAge = 150 * time.Millisecond

// takeRate admits the call by its workspace's rate. It asks another gateway at
// most once, when this one has no token.
func (s *Server) takeRate(ctx context.Context, c *call) error {
	limiter := s.board.Limits.Value().ByWorkspace[c.workspace.Name]
	if limiter == nil {
		return result.New(result.RateExceeded, result.NotRun).After(time.Second)
	}
	c.admitted = time.Now()
	ok, wait := limiter.Take(c.admitted)
	if ok {
		return nil
	}
	admitted, ok, longer := limiter.Ask(ctx)
	if !ok {
		return takeSoon(ctx, c, limiter, max(wait, longer))
	}
	c.admitted = admitted
	return nil
}

// maxTokenWait is how long a request waits for a token that is about to come,
// rather than being refused.
const maxTokenWait = 20 * time.Millisecond

// takeSoon admits the call after the wait if that is short, for example when a
// gateway has just started and its buckets are still empty.
func takeSoon(ctx context.Context, c *call, limiter blackboard.Limiter, wait time.Duration) error {
	if wait <= maxTokenWait && timer.Sleep(ctx, wait) {
		c.admitted = time.Now()
		ok, longer := limiter.Take(c.admitted)
		if ok {
			return nil
		}
		wait = longer
	}
	return result.New(result.RateExceeded, result.NotRun).After(wait)
}

// confirm admits the call again if the process was paused after its admission:
// the share that admitted it may since have gone to another gateway.
func (s *Server) confirm(ctx context.Context, c *call) error {
	if c.workspace == nil || time.Since(c.admitted) <= maxAdmissionAge {
		return nil
	}
	return s.takeRate(ctx, c)
}

func routeName(req *Request) string {
	if req.Route != nil {
		return req.Route.Name
	}
	return req.Model
}
