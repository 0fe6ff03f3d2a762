package disruptor

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

const (
	tcpTable = "/proc/net/tcp"
	// localField and inodeField are fields of a line of tcpTable.
	localField = 1
	inodeField = 9
)

// Owner returns the index of the process in pids that owns the local end of a TCP
// connection over IPv4 with the address local, or -1.
func Owner(local net.Addr, pids []int) int {
	tcp, ok := local.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return -1
	}
	ip := tcp.IP.To4()
	// The table holds the address in the byte order of the machine.
	inode := inodeOf(fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port))
	if inode == "" {
		return -1
	}
	for i, pid := range pids {
		dir := "/proc/" + strconv.Itoa(pid) + "/fd/"
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if link, err := os.Readlink(dir + e.Name()); err == nil && link == "socket:["+inode+"]" {
				return i
			}
		}
	}
	return -1
}

// inodeOf returns the inode of the connected socket with a local address as in
// tcpTable, or "".
func inodeOf(address string) string {
	data, err := os.ReadFile(tcpTable)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[localField] == address && fields[inodeField] != "0" {
			return fields[inodeField]
		}
	}
	return ""
}
