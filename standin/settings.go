package standin

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/baobablanding/baobablanding/platform"
)

// EntrySettings is what the platform sets for an entry daemon.
type EntrySettings struct {
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are its listeners. The last
	// two have the same IP address; PeerAddress receives datagrams.
	CallerAddress, ReadinessAddress, PeerAddress, MetricsAddress string
	// StoreAddress is the address of the store.
	StoreAddress string
	// MemoryMB, MaxDescriptors and UnreadTimeout are its limits.
	MemoryMB, MaxDescriptors int
	UnreadTimeout            time.Duration
}

// entrySettings is the format of the settings file of an entry daemon.
const entrySettings = `
nodeName: entry-1
ip: %q
zone: dc-1
listen: {front: %q, readiness: %q}
internalPorts: [%s, %s]
limits: {memoryMb: %d, maxFds: %d, unreadMs: %d}
bounds: {graceS: 8, revokeMs: 30000}
platform: {address: %q}
`

// Write writes the settings file and returns the environment variable, as NAME=VALUE, that
// names it to the daemon.
func (s EntrySettings) Write(path string) (variable string, err error) {
	ip, peerPort, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return "", fmt.Errorf("peer address of the entry daemon: %w", err)
	}
	_, metricsPort, err := net.SplitHostPort(s.MetricsAddress)
	if err != nil {
		return "", fmt.Errorf("metrics address of the entry daemon: %w", err)
	}
	content := fmt.Sprintf(entrySettings, ip, s.CallerAddress, s.ReadinessAddress, peerPort, metricsPort,
		s.MemoryMB, s.MaxDescriptors, s.UnreadTimeout.Milliseconds(), s.StoreAddress)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return "", fmt.Errorf("write settings of the entry daemon: %w", err)
	}
	return platform.SettingsEnv + "=" + path, nil
}
