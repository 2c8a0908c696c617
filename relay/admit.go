package relay

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

const (
	// maxTokenWait is how long a request waits for a token of its workspace's rate
	// that the daemon is getting from the store.
	maxTokenWait = 120 * time.Millisecond
	// sameDaemonRetryAfter is the retry time given to callers while the store is
	// unavailable to this daemon and not known to be available to another one.
	sameDaemonRetryAfter = 500 * time.Millisecond
	// otherDaemonRetryAfter is the retry time if the store is unavailable to this
	// daemon but known to be available to another one.
	otherDaemonRetryAfter = 20 * time.Millisecond
	// minRateRetryAfter is the shortest retry time given to a caller that exceeds
	// its rate, and the one given while the rate's limiter is not published.
	minRateRetryAfter = 200 * time.Millisecond
)

// Identity holds what Identify found for a request.
type Identity struct {
	// Catalog is the configuration that applies to the request.
	Catalog *catalog.Catalog
	// Route is nil for a call that belongs to no route.
	Route *catalog.Route
	// Workspace is nil where no key is needed.
	Workspace *catalog.Workspace
}

// WorkspaceName returns the name of the workspace, or "" if no key is needed.
func (i *Identity) WorkspaceName() string {
	if i.Workspace == nil {
		return ""
	}
	return i.Workspace.Name
}

// Identify returns the route and workspace of a request. It fails with
// ConfigMissing or ConfigStale while the configuration is unknown or may be out of
// date, and with UnknownRoute, KeyMissing or KeyUnknown for a request that may not
// run.
func (s *Server) Identify(host, path, key string) (*Identity, error) {
	cat, err := s.currentCatalog()
	if err != nil {
		return nil, err
	}
	identity := &Identity{Catalog: cat, Route: cat.Route(host, path)}
	if identity.Route == nil {
		return nil, result.New(result.UnknownRoute, result.NotRun)
	}
	return identity, identity.authenticate(key)
}

// IdentifyForJob returns the workspace of a call about a batch job, which belongs to no route. It
// is that of the key, as for the submission of the job. IdentifyForJob fails as Identify does.
func (s *Server) IdentifyForJob(key string) (*Identity, error) {
	cat, err := s.currentCatalog()
	if err != nil {
		return nil, err
	}
	identity := &Identity{Catalog: cat}
	return identity, identity.authenticate(key)
}

// currentCatalog returns the configuration in force, or an error while it is
// unknown or may be out of date.
func (s *Server) currentCatalog() (*catalog.Catalog, error) {
	read := s.board.ConfigRead.Value()
	cat := s.board.Catalog.Value()
	if cat == nil {
		return nil, s.retryElsewhere(result.ConfigMissing)
	}
	if !read.SentWithin(s.maxConfigAge, clock.Now()) {
		return nil, s.retryElsewhere(result.ConfigStale)
	}
	return cat, nil
}

// retryElsewhere returns an error that sends the caller to another daemon because
// the store is unavailable to this one.
func (s *Server) retryElsewhere(code result.Code) error {
	wait := sameDaemonRetryAfter
	if s.board.PeerReadWithin(recentReadAge) {
		wait = otherDaemonRetryAfter
	}
	return result.New(code, result.NotRun).WithRetryAfter(wait).WithRetryElsewhere()
}

// authenticate sets the workspace of the key. It does nothing where none is needed.
func (i *Identity) authenticate(key string) error {
	if !i.needsKey() {
		return nil
	}
	if key == "" {
		return result.New(result.KeyMissing, result.NotRun)
	}
	if i.Workspace = i.Catalog.WorkspaceByKey(key); i.Workspace == nil {
		return result.New(result.KeyUnknown, result.NotRun)
	}
	return nil
}

// needsKey reports whether the caller has to send a valid key. That depends on the route only for
// online requests: the calls about a batch job have no route, so that they would not find a job
// whose workspace depends on it.
func (i *Identity) needsKey() bool {
	isOpen := i.Route != nil && i.Route.Open && i.Route.Kind != catalog.KindBatch
	return i.Catalog.RequiresKeys() && !isOpen
}

// takeToken takes one token of the workspace's rate. It waits up to maxTokenWait
// for tokens that the daemon is getting from the store, and for the limiter of a
// workspace that is new in the configuration.
func (s *Server) takeToken(ctx context.Context, w *catalog.Workspace) error {
	if w == nil {
		return nil
	}
	if w = s.inForce(w); w.Rate <= 0 {
		return nil
	}
	limiter := s.board.RateLimiters.Value().ByWorkspace[w.Name]
	if limiter != nil && limiter.Take(limiter.Grant.Value(), clock.Now()) {
		limiter.TokensRequested.Add(1)
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, maxTokenWait, errTokenTimeout)
	defer cancel()
	if limiter = s.waitForLimiter(ctx, w.Name); limiter == nil {
		return tokenWaitError(ctx, result.New(result.Starting, result.NotRun).WithRetryAfter(minRateRetryAfter))
	}
	limiter.TokensRequested.Add(1)
	return waitForToken(ctx, limiter, w)
}

// inForce returns the workspace as the configuration in force has it, which may be newer than
// the one by which the request was identified, or w itself if that has none of the name.
func (s *Server) inForce(w *catalog.Workspace) *catalog.Workspace {
	if cat := s.board.Catalog.Value(); cat != nil {
		return cmp.Or(cat.Workspace(w.Name), w)
	}
	return w
}

// waitForToken takes a token from the limiter as soon as its grant has one. It fails
// when the shared bucket is known to be empty or ctx is done.
func waitForToken(ctx context.Context, limiter *blackboard.RateLimiter, w *catalog.Workspace) error {
	for {
		grant := limiter.Grant.Load()
		now := clock.Now()
		if limiter.Take(grant.Value, now) {
			return nil
		}
		if next, empty := grant.Value.BucketEmptyUntil(now); empty {
			return rateExceeded(w, "the shared bucket is empty", next.Sub(now))
		}
		select {
		case <-grant.Changed():
		case <-ctx.Done():
			return tokenWaitError(ctx, rateExceeded(w, "no token came from the store in time", minRateRetryAfter))
		}
	}
}

// errTokenTimeout is the cause of a context that ended after maxTokenWait.
var errTokenTimeout = errors.New("relay: timed out waiting for a token")

// tokenWaitError returns timeout if ctx ended after maxTokenWait, and CallerGone
// if the caller closed the connection before.
func tokenWaitError(ctx context.Context, timeout error) error {
	if errors.Is(context.Cause(ctx), errTokenTimeout) {
		return timeout
	}
	return result.New(result.CallerGone, result.NotRun)
}

// waitForLimiter returns the workspace's limiter as soon as it is published, or nil
// when ctx is done.
func (s *Server) waitForLimiter(ctx context.Context, workspace string) *blackboard.RateLimiter {
	for {
		limiters := s.board.RateLimiters.Load()
		if limiter := limiters.Value.ByWorkspace[workspace]; limiter != nil {
			return limiter
		}
		select {
		case <-limiters.Changed():
		case <-ctx.Done():
			return nil
		}
	}
}

func rateExceeded(w *catalog.Workspace, reason string, wait time.Duration) error {
	return result.Errorf(result.RateExceeded, "workspace %s, rate %g/s, burst %g: %s", w.Name, w.Rate, w.Burst, reason).
		WithRetryAfter(max(wait, minRateRetryAfter))
}

// candidates returns the named service and its engines. An empty name stands for the service
// that the route picks by its weights. The service is nil if the configuration lacks it.
func (s *Server) candidates(identity *Identity, name string) (*catalog.Service, []*blackboard.Engine) {
	if name == "" {
		name = identity.Route.PickService(s.random())
	}
	return identity.Catalog.Service(name), s.board.Engines.Value().OfService(name)
}
