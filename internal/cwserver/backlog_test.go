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

// heldListener accepts nothing until the server stops it.
type heldListener struct {
	*net.TCPListener
	heldOnce    sync.Once
	held        chan struct{}
	releaseOnce sync.Once
	released    chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.heldOnce.Do(func() { close(l.held) })
	<-l.released
	return l.TCPListener.Accept()
}

func (l *heldListener) SetDeadline(deadline time.Time) error {
	defer l.releaseOnce.Do(func() { close(l.released) })
	return l.TCPListener.SetDeadline(deadline)
}

func (l *heldListener) Close() error {
	defer l.releaseOnce.Do(func() { close(l.released) })
	return l.TCPListener.Close()
}

// TestDrainAcceptsWaitingConnections guards against connections that are reset because they
// were established, but not accepted, when the listener was closed.
func TestDrainAcceptsWaitingConnections(t *testing.T) {
	const connCount = 20
	is := is.New(t)
	common, logs := newCommon(cwnet.NewTCP())
	s := cwserver.NewServer(common, "caller", "127.0.0.1:0", http.HandlerFunc(respondOK), cwserver.Limits{})
	raw, err := common.Net.Listen(t.Context(), s.Address())
	is.NoErr(err)
	l := &heldListener{TCPListener: raw.(*net.TCPListener), held: make(chan struct{}), released: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	conns := make([]net.Conn, connCount)
	for n := range conns {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		conns[n] = c
	}
	<-l.held
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context(), arrivalTimeout) }()
	<-l.released
	for _, c := range conns {
		_, err := io.WriteString(c, request)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		is.True(resp.Close)
	}
	is.NoErr(<-drained)
	is.NoErr(<-served)
	lines := logs.FilterMessage("listener closed").All()
	is.Equal(len(lines), 1)
	is.Equal(lines[0].ContextMap()["late"], int64(connCount))
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil) // no more connections
}
