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
	_, isSupported, err := peek(conn)
	return !isSupported || err == unix.EAGAIN || err == unix.EINTR
}

// HasUnreadBytes reports whether the connection has received bytes that were not read. It does
// not block. It returns false if the connection does not implement syscall.Conn.
func HasUnreadBytes(conn net.Conn) bool {
	n, isSupported, err := peek(conn)
	return isSupported && err == nil && n > 0
}

// HasPeerClosed reports whether the peer has closed the connection, or it has failed, and all bytes were
// read. It does not block. It returns false if the connection does not implement syscall.Conn.
func HasPeerClosed(conn net.Conn) bool {
	n, isSupported, err := peek(conn)
	return isSupported && n == 0 && err != unix.EAGAIN && err != unix.EINTR
}

// IsEstablished reports whether neither side has ended the connection. It changes nothing, so that a call
// in progress still gets the error of a reset. isKnown is false if the system doesn't tell. Connections
// that are none of the system's tell it by a method.
func IsEstablished(conn net.Conn) (isEstablished, isKnown bool) {
	if c, ok := conn.(interface{ IsEstablished() bool }); ok {
		return c.IsEstablished(), true
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false, true
	}
	state := uint8(0)
	err = raw.Control(func(fd uintptr) { state = tcpState(fd) })
	if err != nil {
		return false, true
	}
	return state == unix.BPF_TCP_ESTABLISHED, state != 0
}

// tcpState returns the state of a TCP connection, 0 if the system doesn't tell.
func tcpState(fd uintptr) uint8 {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.State
}

// peek looks for a received byte without taking it. It returns false if the connection does
// not implement syscall.Conn.
func peek(conn net.Conn) (n int, isSupported bool, err error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, true, err
	}
	return n, true, peekErr
}
