package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleettest"
)

// sendRaw sends text to the first gateway on a new connection and returns everything that
// it receives until the gateway closes the connection.
func sendRaw(t *testing.T, f *fleettest.Fleet, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", f.Inventory.Gateways[0].HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("read response: %v after %q", err, answer)
	}
	return string(answer)
}

// TestBadHeadersAndSlowBody checks that requests with missing, repeated or contradicting
// headers, or with a body that never arrives, are rejected with their own result codes
// and do not run, and that the gateway serves other requests afterwards.
func TestBadHeadersAndSlowBody(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{})
	head := func(headers ...string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
	}
	key := "Authorization: Bearer " + f.Keys["garrafon"]
	for _, c := range []struct{ name, request, want string }{
		{"slow body", head(key, "Content-Type: application/json", "Content-Length: 100") + "{", `"code":1007`},
		{"repeated key", head(key, key, "Content-Type: application/json", "Content-Length: 2") + "{}", `"code":1008`},
		{"two kinds of key", head(key, "X-Api-Key: x", "Content-Type: application/json", "Content-Length: 2") + "{}", `"code":1008`},
		{"no key", head("Content-Type: application/json", "Content-Length: 17") + `{"model":"a-b-c"}`, `"code":2001`},
		{"wrong content type", head(key, "Content-Type: text/plain", "Content-Length: 2") + "{}", `"code":1005`},
		{"no content type", head(key, "Content-Length: 2") + "{}", `"code":1005`},
	} {
		if got := sendRaw(t, f, c.request); !strings.Contains(got, c.want) || !strings.Contains(got, `"not_run":true`) {
			t.Errorf("%s: %s", c.name, got)
		}
	}
	if status, body := f.Chat(context.Background(), 0, "garrafon", "still serving", false); status != http.StatusOK {
		t.Errorf("a valid request afterwards: %d %s", status, body)
	}
}

// TestEngineStopsWhenCallerDisconnects checks that a streamed request stops running on
// the engine once its caller disconnects.
func TestEngineStopsWhenCallerDisconnects(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":60000,"messages":[{"role":"user","content":"long"}]}`, fleettest.ModelName)
		f.Call(ctx, 0, "garrafon", http.MethodPost, "/v1/chat/completions", body)
	}()
	f.Eventually("the stream runs", func() bool { return f.Engines[0].Running() == 1 })
	cancel()
	<-ended
	f.Eventually("the engine is free", func() bool { return f.Engines[0].Running() == 0 })
}
