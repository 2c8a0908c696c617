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

// Columns of /proc/net/tcp.
const (
	tcpLocalAddress  = 1
	tcpRemoteAddress = 2
	tcpInode         = 9
)

// noInode stands in place of the inode of a closed connection, whose address
// another socket may have again.
const noInode = "0"

// The table of sockets may lack an entry while others change, so that it is
// read again a few times.
const (
	lookups       = 20
	lookupBackoff = 5 * time.Millisecond
)

// ownerOf returns the process, among those that each yields, that owns the
// other end of the connection.
func ownerOf(conn net.Conn, each func(func(pid, _ any) bool)) (int, error) {
	var err error
	for range lookups {
		var pid int
		if pid, err = lookUpOwner(conn, each); err == nil {
			return pid, nil
		}
		time.Sleep(lookupBackoff)
	}
	return 0, err
}

func lookUpOwner(conn net.Conn, each func(func(pid, _ any) bool)) (int, error) {
	far, farOK := conn.RemoteAddr().(*net.TCPAddr)
	near, nearOK := conn.LocalAddr().(*net.TCPAddr)
	if !farOK || !nearOK {
		return 0, fmt.Errorf("connection with %s is not of TCP", conn.RemoteAddr())
	}
	inode, err := inodeOf(far, near)
	if err != nil {
		return 0, err
	}
	owner := 0
	each(func(pid, _ any) bool {
		if holds(pid.(int), inode) {
			owner = pid.(int)
		}
		return owner == 0
	})
	if owner == 0 {
		return 0, fmt.Errorf("no process of the fleet owns %s", far)
	}
	return owner, nil
}

// inodeOf returns the inode of the socket with the local and remote address.
func inodeOf(local, remote *net.TCPAddr) (string, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", fmt.Errorf("find socket: %w", err)
	}
	defer file.Close()
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > tcpInode && fields[tcpLocalAddress] == wantLocal && fields[tcpRemoteAddress] == wantRemote && fields[tcpInode] != noInode {
			return fields[tcpInode], nil
		}
	}
	return "", fmt.Errorf("no socket has the address %s", local)
}

// procAddress writes an IPv4 address as /proc/net/tcp does.
func procAddress(address *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(address.IP.To4()), address.Port)
}

// holds tells whether the process has a descriptor of the socket.
func holds(pid int, inode string) bool {
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
