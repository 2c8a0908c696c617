package entrytest

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/loopback"
)

const (
	longUpload = 4 << 20
	longItem   = 300 << 10
	// cutTries is how often each path meets an engine in trouble: whether the write of the request
	// learns of a reset depends on timing.
	cutTries = 8
	cutWait  = 10 * time.Millisecond
)

// troubledEngines starts two engines that answer the first attempt of each request by trouble, and
// later ones with the whole answer. Bodies up to longUpload are allowed.
func troubledEngines(t *testing.T, trouble func(conn *net.TCPConn, r *http.Request)) *entry {
	t.Helper()
	f := newFleet(t)
	f.config["limits"].(object)["maxBodyBytes"] = 4 * longUpload
	f.publish()
	var mu sync.Mutex
	met := make(map[string]bool) // by request ID
	for _, id := range []string{"i-1", "i-2"} {
		server, err := loopback.NewRawServer(func(conn *net.TCPConn, r *http.Request) {
			mu.Lock()
			first := !met[r.Header.Get("Request-Id")]
			met[r.Header.Get("Request-Id")] = true
			mu.Unlock()
			if first {
				trouble(conn, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, rawHead(r, "Transfer-Encoding: chunked")+rawChunk(eventsFrom(firstEvent(r)))+"0\r\n\r\n")
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		f.register(&engine{id: id, address: server.Address()}, "ready", 0)
	}
	return f.start("entry-1")
}

// eventsFrom returns the events from the first one to the fifth.
func eventsFrom(first int) string {
	var b strings.Builder
	for n := first; n <= 5; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// cutAnswer answers with an event, without a length, and resets the connection while the request is
// still to be read.
func cutAnswer(conn *net.TCPConn, r *http.Request) {
	loopback.CutAnswer(conn, rawHead(r, "Server-Load: 1,0,8")+event(firstEvent(r)), cutWait)
}

// cutBody is cutAnswer for an answer that is no stream.
func cutBody(conn *net.TCPConn, r *http.Request) {
	head := strings.Replace(rawHead(r, "Server-Load: 1,0,8"), "text/event-stream", "text/plain", 1)
	loopback.CutAnswer(conn, head+"part of an answer ", cutWait)
}

// badStatus returns a whole answer of one event with the status.
func badStatus(status string) func(conn *net.TCPConn, r *http.Request) {
	return func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		body := event(firstEvent(r))
		head := strings.Replace(rawHead(r, fmt.Sprintf("Content-Length: %d", len(body))), "200", status, 1)
		_, _ = io.WriteString(conn, head+body)
	}
}

// TestTroubledAnswerIsNeverTakenForAWholeOne guards against a part of an answer that callers get as
// the whole one, because the engine reset the connection while the request was still written, and
// against an answer with a status that is none. Requests that may be repeated get the answer of
// another engine, and an item its whole output.
func TestTroubledAnswerIsNeverTakenForAWholeOne(t *testing.T) {
	troubles := map[string]func(conn *net.TCPConn, r *http.Request){"cut stream": cutAnswer, "cut body": cutBody}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		troubles["status "+status] = badStatus(status)
	}
	whole := eventsFrom(1)
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := troubledEngines(t, trouble)
			upload := strings.Repeat("a", longUpload)
			served := make(map[string]int)
			for range cutTries {
				for _, path := range []string{"/once/a", "/repeat/a", "/resume/a"} {
					got := d.send(t.Context(), t, request{path: path, key: key, body: upload, header: map[string]string{"Deadline-Ms": "4000"}})
					if got.err != nil || got.status >= http.StatusBadRequest {
						continue
					}
					if got.status != http.StatusOK || got.body != whole {
						t.Errorf("%s: got %d %q as a whole answer", path, got.status, got.body)
					}
					served[path]++
				}
			}
			if served["/once/a"] > 0 || served["/repeat/a"]+served["/resume/a"] == 0 {
				t.Errorf("%v requests were served; want none of the path that runs once and some of those that may be repeated", served)
			}
			d.checkLongItems(t)
		})
	}
}

// checkLongItems submits jobs of one item with a long body and checks that each is completed with
// the whole output.
func (d *entry) checkLongItems(t *testing.T) {
	t.Helper()
	item := base64.StdEncoding.EncodeToString(make([]byte, longItem))
	for i := range cutTries {
		id := fmt.Sprintf("job-%d", i)
		body, err := json.Marshal(object{"items": []object{{"id": id + "-0", "path": "/jobs/a", "headers": object{}, "body": item, "tokens": 1}}})
		if err != nil {
			t.Fatal(err)
		}
		if got := d.send(t.Context(), t, request{path: "/jobs/a", id: id, key: key, body: string(body)}); got.status != http.StatusAccepted {
			t.Fatalf("submission: status %d, want 202", got.status)
		}
	}
	for i := range cutTries {
		d.checkCompletes(t, fmt.Sprintf("job-%d", i), 1, fullOutput)
	}
}
