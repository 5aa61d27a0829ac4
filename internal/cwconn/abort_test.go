package cwconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// lingerNet counts connections that discard unsent data when they are closed.
type lingerNet struct {
	cwnet.Net
	discarding *atomic.Int32
}

type lingerConn struct {
	net.Conn
	discarding *atomic.Int32
	isSet      atomic.Bool
	isClosed   atomic.Bool
}

func (n lingerNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c, discarding: n.discarding}, nil
}

func (c *lingerConn) SetLinger(seconds int) error {
	c.isSet.Store(seconds == 0)
	return nil
}

func (c *lingerConn) Close() error {
	if c.isClosed.CompareAndSwap(false, true) && c.isSet.Load() {
		c.discarding.Add(1)
	}
	return c.Conn.Close()
}

// TestAbandonedRequestIsNotSentLater guards against a request that waits in a socket while the network
// is cut, is given up by its caller, and reaches the endpoint when the cut ends: the system goes on
// sending what a closed connection holds, unless it is told to discard it.
func TestAbandonedRequestIsNotSentLater(t *testing.T) {
	for _, keepsPending := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := cwmemnet.NewNetwork()
			defer n.Close()
			l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
			is.NoErr(err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(2 * time.Second)
				_, _ = io.WriteString(w, "late")
			})}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			var discarding atomic.Int32
			pool := cwconn.NewPool(lingerNet{n.Host("10.0.0.2"), &discarding})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			call := newCall("10.0.0.1:80")
			call.KeepsPending = keepsPending
			_, err = pool.Do(ctx, call)
			var callErr *cwconn.CallError
			is.True(errors.As(err, &callErr))
			if callErr.Pending != nil {
				callErr.Pending.Close()
			}
			synctest.Wait()
			is.Equal(discarding.Load(), int32(1))
			time.Sleep(3 * time.Second)
		})
	}
}
