// Package loopback allocates free loopback addresses for fleets that run on one machine, and
// disturbs the links between their processes.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// host is a loopback IP address that only this process uses. Neither another process nor
// an outgoing connection can therefore take a port between the time it is chosen and the
// time it is used.
var host = hostForPID(os.Getpid())

// hostForPID returns the loopback IP address of a process ID. IDs below 2^22 all have
// different addresses.
func hostForPID(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", (pid>>14)&0xff, (pid>>7)&0x7f, 1+pid&0x7f)
}

var (
	mu   sync.Mutex
	used = make(map[string]bool) // addresses returned so far; guarded by mu
)

// Address returns an IP:port address whose port is free. It does not return an address
// twice, and may be called from several goroutines. It fails if no port can be listened
// on.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", fmt.Errorf("find a free loopback port: %w", err)
		}
		address := l.Addr().String()
		l.Close()
		if !used[address] {
			used[address] = true
			return address, nil
		}
	}
}
