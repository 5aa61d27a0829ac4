package cwserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// abortedConn receives a request at the moment at which its first read is aborted: the bytes are
// in the socket's buffer, and the read returns its deadline's error.
type abortedConn struct {
	*net.TCPConn
	receive   func()
	abortOnce sync.Once
	aborted   chan struct{}
	reading   chan struct{}
	readOnce  sync.Once
}

func (c *abortedConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		defer c.abortOnce.Do(func() {
			c.receive()
			close(c.aborted)
		})
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

func (c *abortedConn) Read(p []byte) (int, error) {
	c.readOnce.Do(func() {
		close(c.reading)
		<-c.aborted
	})
	return c.TCPConn.Read(p)
}

// TestRequestThatMeetsAbortIsAnswered guards against a request that arrives between the look at
// an unused connection and its close, and is reset unread.
func TestRequestThatMeetsAbortIsAnswered(t *testing.T) {
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
	receive := func() {
		_, _ = io.WriteString(client, request)
		for cwnet.IsIdleConnUsable(raw) {
			continue
		}
	}
	c := &abortedConn{TCPConn: raw.(*net.TCPConn), receive: receive, aborted: make(chan struct{}), reading: make(chan struct{})}
	single := &singleListener{conns: make(chan net.Conn, 1)}
	single.conns <- c
	s := cwserver.NewServer(common, "caller", serverAddress, http.HandlerFunc(respondOK), cwserver.Limits{})
	go func() { _ = s.Serve(single) }()
	<-c.reading
	is.NoErr(s.Drain(t.Context(), 0))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
