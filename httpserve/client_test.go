package httpserve

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/baobablanding/baobablanding/loopback"
)

// clients are the kinds of clients, by name.
var clients = map[string]func(name string) httpc.Service{"pooled": NewClient, "single use": NewSingleUseClient}

// startRawServer starts a loopback.RawServer and returns its address.
func startRawServer(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	server, err := loopback.NewRawServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// post sends the body and returns the body of the response.
func post(t *testing.T, client httpc.Service, address string, body []byte) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.DoRequest(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestCutAnswerToALongUploadIsIncomplete guards against a part of an answer that is taken for the
// whole one: the answer has neither a length nor chunks, and the write of the request is the only
// call that learns that the connection was reset.
func TestCutAnswerToALongUploadIsIncomplete(t *testing.T) {
	const tries = 30
	for _, wait := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		for name, newClient := range clients {
			address := startRawServer(t, func(conn *net.TCPConn, _ *http.Request) {
				loopback.CutAnswer(conn, "HTTP/1.1 200 OK\r\n\r\npart of an answer ", wait)
			})
			client, whole := newClient("cut"), 0
			for range tries {
				_, err := post(t, client, address, make([]byte, 4<<20))
				if err == nil {
					whole++
				} else if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
					t.Errorf("%v does not show that the connection was lost", err)
				}
			}
			if whole > 0 {
				t.Errorf("%s client, reset after %v: the part ended without an error in %d of %d tries", name, wait, whole, tries)
			}
		}
	}
}

// TestAnswerThatEndsWithItsConnectionIsWhole guards against an answer without a length that is
// taken for a part although the server read the whole request.
func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	address := startRawServer(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nanswer")
	})
	for name, newClient := range clients {
		for _, size := range []int{0, 100, 300 << 10, 4 << 20} {
			for range 10 {
				if got, err := post(t, newClient("whole"), address, make([]byte, size)); err != nil || got != "answer" {
					t.Errorf("%s client, upload of %d bytes: got %q, %v", name, size, got, err)
				}
			}
		}
	}
}

// TestStatusThatIsNotFinalIsAnError guards against an answer whose status is not from 200 to 599,
// and against interim answers without end.
func TestStatusThatIsNotFinalIsAnError(t *testing.T) {
	heads := map[string]string{"endless interim answers": ""}
	for _, status := range []string{"000", "001", "099", "100", "101", "103", "199", "600", "999"} {
		heads[status] = "HTTP/1.1 " + status + " Status\r\nContent-Length: 5\r\n\r\nwhole"
	}
	for name, head := range heads {
		address := startRawServer(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(conn, head)
			for head == "" && err == nil {
				_, err = fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			}
		})
		for kind, newClient := range clients {
			if got, err := post(t, newClient("status"), address, []byte("body")); err == nil {
				t.Errorf("%s client, %s: got %q as an answer", kind, name, got)
			}
		}
	}
}
