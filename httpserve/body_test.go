package httpserve_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/httpserve"
)

// TestRefusalOfStalledBodyIsSent guards against a refusal that waits without end for a body
// that its caller does not send.
func TestRefusalOfStalledBodyIsSent(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
		httpserve.Options{MaxBody: func() int64 { return 4 << 20 }})
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(conn, "POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nstart")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound || !resp.Close {
		t.Errorf("got %d, connection kept: %v, want 404 and a closed connection", resp.StatusCode, !resp.Close)
	}
}
