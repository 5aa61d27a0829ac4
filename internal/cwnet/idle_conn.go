package cwnet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsIdleConnUsable reports whether an idle connection is still open and has no unread
// data. It does not block. A connection that does not implement syscall.Conn counts as
// usable.
func IsIdleConnUsable(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	isUsable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isUsable = err == unix.EAGAIN || err == unix.EINTR
	})
	return err == nil && isUsable
}
