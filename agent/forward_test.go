package agent

import (
	"bufio"
	"context"
	"fmt"
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

// rawUpstream answers every request with the bytes and closes the connection.
func rawUpstream(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprint(conn, answer)
			}
			conn.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// answerText returns an HTTP answer. A length below 0 sends no Content-Length.
func answerText(status int, length int, headers, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if length >= 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + headers + "Connection: close\r\n\r\n" + body
}

func TestOnlyWholeAnswersOfTheRequestSucceed(t *testing.T) {
	const event = "data: {\"text\":\"hi\"}\n\n"
	const end = "data: [DONE]\n\n"
	for _, c := range []struct {
		name   string
		answer string
		stream bool
		want   result.Code // 0 for success
	}{
		{"whole", answerText(200, 2, "", "{}"), false, 0},
		{"own identity", answerText(200, 2, "X-Request-Id: request-1\r\n", "{}"), false, 0},
		{"other identity", answerText(200, 2, "X-Request-Id: request-2\r\n", "{}"), false, result.UpstreamFailed},
		{"short body", answerText(200, 50, "", `{"text":"h`), false, result.AnswerIncomplete},
		{"cut JSON of unknown length", answerText(200, -1, "", `{"text":"h`), false, result.AnswerIncomplete},
		{"no answer", "", false, result.OutcomeUnknown},
		{"cut header", "HTTP/1.1 200 OK\r\nContent-Le", false, result.OutcomeUnknown},
		{"refused as too much", answerText(503, 0, "", ""), false, result.UpstreamOverloaded},
		{"failure", answerText(500, 0, "", ""), false, result.UpstreamFailed},
		{"caller's fault", answerText(400, 2, "", "{}"), false, 0},
		{"whole stream", answerText(200, -1, "", event+end), true, 0},
		{"stream without its end", answerText(200, -1, "", event), true, result.AnswerIncomplete},
		{"stream cut in its end", answerText(200, -1, "", event+"data: [DO"), true, result.AnswerIncomplete},
		{"end quoted in a cut event", answerText(200, -1, "", event+`data: {"text":"data: [DONE]`), true, result.AnswerIncomplete},
		{"short stream", answerText(200, 500, "", event+end), true, result.AnswerIncomplete},
		{"stream of another request", answerText(200, -1, "X-Request-Id: request-2\r\n", event+end), true, result.UpstreamFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			up := &fleet.Upstream{Name: testUpstream, Kind: fleet.Engine, URL: rawUpstream(t, c.answer)}
			got, verdict := forwardOnce(t, up, c.stream)
			if got != c.want {
				t.Errorf("ended with %v, want %v", got, c.want)
			}
			if c.want != 0 && verdict == result.NotRun {
				t.Error("the request was sent, but the verdict is not run")
			}
		})
	}
}

func forwardOnce(t *testing.T, up *fleet.Upstream, stream bool) (result.Code, result.Verdict) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := &peer.RunRequest{ID: testRequestID, Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"), Stream: stream, Idempotent: true}
	_, err := newForwarder().run(ctx, up, req, func(peer.Chunk) error { return nil })
	if err == nil {
		return 0, result.Answered
	}
	e := result.From(err)
	return e.Code, e.Verdict
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func TestRefusedDialIsNotRun(t *testing.T) {
	up := &fleet.Upstream{Name: testUpstream, Kind: fleet.Engine, URL: "http://" + freeAddress(t)}
	code, verdict := forwardOnce(t, up, false)
	if code != result.UpstreamUnreachable || verdict != result.NotRun {
		t.Errorf("ended with %v, verdict %v", code, verdict)
	}
}

func TestProbeCountsAnyAnswerOfAServiceAsReady(t *testing.T) {
	notFound := rawUpstream(t, answerText(404, 0, "", ""))
	refused := "http://" + freeAddress(t)
	for _, c := range []struct {
		kind fleet.UpstreamKind
		url  string
		want fleet.UpstreamState
	}{
		{fleet.Service, notFound, fleet.Ready},
		{fleet.Legacy, notFound, fleet.Ready},
		{fleet.Engine, notFound, fleet.Down},
		{fleet.Service, refused, fleet.Down},
		{fleet.Legacy, refused, fleet.Down},
	} {
		up := &fleet.Upstream{Kind: c.kind, URL: c.url}
		if got := NewProber().Probe(context.Background(), up); got != c.want {
			t.Errorf("%s at %s is %s, want %s", c.kind, strings.TrimPrefix(c.url, "http://"), got, c.want)
		}
	}
}
