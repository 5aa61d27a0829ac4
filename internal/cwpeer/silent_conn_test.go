package cwpeer_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
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
