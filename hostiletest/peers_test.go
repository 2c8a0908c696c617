package hostiletest

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// attackPeers runs the attack on the daemon-to-daemon addresses.
func attackPeers(t *testing.T, n int, send func(net.Conn)) {
	t.Helper()
	for _, p := range startInventoryFleet(t) {
		t.Run(p.name, func(t *testing.T) { attack(t, p, p.peer, n, send) })
	}
}

// frame returns the message with its length in front.
func frame(message string) string {
	return string(binary.AppendUvarint(nil, uint64(len(message)))) + message
}

// TestPeerFramesThatStop guards against memory that is allocated for the announced length of
// a message of which little arrives.
func TestPeerFramesThatStop(t *testing.T) {
	head := string(binary.AppendUvarint(nil, 100<<20)) + strings.Repeat("a", 1<<20)
	attackPeers(t, group, func(conn net.Conn) { _, _ = io.WriteString(conn, head) })
}

// TestPeerLengthWithoutEnd guards against a length without end or beyond the limit.
func TestPeerLengthWithoutEnd(t *testing.T) { attackPeers(t, group, after("", "\xff")) }

// TestLargePeerMessages guards against memory without bound for large messages of many
// processes at once.
func TestLargePeerMessages(t *testing.T) {
	attackPeers(t, group, after("", frame(`{"jsonrpc":"2.0","method":"version","params":"`+strings.Repeat("a", 4<<20)+`"}`)))
}

// TestSilentPeers guards against descriptors without bound for connections without a message.
func TestSilentPeers(t *testing.T) { attackPeers(t, crowd, func(net.Conn) {}) }

// TestPeerCallsWithoutReading guards against a process that holds the answers to calls whose
// caller does not read.
func TestPeerCallsWithoutReading(t *testing.T) {
	call := frame(`{"jsonrpc":"2.0","id":1,"method":"config","params":{}}`)
	attackPeers(t, group/8, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		repeat(conn, call)
	})
}

// TestHostileDatagrams guards against datagrams that end or block an entry daemon.
func TestHostileDatagrams(t *testing.T) {
	p := startEntry(t)
	check := watch(t, p)
	conn, err := net.Dial("udp", p.datagrams)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	datagrams := []string{
		"", "\x00", strings.Repeat("[", 60000), strings.Repeat(`{"a":`, 12000), `{"jsonrpc":"2.0","method":"loads","params":{"engines":{"a":[1e400]}}}`,
		`{"method":"loads","params":{"from":"x","seq":9223372036854775807,"engines":{"i-1":[9223372036854775807,0,0,0,0]}}}`,
	}
	for end := time.Now().Add(attackTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, d := range datagrams {
			_, _ = io.WriteString(conn, d)
		}
	}
	eventually(t, "an ordinary request is answered", p.ask)
	check()
}
