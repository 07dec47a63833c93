package sockopt

import "net"

// Unwrap returns the innermost connection of wrappers that have a method NetConn.
func Unwrap(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// ResetOnClose makes the close of c reset the connection, so that the other end can't take what it got for all. It does
// nothing if c is neither a TCP connection nor a wrapper of one.
func ResetOnClose(c net.Conn) {
	if tcp, ok := Unwrap(c).(*net.TCPConn); ok {
		// It fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
}
