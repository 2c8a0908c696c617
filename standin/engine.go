package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/httpserve"
)

// EngineOptions describes a stand-in engine.
type EngineOptions struct {
	// Models lists the models that the engine serves.
	Models []string
	// Prefill is the time to the first token of an uncached prompt.
	Prefill time.Duration
	// PerToken is the time between tokens while the engine is not overloaded.
	PerToken time.Duration
	// Tokens is the number of tokens in an answer when the request sets none.
	Tokens int
	// Knee is the number of requests that run at once without slowing down.
	Knee int
	// ColdLimit is the number of requests that a cold engine bears; one more
	// makes it fail.
	ColdLimit int
	// ColdPatience is how long a cold engine bears more than ColdLimit. The
	// default is not at all.
	ColdPatience time.Duration
	// ColdWork is the number of requests that end the cold start.
	ColdWork int
	// CachedPrefixes is the number of prompt prefixes that the engine keeps.
	CachedPrefixes int
	// StartCold puts the engine into cold start at first.
	StartCold bool
}

// DefaultEngine is a small, fast engine.
var DefaultEngine = EngineOptions{
	Prefill:        20 * time.Millisecond,
	PerToken:       2 * time.Millisecond,
	Tokens:         16,
	Knee:           8,
	ColdLimit:      2,
	ColdWork:       8,
	CachedPrefixes: 64,
}

// fellOver is how long an engine that failed under load stays down.
const fellOver = 2 * time.Second

// Engine is a stand-in model engine with continuous batching, a prefix cache,
// a cold start and streams.
type Engine struct {
	faultSwitch
	opts    EngineOptions
	server  *httpserve.Server
	work    atomic.Int64
	failed  atomic.Int64 // UnixNano until which the engine is down
	falls   atomic.Int64
	crowded atomic.Int64 // UnixNano since which a cold engine has too much, or 0
	life    atomic.Pointer[life]
	log     seenLog
	cache   prefixCache
}

// life is the time between two restarts of an engine.
type life struct {
	running atomic.Int64
	ended   chan struct{}
}

// StartEngine starts the stand-in at the address.
func StartEngine(address string, opts EngineOptions) (*Engine, error) {
	e := &Engine{opts: opts, cache: prefixCache{size: opts.CachedPrefixes}}
	e.Set(Faults{Cold: opts.StartCold})
	e.begin()
	server, err := httpserve.Listen(address, e.routes(), httpserve.Options{})
	if err != nil {
		return nil, err
	}
	e.server = server
	return e, nil
}

// URL returns the engine's base address.
func (e *Engine) URL() string { return "http://" + e.server.Addr() }

// Shutdown stops the engine after its running requests.
func (e *Engine) Shutdown(ctx context.Context) error { return e.server.Shutdown(ctx) }

// Close stops the engine at once.
func (e *Engine) Close() { e.server.Close() }

// Seen returns the requests that the engine received.
func (e *Engine) Seen() []Seen { return e.log.all() }

// Falls returns how often the engine failed under load in cold start.
func (e *Engine) Falls() int64 { return e.falls.Load() }

// Running returns the number of running requests.
func (e *Engine) Running() int64 { return e.life.Load().running.Load() }

func (e *Engine) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.guard(e.complete(chatAnswer))},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: e.guard(e.complete(textAnswer))},
		{Method: http.MethodPost, Path: "/v1/embeddings", Handler: e.guard(e.embed)},
		{Method: http.MethodGet, Path: "/health", Handler: e.guard(e.health)},
		{Method: http.MethodGet, Path: "/load", Handler: e.guard(e.load)},
		{Method: http.MethodGet, Path: "/seen", Handler: e.seen},
	}
	return append(routes, e.faultSwitch.routes()...)
}

func (e *Engine) isCold() bool {
	return e.Get().Cold && e.work.Load() < int64(e.opts.ColdWork)
}

// SetCold puts the engine into cold start, or ends it.
func (e *Engine) SetCold(cold bool) {
	e.work.Store(0)
	f := e.Get()
	f.Cold = cold
	e.Set(f)
}

// begin starts a life of the engine, which Restart ends.
func (e *Engine) begin() {
	if old := e.life.Swap(&life{ended: make(chan struct{})}); old != nil {
		close(old.ended)
	}
}

// Restart cuts every running request and puts the engine into cold start.
func (e *Engine) Restart() {
	e.begin()
	e.SetCold(true)
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	state := "ready"
	switch {
	case e.isDown():
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case e.isCold():
		state = "cold"
	}
	writeJSON(w, http.StatusOK, map[string]string{"state": state})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]int64{"running": e.Running(), "falls": e.falls.Load()})
}

func (e *Engine) seen(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.log.all())
}

func (e *Engine) isDown() bool { return time.Now().UnixNano() < e.failed.Load() }

// enter counts a request in, and lets a cold engine fail under too many. It
// returns nil for a request that is refused.
func (e *Engine) enter() *life {
	if e.isDown() {
		return nil
	}
	l := e.life.Load()
	if e.bears(l.running.Add(1)) {
		return l
	}
	e.failed.Store(time.Now().Add(fellOver).UnixNano())
	e.falls.Add(1)
	l.running.Add(-1)
	return nil
}

// bears tells whether the engine bears the number of running requests.
func (e *Engine) bears(running int64) bool {
	if !e.isCold() || running <= int64(e.opts.ColdLimit) {
		e.crowded.Store(0)
		return true
	}
	now := time.Now().UnixNano()
	if e.opts.ColdPatience > 0 && e.crowded.CompareAndSwap(0, now) {
		return true
	}
	return now-e.crowded.Load() < int64(e.opts.ColdPatience)
}

// leave counts a request out; only an answered one warms the engine up.
func (e *Engine) leave(l *life, answered *bool) {
	l.running.Add(-1)
	if *answered {
		e.work.Add(1)
	}
}

// completionRequest is the part of a completion request that the stand-in
// reads.
type completionRequest struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Prompt    string            `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
}

func (r *completionRequest) text() string {
	if r.Prompt != "" || len(r.Messages) == 0 {
		return r.Prompt
	}
	var last struct {
		Content string `json:"content"`
	}
	_ = json.Unmarshal(r.Messages[len(r.Messages)-1], &last)
	return last.Content
}

// poison is a prompt that the engine never answers.
const poison = "poison"

func (e *Engine) complete(shape answerShape) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := parseCompletion(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		entry := e.log.add(r, req.text())
		l := e.enter()
		if l == nil {
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		}
		e.log.running(entry, l.running.Load())
		answered := false
		defer e.leave(l, &answered)
		if strings.Contains(req.text(), poison) {
			http.Error(w, "cannot process", http.StatusInternalServerError)
			return
		}
		g := generation{engine: e, shape: shape, request: req, w: w, r: r, life: l}
		if answered = g.run(); answered {
			e.log.done(entry)
		}
	}
}

func parseCompletion(body io.Reader) (*completionRequest, error) {
	req := new(completionRequest)
	if err := json.NewDecoder(body).Decode(req); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadBody, err)
	}
	return req, nil
}

// generation is one running answer.
type generation struct {
	engine  *Engine
	shape   answerShape
	request *completionRequest
	w       http.ResponseWriter
	r       *http.Request
	life    *life
	crossed bool
}

// anotherRequest is the identity and content of crossed answers.
const anotherRequest = "another-request"

// wait waits for d. It returns false if the caller has gone or the engine was
// restarted, which closes the connection.
func (g *generation) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.life.ended:
		dropAnswer(g.w)
		return false
	case <-g.r.Context().Done():
		return false
	}
}

// run writes the answer and returns whether it was written whole.
func (g *generation) run() bool {
	e := g.engine
	id := g.r.Header.Get("X-Request-Id")
	if e.take(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = anotherRequest
		g.crossed = true
	}
	g.w.Header().Set("X-Request-Id", id)
	if !g.wait(e.prefill(g.request.text())) {
		return false
	}
	tokens := g.request.MaxTokens
	if tokens <= 0 {
		tokens = e.opts.Tokens
	}
	if g.request.Stream {
		return g.stream(tokens)
	}
	for range tokens {
		if !g.wait(e.tokenTime()) {
			return false
		}
	}
	g.writeWhole(tokens)
	return true
}

// answerText returns the content of the answer; a crossed one is another
// request's.
func (g *generation) answerText() string {
	if g.crossed {
		return "answer to: " + anotherRequest
	}
	return "answer to: " + g.request.text()
}

func (g *generation) writeWhole(tokens int) {
	writeJSON(g.w, http.StatusOK, map[string]any{
		"id":      g.shape.idPrefix + g.r.Header.Get("X-Request-Id"),
		"object":  g.shape.object,
		"created": time.Now().Unix(),
		"model":   g.request.Model,
		"choices": []any{g.shape.choice(g.answerText())},
		"usage":   map[string]int{"prompt_tokens": len(g.request.text()), "completion_tokens": tokens, "total_tokens": tokens + len(g.request.text())},
	})
}

func (g *generation) stream(tokens int) bool {
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.event(g.shape.delta(g.answerText()))
	for i := 1; i < tokens; i++ {
		if !g.wait(g.engine.tokenTime()) {
			return false
		}
		g.event(g.shape.delta(fmt.Sprintf(" t%d", i)))
	}
	if g.engine.take(func(f *Faults) *int { return &f.CutStreams }) {
		dropAnswer(g.w)
		return false
	}
	_, err := io.WriteString(g.w, "data: [DONE]\n\n")
	return err == nil
}

func (g *generation) event(choice map[string]any) {
	data, _ := json.Marshal(map[string]any{
		"id":      g.shape.idPrefix + g.r.Header.Get("X-Request-Id"),
		"object":  g.shape.chunkObject,
		"created": time.Now().Unix(),
		"model":   g.request.Model,
		"choices": []any{choice},
	})
	fmt.Fprintf(g.w, "data: %s\n\n", data)
	_ = http.NewResponseController(g.w).Flush()
}

// prefill returns the time to the first token: less for a cached prefix, more
// when the engine is overloaded.
func (e *Engine) prefill(prompt string) time.Duration {
	d := e.opts.Prefill
	if e.cache.use(prompt) {
		d /= 4
	}
	return time.Duration(float64(d) * e.slowdown())
}

func (e *Engine) tokenTime() time.Duration {
	return time.Duration(float64(e.opts.PerToken) * e.slowdown())
}

// slowdown grows with the number of requests above the knee.
func (e *Engine) slowdown() float64 {
	return max(1, float64(e.Running())/float64(e.opts.Knee))
}

func (e *Engine) embed(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model string `json:"model"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry := e.log.add(r, "")
	l := e.enter()
	if l == nil {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	answered := false
	defer e.leave(l, &answered)
	if !wait(r, e.opts.Prefill) {
		return
	}
	answered = true
	writeJSON(w, http.StatusOK, map[string]any{
		"object": "list",
		"model":  req.Model,
		"data":   []any{map[string]any{"object": "embedding", "index": 0, "embedding": []float64{0.1, 0.2, 0.3}}},
		"usage":  map[string]int{"prompt_tokens": 1, "total_tokens": 1},
	})
	e.log.done(entry)
}
