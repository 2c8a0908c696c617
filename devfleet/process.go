// Package devfleet runs a small fleet as separate processes on loopback, for
// the demo, tests and measurements.
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

// Process is one started program.
type Process struct {
	// Name identifies the process in its fleet.
	Name string
	// Args is the command line.
	Args []string

	logPath string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
}

// start runs the program; its output goes to its log file.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	defer out.Close()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
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

// Restart starts the program again after it has ended.
func (p *Process) Restart() error { return p.start() }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause freezes the process.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process for a planned stop and waits for its end.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop in time", p.Name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s ended with exit code %d", p.Name, code)
	}
	return nil
}

// ended tells whether the process has ended.
func (p *Process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns what the process has printed.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

const (
	readyTimeout  = 10 * time.Second
	readyInterval = 20 * time.Millisecond
)

// waitOK waits until a GET of the address answers with a status below 300.
func waitOK(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		if isOK(ctx, address) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", address, ctx.Err())
		}
	}
}

func isOK(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
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

// program returns the path of one of the project's programs.
func program(dir, name string) (string, error) {
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("program %s is missing; run make build: %w", name, err)
	}
	return path, nil
}
