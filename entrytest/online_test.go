package entrytest

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/standin"
)

// TestRequestAndStreamArePassedOnUnchanged guards against requests and streams that
// change on their way, against a workspace taken from the caller's Tenant header, and
// against API keys that reach the engine.
func TestRequestAndStreamArePassedOnUnchanged(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", stream)
	d := f.start("entry-1")
	got := d.send(t.Context(), t, request{path: "/once/a?b=%2F", id: "r-1", key: key, body: "prompt", header: map[string]string{
		"Deadline-Ms": "4000", "Model": "m", "Tenant": "somebody-else",
	}})
	if got.status != http.StatusOK || got.body != e.fullStream() || got.header.Get("Server-Stamp") != "stamp-i-1" {
		t.Fatalf("answered %d %q %v", got.status, got.body, got.header)
	}
	r := e.request(0)
	for name, want := range map[string]string{
		"Request-Id": "r-1", "Tenant": tenant, "Expect-Instance": "i-1", "Model": "m", "Authorization": "", "User-Agent": "Go-http-client/1.1",
	} {
		if name == "User-Agent" {
			continue // the caller's library sets it
		}
		if r.Header.Get(name) != want {
			t.Errorf("header %s at the engine is %q, want %q", name, r.Header.Get(name), want)
		}
	}
	if r.RequestURI != "/once/a?b=%2F" || r.Host != host || e.bodies[0] != "prompt" {
		t.Errorf("engine received %s %s %q", r.Host, r.RequestURI, e.bodies[0])
	}
}

// TestInvalidRequestsAreRejected guards against requests without a valid key, route or
// body that reach an engine.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", stream)
	d := f.start("entry-1")
	for name, c := range map[string]struct {
		request request
		status  int
	}{
		"no key":       {request{path: "/once/a"}, http.StatusUnauthorized},
		"unknown key":  {request{path: "/once/a", key: "other"}, http.StatusUnauthorized},
		"no route":     {request{path: "/nothing/a", key: key}, http.StatusNotFound},
		"too large":    {request{path: "/once/a", key: key, body: string(make([]byte, 4194305))}, http.StatusRequestEntityTooLarge},
		"malformed":    {request{path: "/jobs/j", key: key, body: "{"}, http.StatusBadRequest},
		"no such job":  {request{method: http.MethodGet, path: "/v1/lots/none", key: key}, http.StatusNotFound},
		"foreign read": {request{method: http.MethodGet, path: "/v1/lots/none", key: "other"}, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			if got := d.send(t.Context(), t, c.request); got.status != c.status {
				t.Errorf("status %d, want %d: %s", got.status, c.status, got.body)
			}
		})
	}
	if e.count() != 0 {
		t.Errorf("engine received %d requests, want none", e.count())
	}
}

// TestRequestRejectedByEngineIsRetriedOnAnother guards against a rejection by one engine
// that reaches the caller although another engine is free.
func TestRequestRejectedByEngineIsRetriedOnAnother(t *testing.T) {
	f := newFleet(t)
	full := f.startEngine("i-1", reject)
	d := f.start("entry-1")
	got := d.send(t.Context(), t, request{path: "/once/a", key: key})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get("Server-Stamp") != "" {
		t.Errorf("with a single engine, which rejects: %d %v, want 503 with Retry-After from the daemon", got.status, got.header)
	}
	other := f.startEngine("i-2", stream)
	eventually(t, "the other engine serves", func() bool {
		return d.send(t.Context(), t, request{path: "/once/a", key: key}).status == http.StatusOK
	})
	for range 10 {
		if got := d.send(t.Context(), t, request{path: "/once/a", key: key}); got.body != other.fullStream() {
			t.Errorf("answered %d %q", got.status, got.body)
		}
	}
	if full.count() == 0 {
		t.Error("no request was sent to the engine that rejects")
	}
}

// TestCutStreamResumesOnlyOnResumableRoute guards against a second run of a request that
// may run once, against a cut stream that looks complete, and against resumed streams
// that lack events or have them twice.
func TestCutStreamResumesOnlyOnResumableRoute(t *testing.T) {
	f := newFleet(t)
	first := f.startEngine("i-1", cutAfter(2))
	d := f.start("entry-1")
	got := d.send(t.Context(), t, request{path: "/once/a", key: key})
	if got.status != http.StatusOK || got.err == nil {
		t.Errorf("cut stream of a route without retries looks complete: %d %q", got.status, got.body)
	}
	if n := first.count(); n != 1 {
		t.Errorf("a request of a route without retries was sent %d times", n)
	}
	second := f.startEngine("i-2", stream)
	eventually(t, "a cut stream is resumed on the second engine", func() bool {
		before := second.count()
		got := d.send(t.Context(), t, request{path: "/resume/a", key: key})
		if before == 0 && got.err != nil {
			return false // the second engine is not known yet
		}
		if got.err != nil || got.body != second.fullStream() {
			t.Fatalf("stream lacks events or has them twice: %q %v", got.body, got.err)
		}
		return second.count() > before && second.request(second.count()-1).Header.Get("Last-Event-Id") == "2"
	})
}

// TestResponseWithForeignRequestIDIsNotPassedOn guards against callers that get the
// response to another request. The request may have run, so it must not be retried on
// this route.
func TestResponseWithForeignRequestIDIsNotPassedOn(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Request-Id", "another")
		stream(e, w, r, n)
	})
	d := f.start("entry-1")
	got := d.send(t.Context(), t, request{path: "/once/a", key: key})
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502: the request may have run", got.status)
	}
}

// TestErrorStatusIsRetriedOnRetryableRoute guards against errors of one engine that reach
// the caller of a route whose requests may run again.
func TestErrorStatusIsRetriedOnRetryableRoute(t *testing.T) {
	f := newFleet(t)
	behave := func(_ *engine, w http.ResponseWriter, _ *http.Request, n int) {
		if n == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, "done")
	}
	a, b := f.startEngine("i-1", behave), f.startEngine("i-2", behave)
	d := f.start("entry-1")
	eventually(t, "both engines failed a request and the caller got a response", func() bool {
		got := d.send(t.Context(), t, request{path: "/repeat/a", key: key})
		return got.status == http.StatusOK && got.body == "done" && a.count() > 0 && b.count() > 0
	})
}

// TestCallerDisconnectCancelsEngineRequest guards against engines that work for callers
// that have closed their connection.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	f := newFleet(t)
	gone := make(chan time.Time, 1)
	e := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, 1, 0)
		<-r.Context().Done()
		gone <- time.Now()
	})
	d := f.start("entry-1")
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		eventually(t, "the engine runs the request", func() bool { return e.count() > 0 })
		leave()
	}()
	d.send(ctx, t, request{path: "/once/a", key: key})
	left := time.Now()
	select {
	case at := <-gone:
		if late := at.Sub(left); late > 400*time.Millisecond {
			t.Errorf("engine worked for %v after the caller disconnected, want at most 400ms", late)
		}
	case <-time.After(2 * time.Second):
		t.Error("engine still works 2s after the caller disconnected")
	}
}

// TestRouteTimeoutBoundsRequest guards against requests that run until the later deadline
// of the caller instead of the timeout of their route.
func TestRouteTimeoutBoundsRequest(t *testing.T) {
	f := newFleet(t)
	f.config["routes"].([]object)[0]["timeoutMs"] = 300
	f.publish()
	f.startEngine("i-1", func(_ *engine, _ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	d := f.start("entry-1")
	start := time.Now()
	got := d.send(t.Context(), t, request{path: "/once/a", key: key, header: map[string]string{"Deadline-Ms": "5000"}})
	if took := time.Since(start); got.status != http.StatusGatewayTimeout || took > 700*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after 300ms: %s", got.status, took, got.body)
	}
}

// TestDrainingAndTakenOutEnginesGetNoRequests guards against requests that are sent to an
// engine that is draining or in a data centre that is taken out, and against an engine
// that gets no requests after it came back.
func TestDrainingAndTakenOutEnginesGetNoRequests(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", stream)
	d := f.start("entry-1")
	serves := func() bool {
		return d.send(t.Context(), t, request{path: "/once/a", key: key}).status == http.StatusOK
	}
	if !serves() {
		t.Fatal("request was not served before the change")
	}
	f.register(e, "draining", 0)
	eventually(t, "a draining engine gets no requests", func() bool { return !serves() })
	f.register(e, "ready", 0)
	eventually(t, "a ready engine serves", serves)
	f.put("op", "evacuate/dc-1", object{})
	eventually(t, "an engine of a data centre that is taken out gets no requests", func() bool { return !serves() })
	f.store.RemoveRow("op", "", "evacuate/dc-1")
	eventually(t, "an engine of a data centre that is back in service serves", serves)
}

// TestInvalidEngineRowsAreIgnored guards against a row of table servers that cannot be
// decoded, or has an unknown state, and that stops a daemon or gets requests.
func TestInvalidEngineRowsAreIgnored(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", stream)
	f.put("servers", "i-2", object{"service": 7})
	f.put("servers", "i-3", "text")
	f.put("servers", "i-4", object{"service": "svc", "address": e.address, "zone": "dc-1", "slots": 8, "state": "odd"})
	d := f.start("entry-1")
	for range 20 {
		if got := d.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	for n := range e.count() {
		if id := e.request(n).Header.Get("Expect-Instance"); id != "i-1" {
			t.Errorf("request was sent to engine %q, want i-1", id)
		}
	}
}

// TestKeyIsNotAcceptedAfterGraceWithoutStore guards against a withdrawn key that stays
// valid at a daemon that cannot reach the store. The daemon cannot know of the
// withdrawal, so it must reject all requests once its configuration is older than
// WithdrawnKeyGrace.
func TestKeyIsNotAcceptedAfterGraceWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.keyGrace = 2 * time.Second
	e := f.startEngine("i-1", stream)
	d := f.start("entry-1")
	send := func() int { return d.send(t.Context(), t, request{path: "/once/a", key: key}).status }
	if send() != http.StatusOK {
		t.Fatal("request was not served before the change")
	}
	f.store.SetFaults(standin.Faults{Outage: true})
	withdrawn := time.Now()
	for time.Since(withdrawn) < 3*time.Second {
		before := e.count()
		sent := time.Since(withdrawn)
		status := send()
		if sent > f.keyGrace && e.count() != before {
			t.Fatalf("request sent %v after the start of the outage ran", sent)
		}
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("status %d without the store, want 200 or 503", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.store.SetFaults(standin.Faults{})
	eventually(t, "requests are served again", func() bool { return send() == http.StatusOK })
	f.config["tenants"].([]object)[0]["apiKeys"] = []string{"key-b"}
	f.publish()
	eventually(t, "the withdrawn key is rejected", func() bool { return send() == http.StatusUnauthorized })
}

// TestRateHoldsOverAllDaemons guards against a rate that each daemon applies on its own,
// so that three daemons admit three times the rate.
func TestRateHoldsOverAllDaemons(t *testing.T) {
	f := newFleet(t)
	f.config["tenants"].([]object)[0]["ratePerS"] = 20
	f.config["tenants"].([]object)[0]["burst"] = 10
	f.publish()
	e := f.startEngine("i-1", stream)
	daemons := []*entry{f.start("entry-1"), f.start("entry-2"), f.start("entry-3")}
	start := time.Now()
	const length = 2500 * time.Millisecond
	for time.Since(start) < length {
		for _, d := range daemons {
			d.send(t.Context(), t, request{path: "/once/a", key: key})
		}
	}
	allowed := (20*length.Seconds()+10)*1.1 + 20
	if ran := float64(e.count()); ran > allowed || ran < 0.6*(20*length.Seconds()) {
		t.Errorf("%v requests ran in %v, want at most %v and at least 60%% of the rate", ran, length, allowed)
	}
}

// TestShutdownCutsNoRequest guards against requests that are cut when their daemon shuts
// down, or are rejected because they arrive when the daemon is already draining.
func TestShutdownCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.eventCount, 150*time.Millisecond)
	})
	d := f.start("entry-1")
	replies := make(chan reply, 8)
	for range cap(replies) {
		go func() { replies <- d.send(t.Context(), t, request{path: "/once/a", key: key}) }()
	}
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- d.process.Stop(t.Context()) }()
	eventually(t, "the daemon is no longer ready", func() bool { return !d.ready() })
	if got := d.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK || got.err != nil {
		t.Errorf("a request that reached the draining daemon was answered %d %v, want 200", got.status, got.err)
	}
	for range cap(replies) {
		if got := <-replies; got.status != http.StatusOK || got.err != nil {
			t.Errorf("a running request was cut: status %d, %v", got.status, got.err)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	d.stopped = true
}

// TestFailingEngineIsAvoided guards against an engine that keeps getting requests
// although it fails all of them: error responses that are passed on to the caller must
// count as evidence.
func TestFailingEngineIsAvoided(t *testing.T) {
	f := newFleet(t)
	bad := f.startEngine("i-1", func(_ *engine, w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	good := f.startEngine("i-2", stream)
	d := f.start("entry-1")
	for range 40 {
		d.send(t.Context(), t, request{path: "/once/a", key: key})
	}
	if n := bad.count(); n > 3 || good.count() < 30 {
		t.Errorf("an engine that fails every request received %d of 40 requests, the other one %d", n, good.count())
	}
}
