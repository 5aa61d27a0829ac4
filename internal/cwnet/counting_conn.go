package cwnet

import (
	"net"
	"sync/atomic"
)

// CountingConn counts the bytes that are passed to Write.
type CountingConn struct {
	net.Conn
	sentBytes atomic.Int64
}

// Write counts the bytes before it writes them, so that the bytes of a failed write
// count as sent.
func (c *CountingConn) Write(p []byte) (int, error) {
	c.sentBytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// SentBytes returns the number of bytes that may have been sent.
func (c *CountingConn) SentBytes() int64 {
	return c.sentBytes.Load()
}
