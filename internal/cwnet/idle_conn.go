package cwnet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsIdleConnUsable reports whether an idle connection is open and nothing has arrived on it.
// It does not wait. A connection that can't be looked at counts as quiet.
func IsIdleConnUsable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EINTR
	})
	return err == nil && quiet
}
