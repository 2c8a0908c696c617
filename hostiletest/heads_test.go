package hostiletest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

const (
	requestLine = "GET /healthz HTTP/1.1\r\n"
	hostLine    = "Host: " + host + "\r\n"
	// stoppedHead is the size of a head that stops before its end, below all limits.
	stoppedHead = 15 << 10
)

// repeat writes the text until the connection is closed or its deadline is over.
func repeat(conn net.Conn, text string) {
	data := []byte(strings.Repeat(text, 1+4096/len(text)))
	for {
		if _, err := conn.Write(data); err != nil {
			return
		}
	}
}

// after returns a caller that sends first, and then rest without end.
func after(first, rest string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, first); err == nil {
			repeat(conn, rest)
		}
	}
}

// TestEndlessRequestLine guards against a process that holds a request line without end.
func TestEndlessRequestLine(t *testing.T) { attackHTTP(t, group, after("GET /", "a")) }

// TestEndlessHeaders guards against a process that holds headers without end.
func TestEndlessHeaders(t *testing.T) { attackHTTP(t, group, after(requestLine+hostLine, "A: b\r\n")) }

// TestEndlessHeaderValue guards against a process that holds a header value without end.
func TestEndlessHeaderValue(t *testing.T) {
	attackHTTP(t, group, after(requestLine+hostLine+"A: ", "b"))
}

// TestEndlessEmptyLines guards against a process that reads empty lines without end where a
// request should begin, also on a connection that is kept.
func TestEndlessEmptyLines(t *testing.T) {
	whole := requestLine + hostLine + "\r\n"
	for name, first := range map[string]string{"first": "", "kept": whole, "post": "POST /healthz HTTP/1.1\r\n" + hostLine + "Content-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) { attackHTTP(t, group, after(first, "\r\n")) })
	}
}

// TestStoppedHeads guards against memory and descriptors without bound for many heads that
// stop before their end.
func TestStoppedHeads(t *testing.T) {
	head := requestLine + hostLine + "A: " + strings.Repeat("b", stoppedHead)
	attackHTTP(t, crowd, func(conn net.Conn) { _, _ = io.WriteString(conn, head) })
}

// TestSilentConnections guards against descriptors without bound for connections that send
// nothing.
func TestSilentConnections(t *testing.T) { attackHTTP(t, crowd, func(net.Conn) {}) }

// TestIdleConnections guards against descriptors without bound for connections that are kept
// after a request.
func TestIdleConnections(t *testing.T) {
	attackHTTP(t, crowd, func(conn net.Conn) {
		_, _ = io.WriteString(conn, requestLine+hostLine+"\r\n")
		_, _ = conn.Read(make([]byte, 64))
	})
}

// TestPipelinedRequestsWithoutReading guards against a process that holds the answers to
// requests whose caller does not read.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	for _, path := range []string{"/healthz", "/metrics"} {
		t.Run(path[1:], func(t *testing.T) {
			attackHTTP(t, crowd, func(conn net.Conn) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				repeat(conn, fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", path, hostLine))
			})
		})
	}
}
