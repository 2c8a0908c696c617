package httpserve

import (
	"net"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes that were written to the connection and that the
// other end has not acknowledged, or 0 if the connection is closed. An end whose process does
// not read acknowledges nothing once its buffer is full.
func unacknowledged(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}
