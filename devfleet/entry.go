package devfleet

import (
	"os"
	"path/filepath"

	"github.com/baobablanding/baobablanding/standin"
)

// Entry is an entry daemon in a process of its own.
type Entry struct {
	*Process
	// Settings are those of the daemon, with its addresses.
	Settings standin.EntrySettings
}

// StartEntry starts an entry daemon from the programs in binDir, with the settings and free
// addresses of its own. The settings file and the log are in the directory dir. StartEntry does
// not wait until the daemon is ready. The caller kills the process.
func StartEntry(binDir, dir string, settings standin.EntrySettings) (*Entry, error) {
	var free addresses
	settings.CallerAddress, settings.ReadinessAddress = free.next(), free.next()
	settings.PeerAddress, settings.MetricsAddress = free.next(), free.next()
	if free.err != nil {
		return nil, free.err
	}
	variable, err := settings.Write(filepath.Join(dir, "entry-1.yaml"))
	if err != nil {
		return nil, err
	}
	program, err := programPath(binDir, "baobab-entry")
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name: "entry-1", Args: []string{program}, logPath: filepath.Join(dir, "entry-1.log"),
		env: append(os.Environ(), variable),
	}
	return &Entry{Process: p, Settings: settings}, p.start()
}
