package serve

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// admit checks the request against the configuration and the workspace's rate.
func (s *Server) admit(view *fleet.View, req *Request) (*call, error) {
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	if s.board.Phase.Value() != blackboard.Serving {
		return nil, result.New(result.Draining, result.NotRun).After(time.Second)
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
