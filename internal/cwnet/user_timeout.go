package cwnet

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay without acknowledgement before a
// connection counts as dead. It follows from the time within which callers give
// up on an answer, and leaves room for several retransmissions between regions.
const userTimeout = 1500 * time.Millisecond

// setUserTimeout bounds the silence of a connection that has sent something.
// Keep-alive probes don't run while unacknowledged bytes are on their way.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
