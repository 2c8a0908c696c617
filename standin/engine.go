package standin

import (
	"context"
	"encoding/json"
	"net/http"
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
