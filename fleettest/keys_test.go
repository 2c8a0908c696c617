package fleettest_test

import (
	"bytes"
	"context"
	"fmt"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/standin"
)

// streamEndBound is the time within which a running stream must end after the withdrawal
// of its key is in force.
const streamEndBound = time.Second

// withdrawKeys returns an edit of the configuration that withdraws all keys of the
// workspace.
func withdrawKeys(workspace string) func(fleet.State) (fleet.State, error) {
	return func(s fleet.State) (fleet.State, error) {
		for i := range s.Keys {
			if s.Keys[i].Workspace == workspace {
				s.Keys[i].WithdrawnAt = time.Now()
			}
		}
		return s, nil
	}
}

// TestWithdrawnKeyEndsRunningStreams guards against streams that outlive their key
// because the key is checked only when the request arrives. Streams of other keys must
// not end.
func TestWithdrawnKeyEndsRunningStreams(t *testing.T) {
	engineOptions := standin.DefaultEngineOptions
	engineOptions.PerToken = 50 * time.Millisecond
	f := fleettest.Start(t, fleettest.Options{
		Gateways: 2, EngineOptions: engineOptions, ColdSlots: 8,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: 1000, Burst: 1000}, {Name: "guild", Rate: 1000, Burst: 1000}},
	})
	long := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":80,"messages":[{"role":"user","content":"a"}]}`, fleettest.ModelName)
	type ended struct {
		workspace, body string
		at              time.Time
	}
	const streams = 4
	ends := make(chan ended, streams)
	for i := range streams {
		workspace := []string{"garrafon", "guild"}[i%2]
		go func() {
			_, body := f.Call(context.Background(), i/2, workspace, http.MethodPost, "/v1/chat/completions", long)
			ends <- ended{workspace, body, time.Now()}
		}()
	}
	f.Eventually("all streams run", func() bool { return f.Engines[0].Running() == streams })
	f.WaitVersion(f.Apply(withdrawKeys("guild")))
	inForce := time.Now()
	for range streams {
		e := <-ends
		whole := fleettest.IsCompleteStream(e.body)
		switch {
		case e.workspace == "garrafon" && !whole:
			t.Errorf("a stream of a valid key ended early: %q", e.body)
		case e.workspace == "guild" && (whole || !strings.Contains(e.body, "key_withdrawn")):
			t.Errorf("the stream of the withdrawn key ended with %q, want the error key_withdrawn", e.body[max(0, len(e.body)-200):])
		case e.workspace == "guild" && e.at.Sub(inForce) > streamEndBound:
			t.Errorf("the stream ended %s after the withdrawal was in force", e.at.Sub(inForce))
		}
	}
	if status, body := f.Chat(context.Background(), 0, "guild", "a", false); status != http.StatusUnauthorized {
		t.Errorf("a new request with the withdrawn key was answered %d %s, want 401", status, body)
	}
}

// TestBatchFileWithKeyIsRejected guards against API keys that reach an engine through a
// batch file. The upload contains the caller's key as it is and as a JSON escape.
func TestBatchFileWithKeyIsRejected(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{})
	key := f.Keys["garrafon"]
	for _, content := range []string{key, `\u006b` + key[1:], "harmless"} {
		var form bytes.Buffer
		w := multipart.NewWriter(&form)
		part, err := w.CreateFormFile("file", "items.jsonl")
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(part, "{\"custom_id\":%q}\n", content)
		w.Close()
		req, err := http.NewRequest(http.MethodPost, f.URL(0)+"/v1/files", &form)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", w.FormDataContentType())
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if refused := resp.StatusCode == http.StatusBadRequest; refused != (content != "harmless") {
			t.Errorf("upload of a file with %q was answered with status %d", content, resp.StatusCode)
		}
	}
}

// TestRequestsWithKeyOutsideHeaderAreRejected guards against API keys that reach an
// upstream in a part of the request that is passed on. The caller's own key is sent in
// the body, the path, the query and the method, as it is and encoded.
func TestRequestsWithKeyOutsideHeaderAreRejected(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Services: 1})
	key := f.Keys["garrafon"]
	encoded := "%6B" + key[1:]
	escaped := `\u006b` + key[1:]
	chat := `{"model":"` + fleettest.ModelName + `","messages":[{"role":"user","content":"%s"}]}`
	requests := []struct{ method, path, body string }{
		{http.MethodPost, "/v1/chat/completions", strings.Replace(chat, "%s", key, 1)},
		{http.MethodPost, "/v1/chat/completions", strings.Replace(chat, "%s", escaped, 1)},
		{http.MethodGet, fleettest.ServicePathPrefix + "/" + key, ""},
		{http.MethodGet, fleettest.ServicePathPrefix + "/" + encoded, ""},
		{http.MethodGet, fleettest.ServicePathPrefix + "/1?k=" + key, ""},
		{http.MethodGet, fleettest.ServicePathPrefix + "/1?k=" + encoded, ""},
		{key, fleettest.ServicePathPrefix + "/1", ""},
		{http.MethodPost, fleettest.ServicePathPrefix + "/1", `{"k":"` + escaped + `"}`},
	}
	for _, r := range requests {
		status, body := f.Call(context.Background(), 0, "garrafon", r.method, r.path, r.body)
		if status != http.StatusBadRequest {
			t.Errorf("%s %s %s was answered %d %s, want 400", r.method, r.path, r.body, status, body)
		}
	}
	if n := len(f.Engines[0].ReceivedRequests()) + len(f.Services[0].ReceivedRequests()); n != 0 {
		t.Errorf("%d of the requests reached an upstream", n)
	}
	if status, body := f.Call(context.Background(), 0, "garrafon", http.MethodGet, fleettest.ServicePathPrefix+"/1?a=100%25", ""); status != http.StatusOK {
		t.Errorf("a request without a key in its path was answered %d %s, want 200", status, body)
	}
	for _, request := range f.Services[0].ReceivedRequests() {
		if request.HasCredential {
			t.Errorf("service received request %s with an API key", request.ID)
		}
	}
}
