package cwpeer_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwproto"
)

// slowPeer answers each call after a short time, so that two calls need two connections.
type slowPeer struct {
	cwproto.Peer
}

// FetchPublished returns an empty state.
func (slowPeer) FetchPublished(context.Context, *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	time.Sleep(10 * time.Millisecond)
	return &cwproto.FetchPublishedResponse{Current: 7}, nil
}

// TestSilentConnectionsCostOneTimeout guards against a client that keeps several connections to a
// peer which have gone silent for good, and that waits for the timeout of a call on each of them
// before it opens a new one.
func TestSilentConnectionsCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := cwmemnet.NewNetwork()
		defer network.Close()
		l, err := network.Host("10.0.0.2").Listen(t.Context(), "10.0.0.2:8003")
		is.NoErr(err)
		server := &http.Server{Handler: cwproto.NewPeerServer(slowPeer{})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		client := cwpeer.NewClient(network.Host("10.0.0.1"), cwpeer.NewAuth(""), cwlimit.NewBudget(0))
		fetch := func() error {
			_, err := client.FetchPublished(t.Context(), "10.0.0.2:8003", 5)
			return err
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { _ = fetch() })
		}
		wg.Wait()
		network.StallOpenConns("10.0.0.1", "10.0.0.2")
		is.True(fetch() != nil) // on a silent connection
		is.NoErr(fetch())       // on a new one
	})
}

// countingNet counts the connections that are opened.
type countingNet struct {
	cwnet.Net
	opened atomic.Int64
}

// DialContext opens a connection.
func (n *countingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n.opened.Add(1)
	return n.Net.DialContext(ctx, network, address)
}

// TestFrozenPeerKeepsConnectionsToOthers guards against an instance that accepts connections and is
// frozen: calls to it time out again and again, and each time cost the connections to all others.
func TestFrozenPeerKeepsConnectionsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := cwmemnet.NewNetwork()
		defer network.Close()
		l, err := network.Host("10.0.0.2").Listen(t.Context(), "10.0.0.2:8003")
		is.NoErr(err)
		server := &http.Server{Handler: cwproto.NewPeerServer(slowPeer{})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		n := &countingNet{Net: network.Host("10.0.0.1")}
		client := cwpeer.NewClient(n, cwpeer.NewAuth(""), cwlimit.NewBudget(0))
		frozen, err := network.Host("10.0.0.3").Listen(t.Context(), "10.0.0.3:8003")
		is.NoErr(err)
		defer func() { _ = frozen.Close() }()
		network.SilenceHost("10.0.0.3", true)
		const rounds = 5
		for range rounds {
			_, err = client.FetchPublished(t.Context(), "10.0.0.2:8003", 5)
			is.NoErr(err)
			_, err = client.FetchPublished(t.Context(), "10.0.0.3:8003", 5)
			is.True(err != nil)
		}
		is.Equal(n.opened.Load(), int64(rounds+1)) // one to the sound instance
	})
}
