package cwnet

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time after which a connection is closed if sent bytes are not
// acknowledged. It is derived from the time after which callers abandon a request, and
// it allows several retransmissions between regions.
const userTimeout = 1500 * time.Millisecond

// setUserTimeout sets the TCP user timeout, which limits the wait for the
// acknowledgement of sent bytes. Keep-alive probes do not cover this case: they are
// not sent while there are unacknowledged bytes.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
