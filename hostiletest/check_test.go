package hostiletest

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowd is the number of connections of an attack that needs many; it exceeds
	// maxDescriptors. group is that of one that needs few.
	crowd = 400
	group = 48
	// attackTime bounds the time in which a hostile caller sends.
	attackTime = time.Second
	// settleTime is how long the callers wait then, so that the process has accepted all of
	// them and read what they sent.
	settleTime = 300 * time.Millisecond
	// answerWait bounds the wait for an ordinary answer while the callers keep their
	// connections.
	answerWait = 30 * time.Second
)

// eventually waits until ask returns nil. It ends the test after answerWait.
func eventually(t *testing.T, what string, ask func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(answerWait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = ask(); err == nil {
			return
		}
	}
	t.Errorf("timed out after %v while waiting until %s: %v", answerWait, what, err)
}

// peaks are the largest values that were seen.
type peaks struct{ memoryKB, descriptors int }

// watch reads the memory and the descriptors of the process until stop is closed.
func watch(pid int, stop <-chan struct{}) peaks {
	var p peaks
	for {
		p.memoryKB = max(p.memoryKB, residentKB(pid))
		p.descriptors = max(p.descriptors, openDescriptors(pid))
		select {
		case <-stop:
			return p
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// residentKB returns the resident memory of the process, or -1 if it has ended.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return -1 // a process that has ended and was not waited for has no memory
}

func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// attack lets n callers connect to the address, each of which runs send on its connection.
// The connections stay open until the program answered an ordinary request. attack then checks
// the program and ends the test if it is not alive.
func attack(t *testing.T, p *program, address string, n int, send func(net.Conn)) {
	t.Helper()
	stop, watched := make(chan struct{}), make(chan peaks, 1)
	go func() { watched <- watch(p.pid, stop) }()
	var callers sync.WaitGroup
	conns := make([]net.Conn, n)
	for i := range n {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp", address, attackTime)
			if err != nil {
				return
			}
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(attackTime))
			send(conn)
		})
	}
	callers.Wait()
	time.Sleep(settleTime)
	eventually(t, "an ordinary request is answered", p.ask)
	for _, conn := range conns {
		if conn != nil {
			conn.Close()
		}
	}
	close(stop)
	check(t, p, <-watched)
}

// check reports a program that has ended or exceeded its bounds.
func check(t *testing.T, p *program, seen peaks) {
	t.Helper()
	t.Logf("peak: %d MB, %d descriptors", seen.memoryKB>>10, seen.descriptors)
	if residentKB(p.pid) < 0 {
		t.Fatal("the process has ended")
	}
	if seen.memoryKB > memoryMB<<10 {
		t.Errorf("resident memory of %d MB, want at most %d", seen.memoryKB>>10, memoryMB)
	}
	if seen.descriptors > maxDescriptors-descriptorReserve {
		t.Errorf("%d descriptors, want at most %d", seen.descriptors, maxDescriptors-descriptorReserve)
	}
}

// programs starts all programs, each with its stand-ins.
func programs(t *testing.T) []*program {
	t.Helper()
	return append([]*program{startEntry(t)}, startInventoryFleet(t)...)
}

// attackHTTP runs the attack on every address at which a program serves HTTP.
func attackHTTP(t *testing.T, n int, send func(net.Conn)) {
	t.Helper()
	for _, p := range programs(t) {
		for name, address := range p.httpAddresses() {
			t.Run(p.name+"_"+name, func(t *testing.T) { attack(t, p, address, n, send) })
		}
	}
}
