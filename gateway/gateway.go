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
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/serve"
)

// Gateway answers callers and operators over HTTP.
type Gateway struct {
	settings config.Settings
	board    *blackboard.Board
	server   *serve.Server
	configs  *configstore.Store
	jobs     *batch.Store
}

// New returns a Gateway that works by the state on the board.
func New(settings config.Settings, board *blackboard.Board, server *serve.Server, configs *configstore.Store, jobs *batch.Store) *Gateway {
	return &Gateway{settings: settings, board: board, server: server, configs: configs, jobs: jobs}
}

// Listen starts to answer at the address in the settings.
func (g *Gateway) Listen() (*httpserve.Server, error) {
	return httpserve.Listen(g.settings.Listen, g.Routes(), httpserve.Options{
		ReadHeaderTimeout: g.settings.ReadTimeout,
		NotFound:          http.HandlerFunc(g.plainService),
		NotAllowed:        http.HandlerFunc(g.notAllowed),
	})
}

// Routes returns the routes of the gateway.
func (g *Gateway) Routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: g.complete},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: g.complete},
		{Method: http.MethodPost, Path: "/v1/embeddings", Handler: g.complete},
		{Method: http.MethodGet, Path: "/v1/models", Handler: g.listModels},
		{Method: http.MethodGet, Path: "/v1/models/:model", Handler: g.getModel},
		{Method: http.MethodGet, Path: "/healthz", Handler: g.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: g.readyz},
	}
	routes = append(routes, g.fileRoutes()...)
	routes = append(routes, g.batchRoutes()...)
	return append(routes, g.adminRoutes()...)
}

func (g *Gateway) view() *fleet.View { return g.board.Config.Value().View }

func newRequestID() string { return uuid.NewString() }

func (g *Gateway) notAllowed(w http.ResponseWriter, r *http.Request) {
	writeError(w, result.Errorf(result.MethodNotAllowed, "%s does not accept %s", r.URL.Path, r.Method), newRequestID())
}

func (g *Gateway) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// readyz tells the balancer whether the gateway takes requests.
func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	reason := g.readiness()
	if reason != ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"status": reason})
}

// ready is the readiness of a gateway that takes requests.
const ready = "serving"

// readiness returns ready, or why the gateway takes no requests.
func (g *Gateway) readiness() string {
	phase := g.board.Phase.Value()
	switch {
	case phase != blackboard.PhaseServing:
		return phase.String()
	case g.view() == nil:
		return result.ConfigMissing.String()
	case time.Now().After(g.board.Freshness.Value().ValidUntil):
		return result.ConfigStale.String()
	default:
		return ready
	}
}

// handler is an HTTP handler that returns its failure.
type handler func(w http.ResponseWriter, r *http.Request, requestID string) error

// answering returns an http.HandlerFunc that answers with the handler's error.
func answering(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set(RequestIDHeader, id)
		if err := h(w, r, id); err != nil {
			writeError(w, err, id)
		}
	}
}

// withWorkspace returns a handler for requests that need a key but no upstream.
func (g *Gateway) withWorkspace(h func(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error) http.HandlerFunc {
	return answering(func(w http.ResponseWriter, r *http.Request, _ string) error {
		workspace, err := g.authenticate(r)
		if err != nil {
			return err
		}
		return h(w, r, workspace)
	})
}

func (g *Gateway) authenticate(r *http.Request) (*fleet.Workspace, error) {
	view := g.view()
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	key, err := readCredential(r.Header)
	if err != nil {
		return nil, err
	}
	return serve.Authenticate(view, &serve.Request{Key: key.digest, HasKey: key.present()})
}

// withOperator returns a handler for requests that need the operators' key.
func (g *Gateway) withOperator(h handler) http.HandlerFunc {
	return answering(func(w http.ResponseWriter, r *http.Request, id string) error {
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
