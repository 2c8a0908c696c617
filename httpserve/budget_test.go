package httpserve_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/httpserve"
)

// newPool returns a pool of eight connections in a process with 8 MiB.
func newPool(unread time.Duration) *budget.Pool {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return budget.New(budget.Limits{MemoryBytes: 8 << 20, Descriptors: 8, UnreadTimeout: unread}, prometheus.NewRegistry(), logger).NewPool(1)
}

// empty waits until the budget of the pool is empty and reports whether it is.
func empty(p *budget.Pool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.Budget().Bytes() == 0 && p.Budget().Connections() == 0 {
			return true
		}
	}
	return false
}

func respond(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "answer")
}

// TestFullServerServesTheNextCaller guards against a server whose idle callers keep it from
// serving new ones, and against connections that keep their room after their end.
func TestFullServerServesTheNextCaller(t *testing.T) {
	pool := newPool(0)
	server := listen(t, respond, httpserve.Options{Pool: pool})
	var callers []*caller
	for range 40 {
		c := dial(t, server)
		if !c.isServed(0, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") {
			t.Fatalf("caller %d was not served", len(callers)+1)
		}
		callers = append(callers, c)
	}
	for _, c := range callers {
		c.Close()
	}
	if !empty(pool) {
		t.Errorf("%d bytes and %d connections are held after the end of all callers", pool.Budget().Bytes(), pool.Budget().Connections())
	}
}

// TestBodiesThatTrickleLeaveRoom guards against a server that refuses every caller while slow
// bodies hold all its connections.
func TestBodiesThatTrickleLeaveRoom(t *testing.T) {
	server := listen(t, respond, httpserve.Options{Pool: newPool(0)})
	for range 8 {
		c := dial(t, server)
		go func() {
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
			for ; err == nil; time.Sleep(20 * time.Millisecond) {
				_, err = io.WriteString(c, "a")
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	for end := time.Now().Add(5 * time.Second); !dial(t, server).isServed(0, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no caller is served")
		}
	}
}

// TestHeadsUpToTheConfiguredSizeAreServed guards against heads within the limit that are
// refused, and heads beyond it that are read.
func TestHeadsUpToTheConfiguredSizeAreServed(t *testing.T) {
	const limit = 16 << 10
	server := listen(t, respond, httpserve.Options{Pool: newPool(0), MaxHead: func() int { return limit }})
	for size, want := range map[int]int{limit: http.StatusOK, 2 * limit: http.StatusRequestHeaderFieldsTooLarge} {
		c := dial(t, server)
		head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\nA: "
		if _, err := io.WriteString(c, head+strings.Repeat("b", size-len(head)-4)+"\r\n\r\n"+strings.Repeat("c", 50000)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("head of %d bytes: %v %v, want %d", size, resp, err, want)
		}
	}
}

// TestOnlyCallersThatReadNothingAreCutOff guards against an answer that ends although its
// caller reads it slowly, and against one that waits for a caller that does not read at all.
func TestOnlyCallersThatReadNothingAreCutOff(t *testing.T) {
	const unread, size = 200 * time.Millisecond, 16 << 20
	ended := make(chan error, 1)
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, size))
		ended <- err
	}, httpserve.Options{Pool: newPool(unread)})
	for _, reads := range []bool{true, false} {
		c := dial(t, server)
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if reads { // some in each half of the timeout, for several timeouts, then the rest
			for range 10 {
				time.Sleep(unread / 2)
				_, _ = io.ReadFull(c, make([]byte, 128<<10))
			}
			go io.Copy(io.Discard, c)
		}
		select {
		case err := <-ended:
			if (err == nil) != reads {
				t.Errorf("caller that reads: %v, write ended with %v", reads, err)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("caller that reads: %v, the write did not end", reads)
		}
	}
}

// FuzzRequest checks that the server survives whatever a caller sends before and within a
// request, and that nothing of it is held afterwards.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\n\r\n\r\n", "GET / HTTP/1.1\r\nA: b", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\na", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nc\r\n0\r\nD: e\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	pool := newPool(time.Second)
	server := listen(f, respond, httpserve.Options{Pool: pool, ReadHeaderTimeout: time.Second})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := dial(t, server)
		_, _ = c.Write(data)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		c.Close()
		if !empty(pool) {
			t.Errorf("%d bytes and %d connections are held after the end", pool.Budget().Bytes(), pool.Budget().Connections())
		}
	})
}
