package prooftest_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/history"
)

const (
	// openPrefix is the path prefix of the route that needs no API key.
	openPrefix = "/open"
	// withdrawalBound is the longest time from the acceptance of a key's withdrawal
	// until all gateways reject requests with the key.
	withdrawalBound = 3 * time.Second
)

// startKeyFleet starts a fleet in this process with two workspaces, a route that needs an
// API key and a route that does not. Workspace guild may not use fleettest.ModelName.
func startKeyFleet(t *testing.T) *fleettest.Fleet {
	t.Helper()
	return fleettest.Start(t, fleettest.Options{
		Gateways: 2, Engines: 1, Services: 1,
		Workspaces: []fleet.Workspace{
			{Name: "garrafon", Rate: 10000, Burst: 10000},
			{Name: "guild", Rate: 10000, Burst: 10000, Models: []string{"another-model"}},
		},
		EditInventory: func(inv *fleet.Inventory) {
			inv.Models = append(inv.Models, fleet.Model{Name: "another-model"})
			open := inv.Routes[0]
			open.Name, open.Prefix, open.Open = "open", openPrefix, true
			inv.Routes = append(inv.Routes, open)
		},
	})
}

// keyRequest is a raw request. If wantError is set, it must be rejected with the error of
// that name before it reaches an upstream.
type keyRequest struct {
	name, method, path, body string
	header                   http.Header
	wantError                string
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// disallowedRequests returns requests that must be rejected: with no key or a wrong key,
// with a key in a place from which an upstream could read it, or with a path that leaves
// the prefix of the open route.
func disallowedRequests(f *fleettest.Fleet) []keyRequest {
	own, other := f.Keys["garrafon"], f.Keys["guild"]
	chat := `{"model":"` + fleettest.ModelName + `","messages":[{"role":"user","content":"hello"}]}`
	leak := `{"model":"` + fleettest.ModelName + `","messages":[{"role":"user","content":"` + own + `"}]}`
	const chatPath, orderPath = "/v1/chat/completions", fleettest.ServicePathPrefix + "/new"
	return []keyRequest{
		{"no key", http.MethodPost, chatPath, chat, nil, "key_missing"},
		{"no key on a keyed route", http.MethodPost, orderPath, "a", nil, "key_missing"},
		{"unknown key", http.MethodPost, chatPath, chat, bearer("unknown"), "key_unknown"},
		{"unknown key on a keyed route", http.MethodPost, orderPath, "a", bearer("unknown"), "key_unknown"},
		{"key of another workspace", http.MethodPost, chatPath, chat, bearer(other), "model_not_allowed"},
		{"operators' key", http.MethodPost, chatPath, chat, bearer(fleettest.AdminKey), "key_unknown"},
		{"two keys", http.MethodPost, orderPath, "a", http.Header{"Authorization": {"Bearer " + own}, "X-Api-Key": {other}}, "repeated_header"},
		{"repeated key", http.MethodPost, orderPath, "a", http.Header{"Authorization": {"Bearer " + own, "Bearer " + other}}, "repeated_header"},
		{"key in the body", http.MethodPost, chatPath, leak, bearer(own), "bad_request"},
		{"key in the query", http.MethodPost, orderPath + "?key=" + own, "a", bearer(own), "bad_request"},
		{"escaped key in the query", http.MethodPost, orderPath + "?key=%6bey-of-garrafon", "a", bearer(own), "bad_request"},
		{"escaped key in the path", http.MethodPost, fleettest.ServicePathPrefix + "/%6bey-of-garrafon", "a", bearer(own), "bad_request"},
		{"key in the body of an open route", http.MethodPost, openPrefix + "/a", own, bearer(own), "bad_request"},
		{"path out of an open route", http.MethodPost, openPrefix + "/../orders/new", "a", nil, "bad_request"},
		{"escaped path out of an open route", http.MethodPost, openPrefix + "/%2e%2e%2forders/new", "a", nil, "bad_request"},
	}
}

// sendKeyRequest sends the request to the gateway at url and returns the status and body of
// the response. It does not follow redirects.
func sendKeyRequest(t *testing.T, url string, a keyRequest) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), a.method, url+a.path, strings.NewReader(a.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range a.header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// TestDisallowedRequestsAreRejected guards against requests that run without a key that
// allows them, and against keys that reach an upstream. Each disallowed request must be
// rejected as not run and must not arrive at an upstream. Requests to the open route must
// be answered with and without a key.
func TestDisallowedRequestsAreRejected(t *testing.T) {
	f := startKeyFleet(t)
	for _, a := range disallowedRequests(f) {
		status, body := sendKeyRequest(t, f.URL(0), a)
		if status < http.StatusBadRequest {
			t.Errorf("%s: got status %d and body %s, want an error", a.name, status, body)
		}
		if !strings.Contains(body, `"`+a.wantError+`"`) || !strings.Contains(body, `"not_run":true`) {
			t.Errorf("%s: rejected with %s, want error %s with not_run", a.name, body, a.wantError)
		}
	}
	for _, arrived := range arrivals(t, &f.Inventory) {
		t.Errorf("request %q reached %s", arrived.Token, arrived.Upstream)
	}
	open := keyRequest{method: http.MethodPost, path: openPrefix + "/a", body: "open-call"}
	if status, body := sendKeyRequest(t, f.URL(0), open); status != http.StatusOK || !strings.Contains(body, "open-call") {
		t.Errorf("open route without a key: got status %d and body %s", status, body)
	}
	open.header = bearer(f.Keys["garrafon"])
	if status, body := sendKeyRequest(t, f.URL(0), open); status != http.StatusOK {
		t.Errorf("open route with a key: got status %d and body %s", status, body)
	}
	checkGuarantee(t, "no key at upstreams", history.CheckNoCredential(arrivals(t, &f.Inventory), []string{f.Keys["garrafon"], f.Keys["guild"]}))
}

// TestFilesBelongToTheirWorkspace guards against a key that gives access to the files or
// jobs of another workspace.
func TestFilesBelongToTheirWorkspace(t *testing.T) {
	f := startKeyFleet(t)
	owner := batchClient{url: f.URL(0), key: f.Keys["garrafon"]}
	other := batchClient{url: f.URL(1), key: f.Keys["guild"]}
	_, lines := batchItems(fleettest.ModelName, 2, 2)
	file, err := owner.upload(t.Context(), lines)
	if err != nil {
		t.Fatal(err)
	}
	job, err := owner.create(t.Context(), file, "owned")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.results(t.Context(), file); err == nil {
		t.Error("another workspace read the file")
	}
	if _, err := other.get(t.Context(), job.ID); err == nil {
		t.Error("another workspace read the job")
	}
	if _, err := other.create(t.Context(), file, "owned"); err == nil {
		t.Error("another workspace created a job for the file")
	}
}

// TestWithdrawnKeyStopsWorking guards against gateways that admit a withdrawn key for
// longer than withdrawalBound. It withdraws a key while callers send requests with it to
// every gateway. Requests with another key must not be affected.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	f := startKeyFleet(t)
	var withdrawn, kept history.Recorder
	groups := []*callerGroup{
		startCallers(t.Context(), inProcessCallers(f, "garrafon", &withdrawn), nonIdempotentCall, callInterval),
		startCallers(t.Context(), inProcessCallers(f, "guild", &kept), nonIdempotentCall, callInterval),
	}
	time.Sleep(faultPause)
	var applied gateway.ApplyResponse
	request := gateway.KeyRequest{ChangeMetadata: gateway.ChangeMetadata{Operation: "withdraw", Author: "test"}, ID: "id-garrafon"}
	if err := f.Client(0).Post(t.Context(), "/admin/keys/withdraw", request, &applied); err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	time.Sleep(withdrawalBound + warmUpDuration)
	for _, g := range groups {
		g.stopAndWait()
	}
	tokens := make(map[string]bool)
	for _, c := range withdrawn.Calls() {
		tokens[c.Token] = true
	}
	ofKey := func(a history.Arrival) bool { return tokens[a.Token] }
	late := func(c history.Call) bool { return c.Sent.After(accepted.Add(withdrawalBound)) }
	checkGuarantee(t, "a withdrawn key stops working", history.CheckNoWorkAfter(arrivals(t, &f.Inventory), accepted, withdrawalBound, ofKey))
	checkGuarantee(t, "a withdrawn key is rejected", history.CheckRejected(withdrawn.Calls(), late))
	t.Logf("withdrawn key: %s; other key: %s", withdrawn.Summary(), kept.Summary())
	if kept.Count(history.Answered) != len(kept.Calls()) {
		t.Error("some requests with the other key were not answered")
	}
}

// inProcessCallers returns one caller of the workspace for each gateway of a fleet in this
// process. The tokens that startCallers gives them begin with the name of the workspace.
func inProcessCallers(f *fleettest.Fleet, workspace string, recorder *history.Recorder) []*caller {
	var list []*caller
	for i := range f.Inventory.Gateways {
		list = append(list, &caller{
			url: f.URL(i), model: fleettest.ModelName, routePrefix: fleettest.ServicePathPrefix,
			workspace: workspace, key: f.Keys[workspace], recorder: recorder,
		})
	}
	return list
}
