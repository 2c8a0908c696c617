package serve

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

// admit checks the phase of the process, the configuration, the caller's key and the
// workspace's rate. It returns the admitted request.
func (s *Server) admit(ctx context.Context, view *fleet.View, req *Request) (*activeRequest, error) {
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	if err := CheckAccepting(s.board.Phase.Value()); err != nil {
		return nil, err
	}
	if time.Now().After(s.board.Freshness.Value().ValidUntil) {
		return nil, result.New(result.ConfigStale, result.NotRun).WithRetryAfter(time.Second)
	}
	r := &activeRequest{Request: req, view: view}
	if req.Route == nil || !req.Route.Open {
		workspace, err := Authenticate(view, req)
		if err != nil {
			return nil, err
		}
		r.workspace = workspace
	}
	if req.Route == nil {
		if err := checkModel(view, r.workspace, req.Model); err != nil {
			return nil, err
		}
	}
	if r.workspace != nil {
		if err := s.takeToken(ctx, r); err != nil {
			return nil, err
		}
	}
	r.budget = s.retryBudgets.forRoute(routeName(req))
	r.budget.Deposit(view.Inventory.Rules.RetryPercent)
	return r, nil
}

// CheckAccepting returns an error unless a process in the phase accepts new requests.
func CheckAccepting(p blackboard.Phase) error {
	switch p {
	case blackboard.PhaseServing, blackboard.PhaseLeaving:
		return nil
	case blackboard.PhaseStarting:
		return result.New(result.Starting, result.NotRun).WithRetryAfter(time.Second)
	default:
		return result.New(result.Draining, result.NotRun).WithRetryAfter(time.Second)
	}
}

// Authenticate returns the workspace of the request's key. It fails with KeyMissing,
// KeyUnknown or KeyWithdrawn.
func Authenticate(view *fleet.View, req *Request) (*fleet.Workspace, error) {
	if !req.HasKey {
		return nil, result.New(result.KeyMissing, result.NotRun)
	}
	key := view.Key(req.Key)
	if key == nil {
		return nil, result.New(result.KeyUnknown, result.NotRun)
	}
	if !key.WithdrawnAt.IsZero() {
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
	if !w.CanUse(model) {
		return result.Errorf(result.ModelNotAllowed, "workspace %q may not use model %q", w.Name, model)
	}
	return nil
}

// maxAdmissionAge is the largest age of an admission with which the request is
// forwarded. It must be less than share.LenderMargin, the time for which a lender still
// counts a loan after its borrower has stopped using it.
const maxAdmissionAge = 150 * time.Millisecond

// takeToken admits the request by its workspace's rate. If this gateway has no token,
// takeToken asks another gateway, at most once.
func (s *Server) takeToken(ctx context.Context, r *activeRequest) error {
	limiter := s.board.Limits.Value().ByWorkspace[r.workspace.Name]
	if limiter == nil {
		return result.New(result.RateExceeded, result.NotRun).WithRetryAfter(time.Second)
	}
	r.admittedAt = time.Now()
	ok, wait := limiter.Take(r.admittedAt)
	if ok {
		return nil
	}
	admittedAt, ok, remoteWait := limiter.TakeRemote(ctx)
	if !ok {
		return takeAfterWait(ctx, r, limiter, max(wait, remoteWait))
	}
	r.admittedAt = admittedAt
	return nil
}

// maxTokenWait is the longest time for which a request waits for the next token
// instead of being rejected.
const maxTokenWait = 20 * time.Millisecond

// takeAfterWait admits the request after the wait if that is at most maxTokenWait. Short
// waits occur, for example, when a gateway has just started and its buckets are empty.
func takeAfterWait(ctx context.Context, r *activeRequest, limiter blackboard.Limiter, wait time.Duration) error {
	if wait <= maxTokenWait && timer.Sleep(ctx, wait) {
		r.admittedAt = time.Now()
		ok, nextWait := limiter.Take(r.admittedAt)
		if ok {
			return nil
		}
		wait = nextWait
	}
	return result.New(result.RateExceeded, result.NotRun).WithRetryAfter(wait)
}

// renewAdmission admits the request again if its admission is too old, because the
// process was paused in between: the share of the rate that admitted it may have gone
// to another gateway since.
func (s *Server) renewAdmission(ctx context.Context, r *activeRequest) error {
	if r.workspace == nil || time.Since(r.admittedAt) <= maxAdmissionAge {
		return nil
	}
	return s.takeToken(ctx, r)
}

// routeName returns the name of the request's route, or that of its model.
func routeName(req *Request) string {
	if req.Route != nil {
		return req.Route.Name
	}
	return req.Model
}
