// Package stall tells a connection that stands still from one that is slow. A time
// limit on a whole transfer can't: how long that takes depends on its size and on
// the link.
package stall

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Acknowledger is a connection that counts the bytes its other end acknowledged.
type Acknowledger interface {
	Acknowledged() uint64
}

// Acknowledged gives how many bytes the other end of c has acknowledged since c was
// opened, give or take one. It is 0 where that isn't known. Bytes that were written
// and not acknowledged may stand in the kernel's buffer, a megabyte and more of them.
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
	// A closed connection acknowledges nothing more.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged = info.Bytes_acked
		}
	})
	return acknowledged
}
