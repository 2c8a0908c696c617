package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/loopback"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

const testRequestID = "request-1"

// startRawUpstream starts a server that sends the given bytes in response to each
// request and closes the connection. It returns the server's URL.
func startRawUpstream(t *testing.T, response string) string {
	t.Helper()
	return startUpstream(t, func(conn *net.TCPConn, _ *http.Request) { fmt.Fprint(conn, response) })
}

// startUpstream starts a loopback.RawServer and returns its URL.
func startUpstream(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	server, err := loopback.NewRawServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

// rawResponse returns an HTTP response. A length below 0 omits the Content-Length header.
func rawResponse(status int, length int, headers, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if length >= 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + headers + "Connection: close\r\n\r\n" + body
}

func TestOnlyCompleteResponsesToTheRequestSucceed(t *testing.T) {
	const event = "data: {\"text\":\"hi\"}\n\n"
	const end = "data: [DONE]\n\n"
	for _, c := range []struct {
		name     string
		response string
		stream   bool
		want     result.Code // 0 for success
	}{
		{"complete", rawResponse(200, 2, "", "{}"), false, 0},
		{"same request ID", rawResponse(200, 2, "X-Request-Id: request-1\r\n", "{}"), false, 0},
		{"another request ID", rawResponse(200, 2, "X-Request-Id: request-2\r\n", "{}"), false, result.UpstreamFailed},
		{"body shorter than its length", rawResponse(200, 50, "", `{"text":"h`), false, result.AnswerIncomplete},
		{"truncated JSON of unknown length", rawResponse(200, -1, "", `{"text":"h`), false, result.AnswerIncomplete},
		{"no response", "", false, result.OutcomeUnknown},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", false, result.OutcomeUnknown},
		{"engine is overloaded", rawResponse(503, 0, "", ""), false, result.UpstreamOverloaded},
		{"server error", rawResponse(500, 0, "", ""), false, result.UpstreamFailed},
		{"client error", rawResponse(400, 2, "", "{}"), false, 0},
		{"complete stream", rawResponse(200, -1, "", event+end), true, 0},
		{"stream without its end event", rawResponse(200, -1, "", event), true, result.AnswerIncomplete},
		{"stream truncated in its end event", rawResponse(200, -1, "", event+"data: [DO"), true, result.AnswerIncomplete},
		{"end event quoted in a truncated event", rawResponse(200, -1, "", event+`data: {"text":"data: [DONE]`), true, result.AnswerIncomplete},
		{"stream shorter than its length", rawResponse(200, 500, "", event+end), true, result.AnswerIncomplete},
		{"stream of another request", rawResponse(200, -1, "X-Request-Id: request-2\r\n", event+end), true, result.UpstreamFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			up := &fleet.Upstream{Name: testUpstream, Kind: fleet.KindEngine, URL: startRawUpstream(t, c.response)}
			got, verdict := forwardOnce(t, up, c.stream)
			if got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if c.want != 0 && verdict == result.NotRun {
				t.Error("request was sent, but the verdict is not run")
			}
		})
	}
}

func forwardOnce(t *testing.T, up *fleet.Upstream, stream bool) (result.Code, result.Verdict) {
	t.Helper()
	return forwardBody(t, up, stream, []byte("{}"))
}

// forwardBody sends a request with the body and returns the code of its error, or 0, and the verdict.
func forwardBody(t *testing.T, up *fleet.Upstream, stream bool, body []byte) (result.Code, result.Verdict) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := &peer.RunRequest{ID: testRequestID, Method: http.MethodPost, Path: "/v1/completions", Body: body, Stream: stream, Idempotent: true}
	_, err := newForwarder().forward(ctx, up, req, func(peer.Chunk) error { return nil })
	if err == nil {
		return 0, result.Answered
	}
	e := result.FromError(err)
	return e.Code, e.Verdict
}

// TestTroubledAnswerOfAnUpstreamIsNoResponse guards against a part of a response that passes for the
// whole one because the upstream reset the connection while the request was written, and against a
// status that no response may have.
func TestTroubledAnswerOfAnUpstreamIsNoResponse(t *testing.T) {
	const tries = 10
	answers := map[string]func(conn *net.TCPConn, r *http.Request){
		"cut": func(conn *net.TCPConn, _ *http.Request) {
			loopback.CutAnswer(conn, rawResponse(200, -1, "", "part of an answer "), 10*time.Millisecond)
		},
		"cut stream": func(conn *net.TCPConn, _ *http.Request) {
			loopback.CutAnswer(conn, rawResponse(200, -1, "", "data: {}\n\ndata: [DONE]\n\n"), 10*time.Millisecond)
		},
	}
	for _, status := range []int{0, 99, 101, 600, 999} {
		answers[fmt.Sprintf("status %03d", status)] = func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, strings.Replace(rawResponse(200, 2, "", "{}"), "200", fmt.Sprintf("%03d", status), 1))
		}
	}
	for name, answer := range answers {
		up := &fleet.Upstream{Name: testUpstream, Kind: fleet.KindService, URL: startUpstream(t, answer)}
		for range tries {
			code, verdict := forwardBody(t, up, name == "cut stream", make([]byte, 4<<20))
			if code != result.AnswerIncomplete && code != result.OutcomeUnknown || verdict != result.MayHaveRun {
				t.Errorf("%s: got %v with verdict %v, want an incomplete or unknown outcome that may have run", name, code, verdict)
			}
		}
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func TestRefusedDialIsNotRun(t *testing.T) {
	up := &fleet.Upstream{Name: testUpstream, Kind: fleet.KindEngine, URL: "http://" + unusedAddress(t)}
	code, verdict := forwardOnce(t, up, false)
	if code != result.UpstreamUnreachable || verdict != result.NotRun {
		t.Errorf("got %v with verdict %v, want an unreachable upstream that was not run", code, verdict)
	}
}

func TestProbeTreatsAnyResponseOfServiceAsReady(t *testing.T) {
	notFound := startRawUpstream(t, rawResponse(404, 0, "", ""))
	refused := "http://" + unusedAddress(t)
	for _, c := range []struct {
		kind fleet.UpstreamKind
		url  string
		want fleet.UpstreamState
	}{
		{fleet.KindService, notFound, fleet.StateReady},
		{fleet.KindLegacy, notFound, fleet.StateReady},
		{fleet.KindEngine, notFound, fleet.StateDown},
		{fleet.KindService, refused, fleet.StateDown},
		{fleet.KindLegacy, refused, fleet.StateDown},
	} {
		up := &fleet.Upstream{Kind: c.kind, URL: c.url}
		if got := NewProber().Probe(context.Background(), up); got != c.want {
			t.Errorf("probe of %s at %s returned %s, want %s", c.kind, strings.TrimPrefix(c.url, "http://"), got, c.want)
		}
	}
}
