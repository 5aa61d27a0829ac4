package cwconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// TestSurvivors guards against an endpoint that counts as replaced because an idle connection was closed,
// and against one that doesn't although all its connections have ended: a call that broke off dials at
// once, and the next process accepts that.
func TestSurvivors(t *testing.T) {
	for _, sc := range []struct {
		name string
		// closesIdle and closesInUse are set if the peer closes the connection of an answered call and of
		// one in progress, and opensNew if another call begins at that moment.
		closesIdle, closesInUse, opensNew bool
		hasOpen, hasLost                  bool
	}{
		{"none is closed", false, false, false, true, false},
		{"the idle one is closed", true, false, false, true, true},
		{"the one in use is closed", false, true, false, true, true},
		{"both are closed", true, true, false, false, true},
		{"both are closed, and a new one is opened", true, true, true, false, true},
		{"a new one is opened", false, false, true, true, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := cwmemnet.NewNetwork()
				defer n.Close()
				l, err := n.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				pool := cwconn.NewPool(n.Host("10.0.0.2"))
				idlePeer, idle := beginCall(t, pool, l)
				inUsePeer, inUse := beginCall(t, pool, l)
				defer inUse.Close()
				_, err = io.WriteString(idlePeer, "0\r\n\r\n")
				is.NoErr(err)
				_, err = io.ReadAll(idle)
				is.NoErr(err)
				time.Sleep(time.Second)
				if sc.closesIdle {
					is.NoErr(idlePeer.Close())
				}
				if sc.closesInUse {
					is.NoErr(inUsePeer.Close())
				}
				synctest.Wait()
				if sc.opensNew {
					_, newOne := beginCall(t, pool, l)
					defer newOne.Close()
					time.Sleep(time.Millisecond)
				}
				hasOpen, hasLost := pool.Survivors("10.0.0.1:80", time.Now())
				is.Equal(hasOpen, sc.hasOpen)
				is.Equal(hasLost, sc.hasLost)
			})
		})
	}
}

// beginCall returns a call on a new connection, of which a part of the body has arrived, and its connection
// at the peer.
func beginCall(t *testing.T, pool *cwconn.Pool, l net.Listener) (net.Conn, *cwconn.Response) {
	is := is.New(t)
	began := make(chan *cwconn.Response, 1)
	go func() {
		call := newCall("10.0.0.1:80")
		call.ForceNewConn = true
		response, err := pool.Do(t.Context(), call)
		if err != nil {
			t.Error(err)
		}
		began <- response
	}()
	peer, err := l.Accept()
	is.NoErr(err)
	_, err = http.ReadRequest(bufio.NewReader(peer))
	is.NoErr(err)
	_, err = io.WriteString(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
	is.NoErr(err)
	return peer, <-began
}
