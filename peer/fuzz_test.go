package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/result"
)

// FuzzReadObject checks that ReadObject returns a message or an error for any input, and
// that a message is the same after it was written and read again.
func FuzzReadObject(f *testing.F) {
	var wire bytes.Buffer
	if err := new(codec).WriteObject(&wire, &rawMessage{json.RawMessage(`{"id":"a"}`)}); err != nil {
		f.Fatal(err)
	}
	f.Add(wire.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{200, 1, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var first rawMessage
		if new(codec).ReadObject(bufio.NewReader(bytes.NewReader(data)), &first) != nil {
			return
		}
		var wire bytes.Buffer
		if err := new(codec).WriteObject(&wire, &first); err != nil {
			t.Fatal(err)
		}
		var second rawMessage
		if err := new(codec).ReadObject(bufio.NewReader(&wire), &second); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first.RawMessage, second.RawMessage) {
			t.Errorf("%q became %q", first.RawMessage, second.RawMessage)
		}
	})
}

// FuzzDecode checks that DecodeParams returns a value, or an error with the verdict
// "not run".
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","class":1,"timeout":5}`))
	f.Add([]byte(`{"id":1}`))
	f.Add([]byte(`{"class":300}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, decode := range []func(json.RawMessage) error{
			func(m json.RawMessage) error { _, err := DecodeParams[RunRequest](m); return err },
			func(m json.RawMessage) error { _, err := DecodeParams[AgentStatus](m); return err },
			func(m json.RawMessage) error { _, err := DecodeParams[Gossip](m); return err },
		} {
			if err := decode(data); err != nil && result.FromError(err).Verdict != result.NotRun {
				t.Errorf("rejected with verdict %v: %v", result.FromError(err).Verdict, err)
			}
		}
	})
}

// FuzzServerFrames checks that a server survives whatever another process sends, and that
// nothing of it is held afterwards.
func FuzzServerFrames(f *testing.F) {
	f.Add([]byte("\x02{}"))
	f.Add([]byte("\xff\xff\xff\x07{"))
	f.Add(append([]byte("\x80\x80\x08"), bytes.Repeat([]byte(" "), 128<<10)...))
	f.Add([]byte("\x28{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"echo\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		pool := budget.New(budget.Limits{MemoryBytes: 4 << 20, Descriptors: 8}, prometheus.NewRegistry(), logger).NewPool(1)
		echo := func(_ context.Context, _ *Session, params json.RawMessage) (any, error) { return params, nil }
		server, err := ListenWithin("127.0.0.1:0", Handlers{"echo": echo}, nil, pool)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
		for end := time.Now().Add(5 * time.Second); pool.Budget().Bytes() > 0 || pool.Budget().Connections() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes and %d connections are held after the end", pool.Budget().Bytes(), pool.Budget().Connections())
			}
		}
		server.Close()
	})
}

// FuzzLoadReport checks that a datagram is rejected, or decoded to a report whose encoding is
// accepted again.
func FuzzLoadReport(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","method":"loads","params":{"from":"a","seq":1,"engines":{"e":[1,2,3,0,0]}}}`))
	f.Add([]byte(`{"method":"data_centre_loads","params":{"from":"a","data_centre":{"name":"b","daemons":2}}}`))
	f.Add([]byte(`{"method":"loads","params":{"engines":{"e":[9223372036854775807]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeLoadReport(data)
		if err != nil {
			return
		}
		encoded, err := EncodeLoadReport(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeLoadReport(encoded); err != nil {
			t.Errorf("report %q is rejected after it was encoded: %v", data, err)
		}
	})
}
