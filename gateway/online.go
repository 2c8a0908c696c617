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

// modelRequestFields holds the fields of a model request's body that the gateway reads.
// The body is passed on unchanged.
type modelRequestFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Messages and Prompt hold the prompt as the caller encoded it. At most one of them
	// is present, depending on the endpoint.
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// hashedPrefixBytes is the length of the start of a prompt that is hashed. Requests with
// the same hash prefer the same engine, whose cache then holds that start.
const hashedPrefixBytes = 256

// prefixHash returns a hash of the start of the prompt, or 0 if there is no prompt.
func (h *modelRequestFields) prefixHash() uint64 {
	prompt := h.Messages
	if len(prompt) == 0 {
		prompt = h.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), hashedPrefixBytes)])
}

// serveModel serves requests to run a model.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	req, err := g.readModelRequest(w, r, id)
	if err != nil {
		writeError(w, err, id)
		return
	}
	g.serveAndRespond(w, r, req)
}

// readModelRequest reads a request to run a model. It returns the errors of checkJSONType
// and readRequest, or one with code result.BadRequest if the body is not valid JSON or
// names no model.
func (g *Gateway) readModelRequest(w http.ResponseWriter, r *http.Request, id string) (*serve.Request, error) {
	if err := checkJSONType(r); err != nil {
		return nil, err
	}
	req, err := g.readRequest(w, r, id)
	if err != nil {
		return nil, err
	}
	var fields modelRequestFields
	if err := json.Unmarshal(req.Body, &fields); err != nil {
		return nil, result.Errorf(result.BadRequest, "the body is not valid JSON: %v", err)
	}
	if fields.Model == "" {
		return nil, result.Errorf(result.BadRequest, "field \"model\" of the body is missing or empty")
	}
	req.Model = fields.Model
	req.Stream = fields.Stream
	req.PrefixHash = fields.prefixHash()
	req.Path = r.URL.Path
	return req, nil
}

// readRequest reads what requests for models and for plain services have in common,
// including the whole body. It rejects a request that would carry the caller's key to the
// upstream, but does not check whether the key is valid.
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
	body, err := g.readBody(w, r, view.Inventory.Rules.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if err := key.checkLeak(r, body); err != nil {
		return nil, err
	}
	return &serve.Request{
		ID:          id,
		Key:         key.digest,
		HasKey:      key.isPresent(),
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Accept:      r.Header.Get("Accept"),
		Body:        body,
		Received:    received,
	}, nil
}

// serveRoute serves requests for plain services: those whose path matches a route of the
// inventory.
func (g *Gateway) serveRoute(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	req, err := g.readRequest(w, r, id)
	if err != nil {
		writeError(w, err, id)
		return
	}
	if hasDotSegment(r.URL.Path) {
		writeError(w, result.Errorf(result.BadRequest, "the path contains a \".\" or \"..\" segment"), id)
		return
	}
	req.Route = g.view().Route(r.URL.Path)
	if req.Route == nil {
		writeError(w, result.Errorf(result.UnknownRoute, "no route matches %s", r.URL.Path), id)
		return
	}
	g.serveAndRespond(w, r, req)
}

// hasDotSegment reports whether the path has a "." or ".." segment, which an upstream
// might resolve to a path of another route.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// serveAndRespond runs the request and writes the response. If it fails after the
// response was started, an event stream ends with an error event, and for any other
// response the connection is closed, so that the caller does not take the part for the
// whole.
func (g *Gateway) serveAndRespond(w http.ResponseWriter, r *http.Request, req *serve.Request) {
	sink := &responseSink{w: w, requestID: req.ID}
	err := g.server.Serve(r.Context(), req, sink)
	switch {
	case err == nil:
	case !sink.started:
		writeError(w, err, req.ID)
	case sink.isEventStream():
		sink.writeErrorEvent(err)
	default:
		// net/http closes the connection.
		panic(http.ErrAbortHandler)
	}
}

// responseSink writes the response to an HTTP caller. It implements serve.Sink.
type responseSink struct {
	w         http.ResponseWriter
	requestID string
	started   bool
}

// Start implements serve.Sink.
func (s *responseSink) Start(status int, contentType string) error {
	s.started = true
	h := s.w.Header()
	h.Set(RequestIDHeader, s.requestID)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements serve.Sink. It flushes each part of an event stream.
func (s *responseSink) Write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	if s.isEventStream() {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// isEventStream reports whether the response is a stream of server-sent events.
func (s *responseSink) isEventStream() bool {
	return strings.HasPrefix(s.w.Header().Get("Content-Type"), "text/event-stream")
}

// writeErrorEvent ends an event stream with an event that carries the error. It does not
// write the event that ends a complete stream.
func (s *responseSink) writeErrorEvent(err error) {
	data, encodeErr := json.Marshal(errorBody(result.FromError(err), s.requestID))
	if encodeErr != nil {
		return
	}
	_ = s.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
}

// modelObject describes a model to callers, in the form of the OpenAI API. Created is
// always 0.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelObject(m *fleet.Model) modelObject {
	return modelObject{ID: m.Name, Object: "model", OwnedBy: "baobablanding"}
}

// listModels lists the models that the caller's workspace may use, ordered by name.
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

// getModel describes a model. A model that the workspace may not use counts as unknown.
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
