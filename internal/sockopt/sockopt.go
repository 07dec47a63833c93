// Package sockopt sets socket options that package net does not expose.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT:
// the kernel closes a connection whose sent data stays unacknowledged for that long
// (tcp(7)). Without it a connection to an unreachable address hangs for about 15
// minutes.
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
