package cwserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// heldConn holds up the goroutine that serves it, before or within its first read, until the
// drain has looked at the connection.
type heldConn struct {
	*net.TCPConn
	holdsRead   bool
	holdOnce    sync.Once
	held        chan struct{}
	releaseOnce sync.Once
	released    chan struct{}
}

func (c *heldConn) hold() {
	c.holdOnce.Do(func() {
		close(c.held)
		<-c.released
	})
}

func (c *heldConn) release() {
	c.releaseOnce.Do(func() { close(c.released) })
}

// SetReadDeadline is called by net/http before the first read, and by the drain.
func (c *heldConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		defer c.release()
	} else if !c.holdsRead {
		c.hold()
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// SyscallConn is called to look for unread bytes.
func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	defer c.release()
	return c.TCPConn.SyscallConn()
}

func (c *heldConn) Read(p []byte) (int, error) {
	if c.holdsRead {
		c.hold()
	}
	return c.TCPConn.Read(p)
}

// TestDrainAnswersRequestInSocketBuffer guards against a request that has arrived and is
// lost because the goroutine that would read it was slower than the drain.
func TestDrainAnswersRequestInSocketBuffer(t *testing.T) {
	for name, holdsRead := range map[string]bool{"before the read": false, "in the read": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			common, _ := newCommon(cwnet.NewTCP())
			l, err := common.Net.Listen(t.Context(), "127.0.0.1:0")
			is.NoErr(err)
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = client.Close() }()
			raw, err := l.Accept()
			is.NoErr(err)
			_ = l.Close()
			// The request is in the socket's buffer before the server sees the connection.
			_, err = io.WriteString(client, request)
			is.NoErr(err)
			for cwnet.IsIdleConnUsable(raw) {
				continue
			}
			c := &heldConn{TCPConn: raw.(*net.TCPConn), holdsRead: holdsRead, held: make(chan struct{}), released: make(chan struct{})}
			single := &singleListener{conns: make(chan net.Conn, 1)}
			single.conns <- c
			s := cwserver.NewServer(common, "caller", serverAddress, http.HandlerFunc(respondOK), cwserver.Limits{})
			go func() { _ = s.Serve(single) }()
			<-c.held
			is.NoErr(s.Drain(t.Context(), 0))
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}
