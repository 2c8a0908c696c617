package devfleet

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/loopback"
)

// startEchoServer starts a server that sends back what it receives, and returns its
// address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
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
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return address
}

// roundTrip returns the shortest of five round trip times of one byte on one connection.
func roundTrip(t *testing.T, address string) time.Duration {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	buf := []byte{1}
	var best time.Duration
	for range 5 {
		start := time.Now()
		if _, err := conn.Write(buf); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, buf); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(start); best == 0 || d < best {
			best = d
		}
	}
	return best
}

// A proxy adds its latency in each direction for a caller in another data centre, and none
// for a caller in the data centre of the target.
func TestDelayProxyDelaysOnlyOtherDataCentres(t *testing.T) {
	const oneWay = 40 * time.Millisecond
	d := &delayProxy{oneWay: oneWay}
	t.Cleanup(d.close)
	d.setDataCentre(os.Getpid(), "dc-1")
	target := startEchoServer(t)
	for dataCentre, want := range map[string]time.Duration{"dc-1": 0, "dc-2": 2 * oneWay} {
		address, err := d.listen(target, dataCentre)
		if err != nil {
			t.Fatal(err)
		}
		if got := roundTrip(t, address); got < want || got > want+oneWay {
			t.Errorf("round trip to %s took %s, want %s", dataCentre, got, want)
		}
	}
}
