package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

const (
	// tokenWait is how long a request waits for a token of its workspace's rate
	// that is on the way from the store.
	tokenWait = 120 * time.Millisecond
	// staleRetry is when a caller should come back after a daemon that has lost the
	// store, if no other daemon is known to serve.
	staleRetry = 500 * time.Millisecond
	// elsewhereRetry is when it should come back if another one serves.
	elsewhereRetry = 20 * time.Millisecond
	// minRateRetry is the shortest time after which a caller over its rate
	// should come back.
	minRateRetry = 200 * time.Millisecond
)

// Admission is what a request was found to be.
type Admission struct {
	Catalog   *catalog.Catalog
	Route     *catalog.Route
	Workspace *catalog.Workspace // nil where no key is needed
}

// WorkspaceName returns the name of the workspace, or "".
func (a *Admission) WorkspaceName() string {
	if a.Workspace == nil {
		return ""
	}
	return a.Workspace.Name
}

// Identify finds the request's route and workspace. It refuses while the
// configuration is unknown or may be out of date.
func (s *Server) Identify(host, path, key string) (*Admission, error) {
	cat, err := s.current()
	if err != nil {
		return nil, err
	}
	a := &Admission{Catalog: cat, Route: cat.Route(host, path)}
	if a.Route == nil {
		return nil, result.New(result.UnknownRoute, result.NotRun)
	}
	return a, a.authenticate(key)
}

// IdentifyWorkspace finds the workspace of a call that belongs to no route.
func (s *Server) IdentifyWorkspace(key string) (*Admission, error) {
	cat, err := s.current()
	if err != nil {
		return nil, err
	}
	a := &Admission{Catalog: cat}
	return a, a.authenticate(key)
}

// current returns the configuration in force, or an error while it is unknown or
// may be out of date.
func (s *Server) current() (*catalog.Catalog, error) {
	reading := s.board.Reading.Value()
	cat := s.board.Catalog.Value()
	if cat == nil {
		return nil, s.elsewhere(result.ConfigMissing)
	}
	if !reading.Within(s.validity, clock.Now()) {
		return nil, s.elsewhere(result.ConfigStale)
	}
	return cat, nil
}

// elsewhere returns the refusal of a daemon that has lost the store.
func (s *Server) elsewhere(code result.Code) error {
	wait := staleRetry
	if s.board.PeersReadWithin(cutOffAge) {
		wait = elsewhereRetry
	}
	return result.New(code, result.NotRun).After(wait).AskElsewhere()
}

func (a *Admission) authenticate(key string) error {
	if !a.Catalog.Keyed() || a.Route != nil && a.Route.Open {
		return nil
	}
	if key == "" {
		return result.New(result.KeyMissing, result.NotRun)
	}
	if a.Workspace = a.Catalog.WorkspaceOf(key); a.Workspace == nil {
		return result.New(result.KeyUnknown, result.NotRun)
	}
	return nil
}

// takeToken takes a token of the workspace's rate. It waits a little for tokens
// that are on their way from the store, and for the share of a workspace that is
// new in the configuration.
func (s *Server) takeToken(ctx context.Context, w *catalog.Workspace) error {
	if w == nil || w.Rate <= 0 {
		return nil
	}
	share := s.board.Shares.Value().ByWorkspace[w.Name]
	if share != nil && share.Take(share.Grant.Value(), clock.Now()) {
		share.Asked.Add(1)
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, tokenWait, errTokenWait)
	defer cancel()
	if share = s.shareOf(ctx, w.Name); share == nil {
		return notInTime(ctx, result.New(result.Starting, result.NotRun).After(minRateRetry))
	}
	share.Asked.Add(1)
	return waitForToken(ctx, share, w)
}

// waitForToken takes a token of the share, once there is one, until ctx is done.
func waitForToken(ctx context.Context, share *blackboard.Share, w *catalog.Workspace) error {
	for {
		snap := share.Grant.Load()
		now := clock.Now()
		if share.Take(snap.Value, now) {
			return nil
		}
		if next, empty := snap.Value.Exhausted(now); empty {
			return rateExceeded(w, "the shared bucket is empty", next.Sub(now))
		}
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return notInTime(ctx, rateExceeded(w, "no token came from the store in time", minRateRetry))
		}
	}
}

// errTokenWait is the cause of the end of a wait for a token.
var errTokenWait = errors.New("relay: no token in time")

// notInTime returns late if the wait for a token ended, or that the caller left.
func notInTime(ctx context.Context, late error) error {
	if errors.Is(context.Cause(ctx), errTokenWait) {
		return late
	}
	return result.New(result.CallerGone, result.NotRun)
}

// shareOf returns the workspace's share. It waits for one until ctx is done and
// then returns nil.
func (s *Server) shareOf(ctx context.Context, workspace string) *blackboard.Share {
	for {
		snap := s.board.Shares.Load()
		if share := snap.Value.ByWorkspace[workspace]; share != nil {
			return share
		}
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return nil
		}
	}
}

func rateExceeded(w *catalog.Workspace, why string, wait time.Duration) error {
	return result.Errorf(result.RateExceeded, "workspace %s, rate %g/s, burst %g: %s", w.Name, w.Rate, w.Burst, why).
		After(max(wait, minRateRetry))
}

// candidates returns the service that the route picks and its engines.
func (s *Server) candidates(a *Admission) (*catalog.Service, []*blackboard.Engine) {
	name := a.Route.Pick(s.random())
	return a.Catalog.Service(name), s.board.Engines.Value().OfService(name)
}
