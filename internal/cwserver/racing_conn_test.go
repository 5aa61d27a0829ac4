package cwserver_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// racingConn delivers the first part of a request to the read that is waiting when the read
// deadline is set to the past, as if both happened at the same time.
type racingConn struct {
	net.Conn
	parts      []string
	isWaiting  atomic.Bool
	isOverdue  atomic.Bool
	wasAborted chan struct{}
}

func (c *racingConn) SetReadDeadline(deadline time.Time) error {
	isPast := !deadline.IsZero() && deadline.Before(time.Now())
	c.isOverdue.Store(isPast)
	if isPast && c.isWaiting.CompareAndSwap(true, false) {
		close(c.wasAborted)
	}
	return c.Conn.SetReadDeadline(deadline)
}

func (c *racingConn) Read(p []byte) (int, error) {
	if len(c.parts) == 2 {
		c.isWaiting.Store(true)
		<-c.wasAborted
	} else if c.isOverdue.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if len(c.parts) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.parts[0])
	c.parts = c.parts[1:]
	return n, nil
}

// singleListener accepts one connection.
type singleListener struct {
	net.Listener
	conns     chan net.Conn
	closeOnce sync.Once
}

func (l *singleListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *singleListener) Close() error {
	l.closeOnce.Do(func() { close(l.conns) })
	return nil
}

// TestDrainKeepsRequestReadWhileItIsClosed guards against a request that is cut off because
// its first bytes are read just as the waiting read is aborted.
func TestDrainKeepsRequestReadWhileItIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var requestCount atomic.Int32
		common, _ := newCommon(cwmemnet.NewNetwork().Host(serverIP))
		s := cwserver.NewServer(common, "caller", serverAddress, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			requestCount.Add(1)
		}), cwserver.Limits{})
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		go func() { _, _ = far.Read(make([]byte, 1<<10)) }()
		l := &singleListener{conns: make(chan net.Conn, 1)}
		l.conns <- &racingConn{Conn: near, parts: []string{request[:20], request[20:]}, wasAborted: make(chan struct{})}
		go func() { _ = s.Serve(l) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(s.Drain(ctx, 0))
		is.Equal(requestCount.Load(), int32(1))
	})
}
