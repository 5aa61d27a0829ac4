package cwnet

import (
	"net"
	"sync/atomic"
)

// CountingConn counts the bytes that were given to the connection for sending.
type CountingConn struct {
	net.Conn
	sentBytes atomic.Int64
}

// Write counts before it writes, so that a failed write counts as sent.
func (c *CountingConn) Write(p []byte) (int, error) {
	c.sentBytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// SentBytes returns the number of bytes that may have left.
func (c *CountingConn) SentBytes() int64 {
	return c.sentBytes.Load()
}
