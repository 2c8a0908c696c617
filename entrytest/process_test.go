package entrytest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/platform"
)

// settingsFile is the format of the settings file that the platform writes for a process.
const settingsFile = `
nodeName: %q
ip: %q
zone: "dc-1"
listen: {front: %q, readiness: %q}
internalPorts: [%s, %s]
limits: {memoryMb: 200}
bounds: {drainMs: 2000, graceS: 8, revokeMs: 3000, statusS: 120}
platform: {address: %q}
`

// buildProgram builds baobab-entry and returns the path of the executable.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "baobab-entry")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/baobab-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v %s", err, out)
	}
	return program
}

// process is an entry daemon in a process of its own, which may be started several times.
// All its incarnations append to one log file. The methods may be called from several
// goroutines.
type process struct {
	*entry
	t        *testing.T
	program  string
	settings string
	output   *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	exitCode int // of the last process that ended, or -1 if a signal ended it
}

// newProcess prepares a daemon that connects to the store at the address and logs to a
// file in the directory logs. It does not start the daemon. The daemon is killed at the
// end of the test.
func newProcess(t *testing.T, program, logs, name, store string) *process {
	t.Helper()
	d := &entry{settings: platform.Settings{VMName: name, CallerAddress: address(t), ReadinessAddress: address(t)}}
	host, peerPort, _ := net.SplitHostPort(address(t))
	_, metricsPort, _ := net.SplitHostPort(address(t))
	p := &process{entry: d, t: t, program: program, settings: filepath.Join(t.TempDir(), name+".yaml")}
	content := fmt.Sprintf(settingsFile, name, host, d.settings.CallerAddress, d.settings.ReadinessAddress, peerPort, metricsPort, store)
	if err := os.WriteFile(p.settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.output, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		p.output.Close()
	})
	return p
}

// start starts the daemon unless it is running.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+p.settings)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Errorf("start %s: %v", p.entry.settings.VMName, err)
		return
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// signal sends the signal if the daemon is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the daemon and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Minute)
}

// wait waits at most d until the process has ended, and reports whether it did.
func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
	case <-time.After(d):
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.exitCode = p.cmd.ProcessState.ExitCode()
	}
	p.cmd, p.done = nil, nil
	return true
}
