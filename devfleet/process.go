// Package devfleet runs a small fleet as separate processes on loopback addresses, for the
// demo, the tests and the measurements. It needs Linux, as it reads /proc.
package devfleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one process of a fleet, started from one of the programs of the project.
// Signal, Pause and Resume may be called from several goroutines. Kill, Stop, PID
// and Usage must not run at the same time as Restart.
type Process struct {
	// Name is the unique name of the process in its fleet.
	Name string
	// Args is the command line, with the path of the program first.
	Args []string

	logPath string
	env     []string   // environment, or nil for that of this process
	mu      sync.Mutex // held by start and Signal
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has exited
}

// start starts the program and appends its output to the log file. The kernel kills the
// process when the OS thread that started it ends, at the latest with this process.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log file of %s: %w", p.Name, err)
	}
	defer out.Close()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Env = p.env
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Restart starts the program again. The process must have exited.
func (p *Process) Restart() error { return p.start() }

// Signal sends a signal to the process. It returns os.ErrProcessDone if the process has
// exited.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process by SIGSTOP until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to shut down and waits for its exit. If ctx ends first, it kills
// the process and returns an error. An exit code other than 0 is an error too.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not exit in time and was killed", p.Name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with code %d", p.Name, code)
	}
	return nil
}

// hasExited reports whether the process has exited.
func (p *Process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process ID of the last start.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns the output of the process over all its starts, or the error of reading it.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

const (
	// readyTimeout bounds the wait for one process, or for all gateways, to get ready.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// waitOK polls the URL until a GET has a status below 300. It fails after readyTimeout.
func waitOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if isOK(ctx, url) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", url, ctx.Err())
		}
	}
}

// isOK reports whether a GET of the URL has a status below 300.
func isOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

// programPath returns the path of one of the project's programs in the directory. It fails
// if the file does not exist.
func programPath(dir, name string) (string, error) {
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("program %s not found; run make build: %w", name, err)
	}
	return path, nil
}
