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

// Write counts the bytes before it writes them, so that those of a write in progress count
// as sent. Afterwards it takes back what a failed write has not passed on.
func (c *CountingConn) Write(p []byte) (int, error) {
	c.sentBytes.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.sentBytes.Add(int64(n - len(p)))
	return n, err
}

// SentBytes returns the number of bytes that may have been sent.
func (c *CountingConn) SentBytes() int64 {
	return c.sentBytes.Load()
}
