package devfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of fleets lie below the range from which the operating system takes the
// ports of outgoing connections, so that no connection takes a port between its
// choice and the start of its process.
const (
	firstPort    = 10000
	lastPort     = 32000
	portAttempts = 1000
)

// chosenPorts holds the ports that this process has handed out.
var chosenPorts sync.Map // int to struct{}

// errNoPort reports that every port that was tried is in use.
var errNoPort = errors.New("no free port")

// FreeAddress returns a loopback address with a free port that was not returned
// before.
func FreeAddress() (string, error) {
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, used := chosenPorts.LoadOrStore(port, struct{}{}); used {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().String(), nil
	}
	return "", errNoPort
}
