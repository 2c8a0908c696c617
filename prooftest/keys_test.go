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
	openPrefix = "/open"
	// withdrawalBound is the longest time from the acceptance of a withdrawal
	// until the key admits no request anywhere.
	withdrawalBound = 3 * time.Second
)

// startKeyFleet is a fleet with two workspaces, a keyed route and an open route.
func startKeyFleet(t *testing.T) *fleettest.Fleet {
	t.Helper()
	return fleettest.Start(t, fleettest.Options{
		Gateways: 2, Engines: 1, Services: 1,
		Workspaces: []fleet.Workspace{
			{Name: "garrafon", Rate: 10000, Burst: 10000},
			{Name: "guild", Rate: 10000, Burst: 10000, Models: []string{"another-model"}},
		},
		Edit: func(inv *fleet.Inventory) {
			inv.Models = append(inv.Models, fleet.Model{Name: "another-model"})
			open := inv.Routes[0]
			open.Name, open.Prefix, open.Open = "open", openPrefix, true
			inv.Routes = append(inv.Routes, open)
		},
	})
}

// keyRequest is a request that must be refused before it reaches an upstream.
type keyRequest struct {
	name, method, path, body string
	header                   http.Header
	wantError                string
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

func disallowedRequests(f *fleettest.Fleet) []keyRequest {
	own, other := f.Keys["garrafon"], f.Keys["guild"]
	chat := `{"model":"` + fleettest.Model + `","messages":[{"role":"user","content":"hello"}]}`
	leak := `{"model":"` + fleettest.Model + `","messages":[{"role":"user","content":"` + own + `"}]}`
	const chatPath, orderPath = "/v1/chat/completions", fleettest.RoutePrefix + "/new"
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
		{"escaped key in the path", http.MethodPost, fleettest.RoutePrefix + "/%6bey-of-garrafon", "a", bearer(own), "bad_request"},
		{"key in the body of an open route", http.MethodPost, openPrefix + "/a", own, bearer(own), "bad_request"},
		{"path out of an open route", http.MethodPost, openPrefix + "/../orders/new", "a", nil, "bad_request"},
		{"escaped path out of an open route", http.MethodPost, openPrefix + "/%2e%2e%2forders/new", "a", nil, "bad_request"},
	}
}

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

// TestDisallowedRequestsAreRejected sends requests that no workspace's key allows.
// Each must be refused as not run, and nothing may reach an upstream.
func TestDisallowedRequestsAreRejected(t *testing.T) {
	f := startKeyFleet(t)
	for _, a := range disallowedRequests(f) {
		status, body := sendKeyRequest(t, f.URL(0), a)
		if status < http.StatusBadRequest {
			t.Errorf("%s: answered with %d %s", a.name, status, body)
		}
		if !strings.Contains(body, `"`+a.wantError+`"`) || !strings.Contains(body, `"not_run":true`) {
			t.Errorf("%s: refused with %s, not %s", a.name, body, a.wantError)
		}
	}
	for _, arrived := range arrivals(t, &f.Inventory) {
		t.Errorf("request %q reached %s", arrived.Token, arrived.Upstream)
	}
	open := keyRequest{method: http.MethodPost, path: openPrefix + "/a", body: "open-call"}
	if status, body := sendKeyRequest(t, f.URL(0), open); status != http.StatusOK || !strings.Contains(body, "open-call") {
		t.Errorf("the open route answered with %d %s", status, body)
	}
	open.header = bearer(f.Keys["garrafon"])
	if status, body := sendKeyRequest(t, f.URL(0), open); status != http.StatusOK {
		t.Errorf("the open route answered a caller with a key with %d %s", status, body)
	}
	checkGuarantee(t, "no key at upstreams", history.CheckNoCredential(arrivals(t, &f.Inventory), []string{f.Keys["garrafon"], f.Keys["guild"]}))
}

// TestFilesBelongToTheirWorkspace reads a workspace's file and job with the key
// of another workspace.
func TestFilesBelongToTheirWorkspace(t *testing.T) {
	f := startKeyFleet(t)
	owner := batchClient{url: f.URL(0), key: f.Keys["garrafon"]}
	other := batchClient{url: f.URL(1), key: f.Keys["guild"]}
	_, lines := batchItems(fleettest.Model, 2, 2)
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
		t.Error("another workspace made a job of the file")
	}
}

// TestWithdrawnKeyStopsWorking withdraws a key while its callers send requests
// at every gateway.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	f := startKeyFleet(t)
	var withdrawn, kept history.Recorder
	groups := []*callerGroup{
		startCallers(t.Context(), inProcessCallers(f, "garrafon", &withdrawn), nonIdempotentCall, callInterval),
		startCallers(t.Context(), inProcessCallers(f, "guild", &kept), nonIdempotentCall, callInterval),
	}
	time.Sleep(faultPause)
	var applied gateway.ApplyResponse
	request := gateway.KeyRequest{Edit: gateway.Edit{Operation: "withdraw", Author: "test"}, ID: "id-garrafon"}
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
	checkGuarantee(t, "a withdrawn key is refused", history.CheckRejected(withdrawn.Calls(), late))
	t.Logf("withdrawn key: %s; other key: %s", withdrawn.Summary(), kept.Summary())
	if kept.Count(history.Answered) != len(kept.Calls()) {
		t.Error("requests of the other key were refused")
	}
}

// inProcessCallers returns a caller of the workspace at every gateway. Their
// tokens begin with the workspace's name.
func inProcessCallers(f *fleettest.Fleet, workspace string, record *history.Recorder) []*caller {
	var list []*caller
	for i := range f.Inventory.Gateways {
		list = append(list, &caller{
			url: f.URL(i), model: fleettest.Model, routePrefix: fleettest.RoutePrefix,
			workspace: workspace, key: f.Keys[workspace], recorder: record,
		})
	}
	return list
}
