package cwnet

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time after which a dialed connection is closed if sent bytes are not
// acknowledged, or if nothing is received and keep-alive probes are not answered. A sound host
// may be silent for a second and a half, and the connection must outlast the first packet
// after that: retransmissions follow the bytes by about 0.2, 0.6, 1.4 and 3 s, and probes
// follow the last byte received by 2, 3 and 4 s (keepAliveIdle, keepAliveInterval). Overdue
// attempts are moved sooner, without it.
const userTimeout = 5 * time.Second

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
