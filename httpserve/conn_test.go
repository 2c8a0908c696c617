package httpserve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/httpserve"
)

// caller is a connection of a test to a server.
type caller struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func dial(t testing.TB, server *httpserve.Server) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

// isServed sends the parts with the pause between them and reports whether a response comes.
func (c *caller) isServed(pause time.Duration, parts ...string) bool {
	c.t.Helper()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return false
		}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return err == nil
}

// TestTimeoutsFollowTheConfiguration guards against connections that are closed, without an
// answer to the next request, although the current configuration lets callers keep them idle,
// or take their time for a header, for longer.
func TestTimeoutsFollowTheConfiguration(t *testing.T) {
	const base, pause, long = 100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond
	ends, _, count := newEndLog(t)
	var timeouts atomic.Pointer[httpserve.Timeouts]
	timeouts.Store(new(httpserve.Timeouts))
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, httpserve.Options{
		ReadHeaderTimeout: base, IdleTimeout: base, Ends: ends, Timeouts: func() httpserve.Timeouts { return *timeouts.Load() },
	})
	const first, rest = "GET /other HTTP/1.1\r\n", "Host: h\r\n\r\n"
	const request = first + rest
	if c := dial(t, server); c.isServed(pause, first, rest) {
		t.Error("without limits of the configuration, a header may take longer than the server's own limit")
	}
	if n := count()["header_timeout"]; n != 1 {
		t.Errorf("%d headers that came late were counted, want 1", n)
	}
	if c := dial(t, server); !c.isServed(0, request) || func() bool { time.Sleep(pause); return c.isServed(0, request) }() {
		t.Error("without limits of the configuration, a connection may be idle longer than the server's own limit")
	}
	idle, header, silent := dial(t, server), dial(t, server), dial(t, server)
	if !idle.isServed(0, request) {
		t.Fatal("request was not served")
	}
	fmt.Fprint(header, first)
	timeouts.Store(&httpserve.Timeouts{Header: long, Idle: long}) // while all three wait
	time.Sleep(pause)
	for name, ok := range map[string]bool{
		"idle": idle.isServed(0, request), "within a header": header.isServed(0, rest), "without a byte": silent.isServed(0, request),
	} {
		if !ok {
			t.Errorf("a connection that was %s when the limits grew was closed", name)
		}
	}
	if !idle.isServed(pause, first, rest) {
		t.Error("the header of a further request was not awaited as long as the configuration says")
	}
	time.Sleep(long + base)
	if idle.isServed(0, request) {
		t.Error("a connection stays open beyond the limit of the configuration")
	}
}
