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

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	// Models lists the models that the engine serves. The stand-in itself accepts any
	// model.
	Models []string
	// Prefill is the time to the first token of a prompt whose prefix is not cached.
	Prefill time.Duration
	// PerToken is the time between two tokens while at most FullSpeedRequests requests
	// run.
	PerToken time.Duration
	// Tokens is the number of tokens in a response if the request sets no max_tokens.
	Tokens int
	// FullSpeedRequests is the number of requests that can run at once before the
	// engine slows down. Above it, times grow in proportion to the running requests.
	FullSpeedRequests int
	// ColdMaxRunning is the number of requests that can run at once during cold start.
	// One more makes the engine fail.
	ColdMaxRunning int
	// ColdOverloadTime is how long a cold engine can run more than ColdMaxRunning requests
	// before it fails. At 0 it fails at once.
	ColdOverloadTime time.Duration
	// WarmupRequests is the number of completed requests that ends the cold start.
	WarmupRequests int
	// CachedPrefixes is the capacity of the prefix cache. 0 disables the cache.
	CachedPrefixes int
	// StartCold starts the engine in cold start.
	StartCold bool
}

// DefaultEngineOptions holds the options of a small, fast engine.
var DefaultEngineOptions = EngineOptions{
	Prefill:           20 * time.Millisecond,
	PerToken:          2 * time.Millisecond,
	Tokens:            16,
	FullSpeedRequests: 8,
	ColdMaxRunning:    2,
	WarmupRequests:    8,
	CachedPrefixes:    64,
}

// overloadDowntime is how long an engine stays down after it failed from overload.
const overloadDowntime = 2 * time.Second

// Engine is a stand-in for a model engine. It simulates continuous batching, a prefix
// cache and a cold start, and it streams responses. Its methods may be called from
// several goroutines.
type Engine struct {
	faultInjector
	opts             EngineOptions
	server           *httpserve.Server
	warmupRequests   atomic.Int64 // requests completed since the last SetCold
	downUntil        atomic.Int64 // Unix time in ns until which the engine is down
	overloadFailures atomic.Int64 // how often the engine failed in cold start
	// overloadedSince is the Unix time in ns since which the cold engine runs more than
	// ColdMaxRunning requests, or 0.
	overloadedSince atomic.Int64
	incarnation     atomic.Pointer[incarnation]
	requests        requestLog
	cache           prefixCache
}

// incarnation is one run of the engine, from one restart to the next.
type incarnation struct {
	running atomic.Int64  // running requests
	ended   chan struct{} // closed at the restart
}

// StartEngine starts the engine on the listen address. It fails if the address cannot be
// listened on.
func StartEngine(address string, opts EngineOptions) (*Engine, error) {
	e := &Engine{opts: opts, cache: prefixCache{capacity: opts.CachedPrefixes}}
	e.SetFaults(Faults{Cold: opts.StartCold})
	e.newIncarnation()
	server, err := httpserve.Listen(address, e.routes(), httpserve.Options{})
	if err != nil {
		return nil, err
	}
	e.server = server
	return e, nil
}

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return "http://" + e.server.Addr() }

// Shutdown waits for the running requests to end and stops the engine. It returns an
// error if ctx ends first.
func (e *Engine) Shutdown(ctx context.Context) error { return e.server.Shutdown(ctx) }

// Close stops the engine at once and cuts its requests.
func (e *Engine) Close() { e.server.Close() }

// ReceivedRequests returns a copy of the list of requests that the engine received, oldest
// first.
func (e *Engine) ReceivedRequests() []ReceivedRequest { return e.requests.all() }

// OverloadFailures returns how often the engine failed from overload in cold start.
func (e *Engine) OverloadFailures() int64 { return e.overloadFailures.Load() }

// Running returns the number of running requests.
func (e *Engine) Running() int64 { return e.incarnation.Load().running.Load() }

func (e *Engine) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.withFaults(e.completionHandler(chatFormat))},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: e.withFaults(e.completionHandler(textFormat))},
		{Method: http.MethodPost, Path: "/v1/embeddings", Handler: e.withFaults(e.handleEmbeddings)},
		{Method: http.MethodGet, Path: "/health", Handler: e.withFaults(e.handleHealth)},
		{Method: http.MethodGet, Path: "/load", Handler: e.withFaults(e.handleLoad)},
		{Method: http.MethodGet, Path: "/seen", Handler: e.handleSeen},
	}
	return append(routes, e.faultInjector.routes()...)
}

// isCold reports whether the engine is in cold start.
func (e *Engine) isCold() bool {
	return e.CurrentFaults().Cold && e.warmupRequests.Load() < int64(e.opts.WarmupRequests)
}

// SetCold starts or ends a cold start. Its change of the faults is not atomic: a
// concurrent SetFaults may be lost.
func (e *Engine) SetCold(cold bool) {
	e.warmupRequests.Store(0)
	f := e.CurrentFaults()
	f.Cold = cold
	e.SetFaults(f)
}

// newIncarnation ends the current incarnation, if any, and starts the next one.
func (e *Engine) newIncarnation() {
	if old := e.incarnation.Swap(&incarnation{ended: make(chan struct{})}); old != nil {
		close(old.ended)
	}
}

// Restart cuts the running completions and puts the engine into cold start. Running
// embeddings requests are not cut.
func (e *Engine) Restart() {
	e.newIncarnation()
	e.SetCold(true)
}

// handleHealth serves the health check: ready, cold, or status 503 while the engine is
// down.
func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
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

// handleLoad serves the number of running requests and of overload failures.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]int64{"running": e.Running(), "falls": e.overloadFailures.Load()})
}

// handleSeen serves the received requests.
func (e *Engine) handleSeen(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.requests.all())
}

func (e *Engine) isDown() bool { return time.Now().UnixNano() < e.downUntil.Load() }

// startRequest counts a request as running and returns the current incarnation. It
// returns nil if the request is rejected: the engine is down, or this request overloads
// the cold engine, which then goes down for overloadDowntime.
func (e *Engine) startRequest() *incarnation {
	if e.isDown() {
		return nil
	}
	inc := e.incarnation.Load()
	if e.canRun(inc.running.Add(1)) {
		return inc
	}
	e.downUntil.Store(time.Now().Add(overloadDowntime).UnixNano())
	e.overloadFailures.Add(1)
	inc.running.Add(-1)
	return nil
}

// canRun reports whether the engine can run that many requests without failing. It
// updates overloadedSince.
func (e *Engine) canRun(running int64) bool {
	if !e.isCold() || running <= int64(e.opts.ColdMaxRunning) {
		e.overloadedSince.Store(0)
		return true
	}
	now := time.Now().UnixNano()
	if e.opts.ColdOverloadTime > 0 && e.overloadedSince.CompareAndSwap(0, now) {
		return true
	}
	return now-e.overloadedSince.Load() < int64(e.opts.ColdOverloadTime)
}

// finishRequest counts a request as no longer running. Only answered requests count
// towards the end of the cold start.
func (e *Engine) finishRequest(inc *incarnation, answered *bool) {
	inc.running.Add(-1)
	if *answered {
		e.warmupRequests.Add(1)
	}
}

// handleEmbeddings serves a fixed vector after the prefill time.
func (e *Engine) handleEmbeddings(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model string `json:"model"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry := e.requests.add(r, "")
	inc := e.startRequest()
	if inc == nil {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	answered := false
	defer e.finishRequest(inc, &answered)
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
	e.requests.setDone(entry)
}
