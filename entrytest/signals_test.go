package entrytest

import (
	"net/http"
	"os"
	"strings"
	"sync"
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

// TestRepeatedSignalsCutNoRequest guards against requests that are cut because further
// signals come during a planned stop, beside changes of the configuration.
func TestRepeatedSignalsCutNoRequest(t *testing.T) {
	f := newFleet(t)
	for _, id := range []string{"i-1", "i-2"} {
		f.startEngine(id, func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
			streamUntil(e, w, r, e.eventCount, 600*time.Millisecond)
		})
	}
	p, _ := f.newProcessOf("entry-1")
	p.start()
	eventually(t, "the daemon is ready", p.ready)
	defer f.changeConfigWhile(t.Context())()
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() {
			for p.ready() {
				if got := p.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK || got.err != nil {
					t.Errorf("a request was answered %d %q %v, want a whole stream", got.status, got.body, got.err)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.signal(s)
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	if !p.wait(8*time.Second) || p.exitCode != 0 {
		t.Errorf("the daemon ended with exit code %d, want 0 within its grace time", p.exitCode)
	}
}

// TestLastLineOfTheLogIsWritten guards against a planned stop that looks like the end of a
// process by itself because the last lines of the log are lost.
func TestLastLineOfTheLogIsWritten(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	p, logFile := f.newProcessOf("entry-1")
	p.start()
	eventually(t, "the daemon is ready", p.ready)
	p.signal(syscall.SIGTERM)
	if !p.wait(8*time.Second) || p.exitCode != 0 {
		t.Errorf("the daemon ended with exit code %d, want 0 within its grace time", p.exitCode)
	}
	if text := readFile(t, logFile); !strings.Contains(text, `"daemon shut down"`) {
		t.Errorf("the log does not say that the daemon shut down: %s", text)
	}
}

// TestClosedOutputDoesNotEndTheDaemon guards against a daemon that ends because nobody reads
// its log any more.
func TestClosedOutputDoesNotEndTheDaemon(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	p, _ := f.newProcessOf("entry-1")
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.output.Close()
	p.output = writer
	p.start()
	eventually(t, "the daemon is ready", p.ready)
	writer.Close()
	reader.Close()
	for range 5 {
		if got := p.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK || got.err != nil {
			t.Fatalf("answered %d %v after the reader of the log had gone, want 200", got.status, got.err)
		}
		p.signal(syscall.SIGHUP)
		if p.wait(100 * time.Millisecond) {
			t.Fatalf("the daemon ended with exit code %d", p.exitCode)
		}
	}
}
