package cwnet

import (
	"net"
	"sync/atomic"
)

// CountedConn counts the bytes that were given to the connection for sending.
type CountedConn struct {
	net.Conn
	sent atomic.Int64
}

// Write counts before it writes, so that a failed write counts as sent.
func (c *CountedConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Sent returns the number of bytes that may have left.
func (c *CountedConn) Sent() int64 {
	return c.sent.Load()
}
