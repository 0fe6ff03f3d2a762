// Package prober tells what reads and writes don't of a TCP connection.
package prober

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long written bytes may stay unacknowledged before a connection counts as
	// failed.
	ackTimeout = 2500 * time.Millisecond
	// minCheckInterval is the first time between two checks of a connection. It doubles up to
	// maxCheckInterval.
	minCheckInterval, maxCheckInterval = 250 * time.Microsecond, 20 * time.Millisecond
)

// Acknowledged waits until all bytes that were written to a connection are acknowledged, or it has
// failed, and reports which. An end that was closed acknowledges no bytes that come later. Connections of
// other kinds than the kernel's acknowledge bytes as they take them.
func Acknowledged(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wait := minCheckInterval
	for waited := time.Duration(0); waited <= ackTimeout; waited += wait {
		var left, failure int
		err := raw.Control(func(fd uintptr) {
			// Where these calls don't exist, bytes count as acknowledged.
			failure, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
			left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		})
		if err != nil || failure != 0 {
			return false
		}
		if left == 0 {
			return true
		}
		wait = min(2*wait, maxCheckInterval)
		time.Sleep(wait)
	}
	return false
}
