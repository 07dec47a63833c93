package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// LimitUnsent makes writes to c wait while the kernel holds more than the given number of bytes that
// it has not sent yet (TCP_NOTSENT_LOWAT in tcp(7)); 0 is the system's own limit. Bytes that are sent
// and not acknowledged don't count. It does nothing if c is not a socket or closed.
func LimitUnsent(c net.Conn, bytes int) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	// Without the option the peer holds more of the link, and nothing fails.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes) })
}
