package cwnet_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// TestSlowReaderIsNotTimedOut guards against a response that is cut off because its caller reads
// slowly: with a TCP user timeout the system resets a connection whose window is closed for so long,
// although its peer acknowledges every probe.
func TestSlowReaderIsNotTimedOut(t *testing.T) {
	is := is.New(t)
	n := cwnet.NewTCP()
	l, err := n.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialed, err := n.DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = dialed.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	is.Equal(tcpOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 0)
	is.Equal(tcpOption(t, accepted, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1) // a vanished peer is still detected
	is.True(tcpOption(t, dialed, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) > 0)
}

func tcpOption(t *testing.T, c net.Conn, level, option int) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	var optErr error
	if err := raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), level, option) }); err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
	return value
}
