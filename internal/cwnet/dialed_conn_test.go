package cwnet_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// TestResetIsNoEnd guards against a body without a length that counts as complete although its
// connection was reset: the system reports a reset once, and if a write in progress gets the error, the
// next read returns the end of the stream.
func TestResetIsNoEnd(t *testing.T) {
	for _, sc := range []struct {
		name string
		// end ends the connection at the peer, which has read nothing.
		end   func(c *net.TCPConn) error
		isEnd bool
	}{
		{"reset", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, false},
		{"closed with unread bytes", (*net.TCPConn).Close, false},
		{"end of the writing side", (*net.TCPConn).CloseWrite, true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			conn, err := cwnet.NewTCP().DialContext(t.Context(), "tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			peer, err := l.Accept()
			is.NoErr(err)
			defer func() { _ = peer.Close() }()
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, 64<<20)) // more than fits into the buffers
				written <- err
			}()
			_, err = io.ReadFull(peer, make([]byte, 1))
			is.NoErr(err)
			_, err = io.WriteString(peer, "part")
			is.NoErr(err)
			is.NoErr(sc.end(peer.(*net.TCPConn)))
			if !sc.isEnd {
				is.True(<-written != nil) // the write gets the error
			}
			is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.ReadAll(conn) // ends with the first error; none for the end of the stream
			is.Equal(err == nil, sc.isEnd)
		})
	}
}
