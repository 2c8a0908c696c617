package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// peakMemory returns the largest resident memory of the process so far, in MB.
func (p *process) peakMemory() (mb int) {
	p.t.Helper()
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	for line := range strings.Lines(readFile(p.t, fmt.Sprintf("/proc/%d/status", pid))) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	p.t.Fatal("the peak memory of the process is not known")
	return 0
}

// TestLongBodiesDoNotExceedTheMemoryLimit guards against a daemon that ends, with all its
// requests, because the bodies of many callers exceed the memory limit of its VM.
func TestLongBodiesDoNotExceedTheMemoryLimit(t *testing.T) {
	const limit = 200 // MB, as in settingsFile
	f := newFleet(t)
	for _, id := range []string{"i-1", "i-2"} {
		f.startEngine(id, func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
			streamUntil(e, w, r, e.eventCount, 200*time.Millisecond)
		})
	}
	p, _ := f.newProcessOf("entry-1")
	p.start()
	eventually(t, "the daemon is ready", p.ready)
	var callers sync.WaitGroup
	for range 150 { // bodies of 300 MB together
		callers.Go(func() {
			if got := p.sendSlowly(t, http.MethodPost, "/once/a", key, 1500*time.Millisecond); got.err != nil {
				t.Errorf("answered %d %v, want a whole answer", got.status, got.err)
			}
		})
	}
	callers.Wait()
	if mb := p.peakMemory(); mb > limit {
		t.Errorf("the daemon used %d MB, want at most %d MB", mb, limit)
	}
	if got := p.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK {
		t.Errorf("a request after the long bodies was answered %d %v, want 200", got.status, got.err)
	}
}
