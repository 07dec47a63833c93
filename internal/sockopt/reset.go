package sockopt

import "net"

// ResetOnClose makes the close of c reset the connection, so that the other end can't take what it got for all. It does
// nothing if c is neither a TCP connection nor a wrapper of one that has a method NetConn.
func ResetOnClose(c net.Conn) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// It fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
}
