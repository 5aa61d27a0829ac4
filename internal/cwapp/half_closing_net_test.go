package cwapp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// halfCloseAfter is the time after the end of a body at which a halfClosedConn ends.
const halfCloseAfter = 300 * time.Millisecond

// halfClosingNet is a network on which callers close the writing side of their connections some
// time after they have sent a body that ends with "order". It is used inside a synctest bubble.
type halfClosingNet struct {
	cwnet.Net
}

func (n halfClosingNet) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Net.Listen(ctx, address)
	if err != nil || !strings.HasSuffix(address, ":8001") {
		return l, err
	}
	return halfClosingListener{Listener: l}, nil
}

type halfClosingListener struct {
	net.Listener
}

func (l halfClosingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &halfClosedConn{Conn: c}, nil
}

// halfClosedConn ends for its reader, and can still be written to.
type halfClosedConn struct {
	net.Conn
	hasBody bool
}

func (c *halfClosedConn) Read(p []byte) (int, error) {
	if c.hasBody {
		time.Sleep(halfCloseAfter)
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.hasBody = bytes.HasSuffix(p[:n], []byte("order"))
	return n, err
}
