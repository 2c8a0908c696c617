// Package loopback hands out free loopback addresses to fleets of one machine.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// host is a loopback IP address of this process's own, so that neither another
// process nor an outgoing connection takes a port between its choice and its
// use.
var host = hostOf(os.Getpid())

// hostOf returns a loopback IP address that no other process id below 2^22 has.
func hostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", (pid>>14)&0xff, (pid>>7)&0x7f, 1+pid&0x7f)
}

var (
	mu   sync.Mutex
	used = make(map[string]bool)
)

// Address returns an address with a free port. It returns each address once.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", fmt.Errorf("find free port: %w", err)
		}
		address := l.Addr().String()
		l.Close()
		if !used[address] {
			used[address] = true
			return address, nil
		}
	}
}
