package entrytest

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startTime is how long a process may take to start in these tests.
const startTime = 5 * time.Second

// newProcessOf prepares a daemon of the fleet in a process of its own, whose log is in the
// returned file.
func (f *fleet) newProcessOf(name string) (p *process, logFile string) {
	f.t.Helper()
	logs := f.t.TempDir()
	p = newProcess(f.t, buildProgram(f.t), logs, name, strings.TrimPrefix(f.store.URL(), "http://"))
	return p, logs + "/" + name + ".log"
}

// readFile returns the content of the file.
func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestHangupDuringStartDoesNotEndTheDaemon guards against a daemon that a SIGHUP ends because
// it comes before the daemon has read its settings.
func TestHangupDuringStartDoesNotEndTheDaemon(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	p, logFile := f.newProcessOf("entry-1")
	settings := readFile(t, p.settings)
	if err := os.Remove(p.settings); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	opened := make(chan *os.File, 1)
	go func() { // opening succeeds once the daemon reads its settings
		file, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
		if err != nil {
			t.Error(err)
		}
		opened <- file
	}()
	var pipe *os.File
	select {
	case pipe = <-opened:
	case <-time.After(startTime):
		t.Fatal("the daemon does not read its settings")
	}
	for range 3 {
		p.signal(syscall.SIGHUP)
		if p.wait(50 * time.Millisecond) {
			t.Fatalf("SIGHUP ended the daemon: exit code %d: %s", p.exitCode, readFile(t, logFile))
		}
	}
	if _, err := pipe.WriteString(settings); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	eventually(t, "the daemon is ready", p.ready)
}
