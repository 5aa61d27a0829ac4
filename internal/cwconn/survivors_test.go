package cwconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// TestSurvivors guards against an endpoint that counts as replaced because an idle connection was closed,
// and against one that doesn't although all its connections have ended.
func TestSurvivors(t *testing.T) {
	for _, sc := range []struct {
		name string
		// closesIdle and closesInUse are set if the peer closes the connection of an answered call and of
		// one in progress.
		closesIdle, closesInUse bool
		hasOpen, hasLost        bool
	}{
		{"none is closed", false, false, true, false},
		{"the idle one is closed", true, false, true, true},
		{"the one in use is closed", false, true, true, true},
		{"both are closed", true, true, false, true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			pool, address := cwconn.NewPool(cwnet.NewTCP()), l.Addr().String()
			idlePeer, idle := beginCall(t, pool, l)
			inUsePeer, inUse := beginCall(t, pool, l)
			defer inUse.Close()
			_, err = io.WriteString(idlePeer, "0\r\n\r\n")
			is.NoErr(err)
			_, err = io.ReadAll(idle)
			is.NoErr(err)
			if sc.closesIdle {
				is.NoErr(idlePeer.Close())
			}
			if sc.closesInUse {
				is.NoErr(inUsePeer.Close())
			}
			is.NoErr(awaitSurvivors(pool, address, sc.hasOpen, sc.hasLost))
		})
	}
}

// beginCall returns a call of which a part of the body has arrived, and its connection at the peer.
func beginCall(t *testing.T, pool *cwconn.Pool, l net.Listener) (net.Conn, *cwconn.Response) {
	is := is.New(t)
	began := make(chan *cwconn.Response, 1)
	go func() {
		response, err := pool.Do(t.Context(), newCall(l.Addr().String()))
		if err != nil {
			t.Error(err)
		}
		began <- response
	}()
	peer, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = peer.Close() })
	_, err = http.ReadRequest(bufio.NewReader(peer))
	is.NoErr(err)
	_, err = io.WriteString(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
	is.NoErr(err)
	return peer, <-began
}

// errSurvivors means that the connections did not reach the awaited state.
type errSurvivors struct{ hasOpen, hasLost bool }

func (e errSurvivors) Error() string { return "the connections are in another state" }

// awaitSurvivors waits until the closes have arrived.
func awaitSurvivors(pool *cwconn.Pool, address string, hasOpen, hasLost bool) error {
	at := time.Now()
	last := errSurvivors{}
	for deadline := at.Add(10 * time.Second); time.Now().Before(deadline); {
		last.hasOpen, last.hasLost = pool.Survivors(address, at)
		if last.hasOpen == hasOpen && last.hasLost == hasLost {
			return nil
		}
	}
	return last
}
