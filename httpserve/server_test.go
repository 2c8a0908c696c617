package httpserve_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/loopback"
)

// listen starts a server whose handler serves the path /route by a route and every other
// path without one. The server is closed at the end of the test.
func listen(t testing.TB, handler http.HandlerFunc, opts httpserve.Options) *httpserve.Server {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	opts.NotFound = handler
	routes := []rest.Route{{Method: http.MethodGet, Path: "/route", Handler: handler}}
	server, err := httpserve.Listen(address, routes, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// get requests the path and returns the status, or 0 without a response, the body, and the
// error of the request or of reading the body.
func get(t *testing.T, server *httpserve.Server, path string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// paths are served by a route and without one.
var paths = []string{"/route", "/other"}

// TestAbortedResponseLooksBroken guards against a response that its handler gave up midway
// and that reaches the caller as a complete one.
func TestAbortedResponseLooksBroken(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, httpserve.Options{})
	for _, path := range paths {
		if status, body, err := get(t, server, path); err == nil {
			t.Errorf("%s: the response looks complete: %d %q", path, status, body)
		}
	}
}

// TestPanicIsAnswered guards against a handler's panic that ends the connection without an
// answer, or that completes a response that had begun.
func TestPanicIsAnswered(t *testing.T) {
	for name, begins := range map[string]bool{"before the response": false, "within the response": true} {
		server := listen(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			if begins {
				_, _ = io.WriteString(w, "a part")
				_ = http.NewResponseController(w).Flush()
			}
			panic("of a handler")
		}, httpserve.Options{})
		for _, path := range paths {
			status, body, err := get(t, server, path)
			if answered := status == http.StatusInternalServerError && body == "" && err == nil; answered == begins || begins && err == nil {
				t.Errorf("%s, %s: got %d %q %v", name, path, status, body, err)
			}
		}
	}
}

// TestHandlerCanDropItsConnection guards against a handler that cannot take over its
// connection, so that a response which it means to lose reaches the caller.
func TestHandlerCanDropItsConnection(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		conn.Close()
	}, httpserve.Options{})
	for _, path := range paths {
		if status, body, err := get(t, server, path); err == nil || status != 0 {
			t.Errorf("%s: got %d %q, want no response", path, status, body)
		}
	}
}
