package hostiletest

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// sent counts the requests with an id.
var sent atomic.Int64

// keyed returns the head of a request with the key of the entry daemon's workspace, and the
// additional lines.
func keyed(path, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sRequest-Id: hostile-%d\r\nAuthorization: Token %s\r\n%s\r\n", path, hostLine, sent.Add(1), key, lines)
}

const chunked = "Transfer-Encoding: chunked\r\n"

// attackEntry runs the attack on the callers' address of an entry daemon, with the body of
// requests that carry its key.
func attackEntry(t *testing.T, n int, path, lines string, body func(net.Conn)) {
	t.Helper()
	p := startEntry(t)
	attack(t, p, p.callers, n, func(conn net.Conn) {
		if _, err := io.WriteString(conn, keyed(path, lines)); err == nil {
			body(conn)
		}
	})
}

// attackBodies runs the attack with requests without a key on all programs, and with the key on
// the entry daemon, which reads their bodies.
func attackBodies(t *testing.T, lines, rest string) {
	t.Helper()
	t.Run("keyed", func(t *testing.T) {
		attackEntry(t, group, "/once/a", lines, func(conn net.Conn) { repeat(conn, rest) })
	})
	attackHTTP(t, group, after("POST /v1/chat/completions HTTP/1.1\r\n"+hostLine+lines+"\r\n", rest))
}

// TestEndlessBody guards against a process that holds bodies without end.
func TestEndlessBody(t *testing.T) {
	attackBodies(t, "Content-Length: 9000000000000000000\r\n", "a")
}

// TestEndlessChunkedBody guards against a process that holds chunks without end.
func TestEndlessChunkedBody(t *testing.T) {
	attackBodies(t, chunked, "1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n")
}

// TestEndlessChunkExtension guards against a process that holds a chunk extension without end.
func TestEndlessChunkExtension(t *testing.T) { attackBodies(t, chunked+"X: y\r\n", "1;a") }

// TestManyChunkExtensions guards against a process that reads long extensions of tiny chunks.
func TestManyChunkExtensions(t *testing.T) {
	attackBodies(t, chunked, "1;"+strings.Repeat("a", 2000)+"\r\nb\r\n")
}

// TestEndlessTrailer guards against a process that holds a trailer without end.
func TestEndlessTrailer(t *testing.T) {
	attackEntry(t, group, "/once/a", chunked, after("0\r\n", "A: b\r\n"))
}

// TestChunkSizeOverflow guards against a chunk size that overflows and is taken for a small
// or negative one.
func TestChunkSizeOverflow(t *testing.T) {
	for _, size := range []string{"ffffffffffffffff", "7fffffffffffffff", "10000000000000000", "-1"} {
		t.Run(size, func(t *testing.T) { attackBodies(t, chunked, size+"\r\na") })
	}
}

// TestBodiesThatStop guards against a process whose room for bodies is held by callers that
// announce long bodies and send nothing of them.
func TestBodiesThatStop(t *testing.T) {
	attackEntry(t, crowd/2, "/once/a", "Content-Length: 1048576\r\n", func(conn net.Conn) { _, _ = io.WriteString(conn, "a") })
}

// TestLargestJobs guards against memory without bound while each caller submits a batch job of
// the largest size, with few and with very many items.
func TestLargestJobs(t *testing.T) {
	for name, c := range map[string]struct{ items, bodyBytes int }{"long items": {4000, 50}, "short items": {22000, 0}} {
		t.Run(name, func(t *testing.T) {
			var items []map[string]any
			for i := range c.items {
				items = append(items, map[string]any{"id": fmt.Sprint(i), "path": "/jobs/a", "body": strings.Repeat("YWFh", c.bodyBytes)})
			}
			body, err := json.Marshal(map[string]any{"items": items})
			if err != nil || len(body) > 1<<20 {
				t.Fatalf("body of %d bytes, %v", len(body), err)
			}
			p := startEntry(t)
			attack(t, p, p.callers, group, func(conn net.Conn) {
				path := fmt.Sprintf("/jobs/%d", sent.Add(1))
				_, _ = io.WriteString(conn, keyed(path, fmt.Sprintf("Content-Length: %d\r\n", len(body))))
				_, _ = conn.Write(body)
				_, _ = conn.Read(make([]byte, 64))
			})
		})
	}
}

// TestAnswersThatNobodyReads guards against memory and engine connections without bound for
// callers that do not read a long answer, as a stream or as a whole.
func TestAnswersThatNobodyReads(t *testing.T) {
	for _, kind := range []string{"long", "whole"} {
		t.Run(kind, func(t *testing.T) {
			p := startEntry(t)
			attack(t, p, p.callers, crowd/2, func(conn net.Conn) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = io.WriteString(conn, keyed("/once/"+kind, "Content-Length: 0\r\n"))
			})
		})
	}
}
