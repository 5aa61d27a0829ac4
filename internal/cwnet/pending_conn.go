package cwnet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPendingConn reports whether a connection waits to be accepted. It does not block. It
// returns false if the listener does not implement syscall.Conn.
func HasPendingConn(l net.Listener) bool {
	syscallConn, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	hasPending := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		hasPending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && hasPending
}
