package devfleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/baobablanding/baobablanding/platform"
)

// EntryOptions configures an entry daemon in a process of its own.
type EntryOptions struct {
	// BinDir is the directory with the built programs.
	BinDir string
	// Dir is the directory of the settings file and the log.
	Dir string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MemoryMB, MaxDescriptors and UnreadTimeout are the limits in the settings.
	MemoryMB, MaxDescriptors int
	UnreadTimeout            time.Duration
}

// Entry is an entry daemon in a process of its own.
type Entry struct {
	*Process
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are its listeners;
	// PeerAddress receives datagrams.
	CallerAddress, ReadinessAddress, PeerAddress, MetricsAddress string
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

// StartEntry writes the settings file and starts the daemon. It does not wait until the daemon
// is ready. The caller kills the process.
func StartEntry(o EntryOptions) (*Entry, error) {
	var free addresses
	e := &Entry{CallerAddress: free.next(), ReadinessAddress: free.next(), PeerAddress: free.next(), MetricsAddress: free.next()}
	if free.err != nil {
		return nil, free.err
	}
	ip, peerPort, err := net.SplitHostPort(e.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("peer address of the entry daemon: %w", err)
	}
	_, metricsPort, err := net.SplitHostPort(e.MetricsAddress)
	if err != nil {
		return nil, fmt.Errorf("metrics address of the entry daemon: %w", err)
	}
	content := fmt.Sprintf(entrySettings, ip, e.CallerAddress, e.ReadinessAddress, peerPort, metricsPort,
		o.MemoryMB, o.MaxDescriptors, o.UnreadTimeout.Milliseconds(), o.StoreAddress)
	path := filepath.Join(o.Dir, "entry-1.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return nil, fmt.Errorf("write settings of the entry daemon: %w", err)
	}
	program, err := programPath(o.BinDir, "baobab-entry")
	if err != nil {
		return nil, err
	}
	e.Process = &Process{
		Name: "entry-1", Args: []string{program}, logPath: filepath.Join(o.Dir, "entry-1.log"),
		env: append(os.Environ(), platform.SettingsEnv+"="+path),
	}
	return e, e.Process.start()
}
