package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/serve"
)

// Gateway serves callers and operators over HTTP. Its methods may be called from several
// goroutines.
type Gateway struct {
	settings config.Settings
	budget   *budget.Budget // for bodies; set by Listen, or nil
	board    *blackboard.Board
	server   *serve.Server
	configs  *configstore.Store
	jobs     *batch.Store
}

// New returns a Gateway that works by the state on the board. It runs model and service
// requests on server, changes the configuration in configs and keeps batch work in jobs.
func New(settings config.Settings, board *blackboard.Board, server *serve.Server, configs *configstore.Store, jobs *batch.Store) *Gateway {
	return &Gateway{settings: settings, board: board, server: server, configs: configs, jobs: jobs}
}

// Listen starts to serve requests at the address in the settings. The pool bounds the callers'
// connections and what they hold. The caller shuts the returned server down.
func (g *Gateway) Listen(pool *budget.Pool) (*httpserve.Server, error) {
	g.budget = pool.Budget()
	return httpserve.Listen(g.settings.ListenAddress, g.Routes(), httpserve.Options{
		ReadHeaderTimeout: g.settings.ReadTimeout,
		Pool:              pool,
		NotFound:          http.HandlerFunc(g.serveRoute),
		MethodNotAllowed:  http.HandlerFunc(g.methodNotAllowed),
	})
}

// Routes returns the routes of the gateway, without the paths that the inventory forwards
// to services.
func (g *Gateway) Routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: g.serveModel},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: g.serveModel},
		{Method: http.MethodPost, Path: "/v1/embeddings", Handler: g.serveModel},
		{Method: http.MethodGet, Path: "/v1/models", Handler: g.listModels},
		{Method: http.MethodGet, Path: "/v1/models/:model", Handler: g.getModel},
		{Method: http.MethodGet, Path: "/healthz", Handler: g.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: g.readyz},
	}
	routes = append(routes, g.fileRoutes()...)
	routes = append(routes, g.batchRoutes()...)
	return append(routes, g.adminRoutes()...)
}

// view returns the configuration in force, or nil if there is none yet.
func (g *Gateway) view() *fleet.View { return g.board.Config.Value().View }

func newRequestID() string { return uuid.NewString() }

func (g *Gateway) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeError(w, result.Errorf(result.MethodNotAllowed, "path %s does not accept method %s", r.URL.Path, r.Method), newRequestID())
}

// healthz responds as long as the process runs.
func (g *Gateway) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// readyz tells the load balancer whether to send requests to the gateway.
func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	reason := g.readinessStatus()
	if reason != statusReady {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"status": reason})
}

// statusReady is the readiness status of a gateway that takes requests.
const statusReady = "serving"

// readinessStatus returns statusReady or the reason why the gateway takes no requests.
func (g *Gateway) readinessStatus() string {
	phase := g.board.Phase.Value()
	switch {
	case phase != blackboard.PhaseServing:
		return phase.String()
	case g.view() == nil:
		return result.ConfigMissing.String()
	case time.Now().After(g.board.Freshness.Value().ValidUntil):
		return result.ConfigStale.String()
	default:
		return statusReady
	}
}

// handler is an HTTP handler that returns an error instead of writing it. It must not
// return one after it has started the response.
type handler func(w http.ResponseWriter, r *http.Request, requestID string) error

// toHandlerFunc returns an http.HandlerFunc that calls h with a new request ID and
// responds with its error, if any.
func toHandlerFunc(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set(RequestIDHeader, id)
		if err := h(w, r, id); err != nil {
			writeError(w, err, id)
		}
	}
}

// withWorkspace returns a handler that calls h with the workspace of the request's key,
// or responds with an error if the key is not valid.
func (g *Gateway) withWorkspace(h func(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error) http.HandlerFunc {
	return toHandlerFunc(func(w http.ResponseWriter, r *http.Request, _ string) error {
		workspace, err := g.authenticate(r)
		if err != nil {
			return err
		}
		return h(w, r, workspace)
	})
}

// authenticate returns the workspace of the request's key. It returns the errors of
// readCredential and serve.Authenticate, or one with code result.ConfigMissing.
func (g *Gateway) authenticate(r *http.Request) (*fleet.Workspace, error) {
	view := g.view()
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	key, err := readCredential(r.Header)
	if err != nil {
		return nil, err
	}
	return serve.Authenticate(view, &serve.Request{Key: key.digest, HasKey: key.isPresent()})
}

// withOperator returns a handler that calls h if the request carries the operators' key,
// or otherwise responds with code result.AdminKeyNeeded.
func (g *Gateway) withOperator(h handler) http.HandlerFunc {
	return toHandlerFunc(func(w http.ResponseWriter, r *http.Request, id string) error {
		key, err := readCredential(r.Header)
		if err != nil {
			return err
		}
		sum := sha256.Sum256([]byte(key.text))
		given := hex.EncodeToString(sum[:])
		if subtle.ConstantTimeCompare([]byte(given), []byte(g.settings.AdminKeyDigest)) != 1 {
			return result.New(result.AdminKeyNeeded, result.NotRun)
		}
		return h(w, r, id)
	})
}
