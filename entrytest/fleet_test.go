// Package entrytest tests entry daemons from outside, over their public protocol, against
// stand-ins of the platform's store and of engines.
package entrytest

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/daemon"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/loopback"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/standin"
)

// object is a JSON object in a row that operators or engines write.
type object = map[string]any

// fleet is a store, engines and entry daemons on loopback addresses.
type fleet struct {
	t        *testing.T
	store    *standin.Platform
	config   object
	daemons  []*entry
	keyGrace time.Duration
	rollouts *platform.RolloutBounds // of daemons that start from now on
}

// entry is a running entry daemon.
type entry struct {
	process  daemon.Process
	settings platform.Settings
	stopped  bool
}

const (
	host   = "caller.example"
	key    = "key-a"
	tenant = "workspace-a"
)

// newFleet starts a store with a configuration of one workspace and four routes.
// Everything in the fleet is closed at the end of the test.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	store, err := standin.StartPlatform(address(t))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, store: store, keyGrace: 5 * time.Second}
	t.Cleanup(f.close)
	f.config = object{
		"version": 3,
		"routes": []object{
			route("once", "/once/", "streaming", object{"maxAttempts": 1}),
			route("resume", "/resume/", "streaming", object{"maxAttempts": 3, "resumable": true}),
			route("repeat", "/repeat/", "retryable", object{"maxAttempts": 3}),
			route("jobs", "/jobs/", "batch", object{
				"maxAttempts": 3, "completionTargetMs": 18000, "maxWaitS": 60, "maxCount": 1000,
			}),
		},
		"services": []object{{"name": "svc", "coldPerS": 28, "maxConnections": 100}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": tenant, "apiKeys": []string{key}, "ratePerS": 500, "burst": 500}},
	}
	f.publish()
	return f
}

// route returns a route of the configuration with the additional fields.
func route(name, prefix, kind string, more object) object {
	r := object{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": "svc",
		"timeoutMs": 5000, "targetLatencyMs": 300, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// address returns a free loopback address.
func address(t *testing.T) string {
	t.Helper()
	a, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// newProxy starts a proxy to the target address. It is closed at the end of the test.
func newProxy(t *testing.T, target string) *loopback.Proxy {
	t.Helper()
	p, err := loopback.NewProxy(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		if !d.stopped {
			d.process.Kill()
		}
	}
	f.store.Close()
}

// put writes a row to the store as operators and engines do.
func (f *fleet) put(table, key string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.PutRow(table, "", key, data)
}

// publish writes the configuration with the next version.
func (f *fleet) publish() {
	f.config["version"] = f.config["version"].(int) + 1
	f.put("op", "config", f.config)
}

// start starts an entry daemon in the process of the test and waits until it is ready.
func (f *fleet) start(name string) *entry {
	f.t.Helper()
	d := &entry{settings: platform.Settings{
		VMName: name, DataCentre: "dc-1", CallerAddress: address(f.t), ReadinessAddress: address(f.t), PeerAddress: address(f.t),
		MetricsAddress: address(f.t), StoreAddress: strings.TrimPrefix(f.store.URL(), "http://"), MemoryBytes: 1 << 30,
		StopGrace: 8 * time.Second, WithdrawnKeyGrace: f.keyGrace, Rollouts: f.rollouts,
	}}
	process, err := daemon.StartEntry(d.settings, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	if err != nil {
		f.t.Fatal(err)
	}
	d.process = process
	f.daemons = append(f.daemons, d)
	eventually(f.t, "daemon is ready", func() bool { return d.ready() })
	return d
}

// ready reports whether the daemon accepts requests.
func (d *entry) ready() bool {
	resp, err := http.Get("http://" + d.settings.ReadinessAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the daemon without a graceful shutdown.
func (d *entry) kill() {
	d.stopped = true
	d.process.Kill()
}

const waitTimeout = 10 * time.Second

// eventually waits until the condition holds. It ends the test after waitTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out after %v while waiting: %s", waitTimeout, what)
}

// reply is the response of a daemon to a request.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

// request is a request to a daemon. The default method is POST and the default host is that of
// the fleet; an empty id is replaced by a new one.
type request struct {
	method string
	host   string
	path   string
	id     string
	key    string
	body   string
	header map[string]string
}

// ids counts the generated request IDs.
var ids atomic.Int64

// send sends the request to the daemon on a new connection. The status of the reply is 0
// if there is no response.
func (d *entry) send(ctx context.Context, t *testing.T, r request) reply {
	t.Helper()
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.id == "" {
		r.id = fmt.Sprintf("request-%d", ids.Add(1))
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+d.settings.CallerAddress+r.path, strings.NewReader(r.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = cmp.Or(r.host, host)
	req.Close = true
	req.Header.Set("Request-Id", r.id)
	if r.key != "" {
		req.Header.Set("Authorization", "Token "+r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// behaviour handles one request to an engine. number is the number of requests that the
// engine received so far, with this one.
type behaviour func(e *engine, w http.ResponseWriter, r *http.Request, number int)

// engine is a stand-in for a model engine of the platform.
type engine struct {
	t          *testing.T
	id         string
	address    string
	eventCount int // of a complete stream
	server     *httpserve.Server

	mu       sync.Mutex
	behave   behaviour
	requests []*http.Request
	bodies   []string
}

// startEngine starts an engine and registers it in the store as ready.
func (f *fleet) startEngine(id string, behave behaviour) *engine {
	f.t.Helper()
	e := &engine{t: f.t, id: id, address: address(f.t), eventCount: 5, behave: behave}
	server, err := httpserve.Listen(e.address, nil, httpserve.Options{NotFound: http.HandlerFunc(e.serve)})
	if err != nil {
		f.t.Fatal(err)
	}
	e.server = server
	f.t.Cleanup(server.Close)
	f.register(e, "ready", 0)
	return e
}

// register writes the row of the engine in table servers.
func (f *fleet) register(e *engine, state string, coldMs int) {
	f.put("servers", e.id, engineRow(e, state, coldMs, 1000))
}

// engineRow returns the row of an engine that started at the Unix time born, in ms.
func engineRow(e *engine, state string, coldMs int, born int64) object {
	return object{
		"service": "svc", "address": e.address, "zone": "dc-1", "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": coldMs, "sequence": 1, "born": born,
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.requests = append(e.requests, r.Clone(context.Background()))
	e.bodies = append(e.bodies, string(body))
	number, behave := len(e.requests), e.behave
	e.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "stamp-"+e.id)
	behave(e, w, r, number)
}

// count returns the number of requests that the engine received.
func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// request returns the request with the index n, counted from 0.
func (e *engine) request(n int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[n]
}

// firstEvent returns the number of the first event of the response: the one after
// Last-Event-Id, or 1.
func firstEvent(r *http.Request) int {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return after + 1
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

// stream sends the stream from the first requested event to the last one.
func stream(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
	streamUntil(e, w, r, e.eventCount, 0)
}

// streamUntil sends the stream up to the event with the number last, with a pause after
// each event.
func streamUntil(_ *engine, w http.ResponseWriter, r *http.Request, last int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := firstEvent(r); n <= last; n++ {
		if _, err := io.WriteString(w, event(n)); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// cutAfter returns a behaviour that sends the stream up to event n and the first bytes of
// the next event, and closes the connection.
func cutAfter(n int) behaviour {
	return func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, n, 0)
		_, _ = io.WriteString(w, event(n + 1)[:7])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// reject answers that the request was not run.
func reject(_ *engine, w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fullStream returns the body of a complete stream.
func (e *engine) fullStream() string {
	var b strings.Builder
	for n := 1; n <= e.eventCount; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}
