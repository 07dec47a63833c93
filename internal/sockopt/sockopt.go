// Package sockopt sets options of sockets that package net has no name for.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout gives a net.Dialer's Control by which the kernel gives up bytes that
// weren't acknowledged for so long (TCP_USER_TIMEOUT, tcp(7)). Without it a
// connection to an address that went dark hangs for a quarter of an hour.
func UserTimeout(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
