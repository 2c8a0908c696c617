package devfleet

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// Columns of /proc/net/tcp.
const (
	tcpLocalAddress = 1
	tcpInode        = 9
)

// noInode stands in place of the inode of a closed connection, whose address
// another socket may have again.
const noInode = "0"

// ownerOf returns the process, among those that each yields, that owns the
// socket with the local TCP address.
func ownerOf(address net.Addr, each func(func(pid, _ any) bool)) (int, error) {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return 0, fmt.Errorf("address %s is not of TCP", address)
	}
	inode, err := inodeOf(tcp)
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
		return 0, fmt.Errorf("no process of the fleet owns %s", address)
	}
	return owner, nil
}

// inodeOf returns the inode of the socket with the local address.
func inodeOf(address *net.TCPAddr) (string, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", fmt.Errorf("find socket: %w", err)
	}
	defer file.Close()
	want := procAddress(address)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > tcpInode && fields[tcpLocalAddress] == want && fields[tcpInode] != noInode {
			return fields[tcpInode], nil
		}
	}
	return "", fmt.Errorf("no socket has the address %s", address)
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
