package cwnet

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// dialedConn is a connection that was dialed. Its Read returns io.EOF only if the peer ended the
// connection, and not if it was reset. The system reports a reset once, to whichever of the calls in
// progress comes first: if that is a write, the next read returns the end of the stream.
type dialedConn struct {
	*net.TCPConn
}

// Read reads from the connection.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && c.isClosed() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// isClosed reports whether the connection can't send any more: after the end of the peer's side alone
// it still can. If the system doesn't tell the state, it counts as open.
func (c *dialedConn) isClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) { isClosed = tcpState(fd) == unix.BPF_TCP_CLOSE })
	return err != nil || isClosed
}
