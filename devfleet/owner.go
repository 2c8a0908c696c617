package devfleet

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Columns of /proc/net/tcp, counted from 0.
const (
	tcpLocalAddress  = 1
	tcpRemoteAddress = 2
	tcpInode         = 9
)

// closedSocketInode is the inode that /proc/net/tcp shows for a closed connection. Another
// socket may have the same addresses by then.
const closedSocketInode = "0"

// /proc/net/tcp may lack an entry while other sockets change. It is therefore read up to
// maxLookups times.
const (
	maxLookups     = 20
	lookupInterval = 5 * time.Millisecond
)

// socketOwner returns the ID of the process that owns the other end of the connection. The
// process is one of the keys, all of type int, that rangePIDs passes to its argument.
func socketOwner(conn net.Conn, rangePIDs func(func(pid, _ any) bool)) (int, error) {
	var err error
	for range maxLookups {
		var pid int
		if pid, err = findSocketOwner(conn, rangePIDs); err == nil {
			return pid, nil
		}
		time.Sleep(lookupInterval)
	}
	return 0, err
}

// findSocketOwner looks up the owner once.
func findSocketOwner(conn net.Conn, rangePIDs func(func(pid, _ any) bool)) (int, error) {
	remote, remoteOK := conn.RemoteAddr().(*net.TCPAddr)
	local, localOK := conn.LocalAddr().(*net.TCPAddr)
	if !remoteOK || !localOK {
		return 0, fmt.Errorf("connection to %s is not a TCP connection", conn.RemoteAddr())
	}
	// Seen from the other end, the remote address is the local one.
	inode, err := socketInode(remote, local)
	if err != nil {
		return 0, err
	}
	owner := 0
	rangePIDs(func(pid, _ any) bool {
		if hasSocket(pid.(int), inode) {
			owner = pid.(int)
		}
		return owner == 0
	})
	if owner == 0 {
		return 0, fmt.Errorf("no process of the fleet owns the socket %s", remote)
	}
	return owner, nil
}

// socketInode returns the inode of the TCP socket with the local and remote address.
func socketInode(local, remote *net.TCPAddr) (string, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", fmt.Errorf("open table of sockets: %w", err)
	}
	defer file.Close()
	wantLocal, wantRemote := formatProcAddress(local), formatProcAddress(remote)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > tcpInode && fields[tcpLocalAddress] == wantLocal && fields[tcpRemoteAddress] == wantRemote && fields[tcpInode] != closedSocketInode {
			return fields[tcpInode], nil
		}
	}
	return "", fmt.Errorf("no TCP socket has the local address %s", local)
}

// formatProcAddress formats an IPv4 address and port as /proc/net/tcp does.
func formatProcAddress(address *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(address.IP.To4()), address.Port)
}

// hasSocket reports whether the process has a file descriptor of the socket.
func hasSocket(pid int, inode string) bool {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, link := range links {
		if name, err := os.Readlink(link); err == nil && name == want {
			return true
		}
	}
	return false
}
