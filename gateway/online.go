package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/serve"
)

// completionHead is the part of a model request that the gateway reads.
type completionHead struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Messages and Prompt hold the prompt in the caller's encoding.
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// prefixBytes is the length of the start of a prompt by which requests are
// brought to an engine that has it cached.
const prefixBytes = 256

// prefix returns a hash of the start of the prompt, or 0 if there is no prompt.
func (h *completionHead) prefix() uint64 {
	prompt := h.Messages
	if len(prompt) == 0 {
		prompt = h.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// complete serves the endpoints that run a model.
func (g *Gateway) complete(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	req, err := g.readCompletion(w, r, id)
	if err != nil {
		writeError(w, err, id)
		return
	}
	g.run(w, r, req)
}

func (g *Gateway) readCompletion(w http.ResponseWriter, r *http.Request, id string) (*serve.Request, error) {
	if err := checkJSONType(r); err != nil {
		return nil, err
	}
	req, err := g.readRequest(w, r, id)
	if err != nil {
		return nil, err
	}
	var head completionHead
	if err := json.Unmarshal(req.Body, &head); err != nil {
		return nil, result.Errorf(result.BadRequest, "the body is not valid JSON: %v", err)
	}
	if head.Model == "" {
		return nil, result.Errorf(result.BadRequest, "the body names no model")
	}
	req.Model = head.Model
	req.Stream = head.Stream
	req.PrefixHash = head.prefix()
	req.Path = r.URL.Path
	return req, nil
}

// readRequest reads what model and plain-service requests have in common.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, id string) (*serve.Request, error) {
	received := time.Now()
	view := g.view()
	if view == nil {
		return nil, result.New(result.ConfigMissing, result.NotRun)
	}
	key, err := readCredential(r.Header)
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, view.Inventory.Rules.MaxBodyBytes, g.settings.BodyTimeout)
	if err != nil {
		return nil, err
	}
	if err := key.checkLeak(r, body); err != nil {
		return nil, err
	}
	return &serve.Request{
		ID:          id,
		Key:         key.digest,
		HasKey:      key.present(),
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Accept:      r.Header.Get("Accept"),
		Body:        body,
		Received:    received,
	}, nil
}

// plainService serves the paths that routes of the inventory forward.
func (g *Gateway) plainService(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	req, err := g.readRequest(w, r, id)
	if err != nil {
		writeError(w, err, id)
		return
	}
	if hasDotSegment(r.URL.Path) {
		writeError(w, result.Errorf(result.BadRequest, "the path has a segment . or .."), id)
		return
	}
	req.Route = g.view().Route(r.URL.Path)
	if req.Route == nil {
		writeError(w, result.Errorf(result.UnknownRoute, "no route matches %s", r.URL.Path), id)
		return
	}
	g.run(w, r, req)
}

// hasDotSegment tells whether an upstream might resolve the path to one of
// another route.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// run serves the request and writes its answer.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, req *serve.Request) {
	sink := &httpSink{w: w, requestID: req.ID}
	err := g.server.Serve(r.Context(), req, sink)
	switch {
	case err == nil:
	case !sink.started:
		writeError(w, err, req.ID)
	case sink.events():
		sink.endWithError(err)
	default:
		// The answer broke off; closing the connection tells the caller.
		panic(http.ErrAbortHandler)
	}
}

// httpSink writes an answer to an HTTP caller.
type httpSink struct {
	w         http.ResponseWriter
	requestID string
	started   bool
}

// Start implements serve.Sink.
func (s *httpSink) Start(status int, contentType string) error {
	s.started = true
	h := s.w.Header()
	h.Set(RequestIDHeader, s.requestID)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements serve.Sink.
func (s *httpSink) Write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	if s.events() {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// events tells whether the answer is a stream of events.
func (s *httpSink) events() bool {
	return strings.HasPrefix(s.w.Header().Get("Content-Type"), "text/event-stream")
}

// endWithError ends a stream with an event that carries the error. The event
// that ends a whole stream is not sent.
func (s *httpSink) endWithError(err error) {
	data, encodeErr := json.Marshal(errorBody(result.FromError(err), s.requestID))
	if encodeErr != nil {
		return
	}
	_ = s.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
}

// modelObject describes a model to callers.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelObject(m *fleet.Model) modelObject {
	return modelObject{ID: m.Name, Object: "model", OwnedBy: "baobablanding"}
}

func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) {
	g.withWorkspace(func(w http.ResponseWriter, _ *http.Request, workspace *fleet.Workspace) error {
		list := []modelObject{}
		for i := range g.view().Inventory.Models {
			if m := &g.view().Inventory.Models[i]; workspace.CanUse(m.Name) {
				list = append(list, newModelObject(m))
			}
		}
		slices.SortFunc(list, func(a, b modelObject) int { return strings.Compare(a.ID, b.ID) })
		writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
		return nil
	})(w, r)
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request) {
	g.withWorkspace(func(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
		name := pathvar.Vars(r)["model"]
		m := g.view().Model(name)
		if m == nil || !workspace.CanUse(name) {
			return result.Errorf(result.UnknownModel, "model %q does not exist", name)
		}
		writeJSON(w, http.StatusOK, newModelObject(m))
		return nil
	})(w, r)
}
