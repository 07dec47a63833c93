// Package stall detects connections on which a transfer makes no progress, as opposed to
// slow ones. A time limit on a whole transfer can't distinguish the two: its duration
// depends on its size and on the link.
package stall

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Acknowledger is a connection that counts the bytes acknowledged by its peer.
type Acknowledger interface {
	Acknowledged() uint64
}

// Acknowledged returns how many bytes the peer of c has acknowledged since c was opened,
// accurate to one byte. It returns 0 if that is unknown. Bytes that were written but not
// acknowledged may be in the kernel's send buffer, which can hold more than a megabyte.
func Acknowledged(c net.Conn) uint64 {
	if own, ok := c.(Acknowledger); ok {
		return own.Acknowledged()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var acknowledged uint64
	// Control fails only on a closed connection, where 0 is returned.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged = info.Bytes_acked
		}
	})
	return acknowledged
}
