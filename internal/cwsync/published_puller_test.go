package cwsync_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwsync"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

const peerAddress = "10.0.0.2:8003"

// stubPeer is a peer whose published state is at revision 7 and has no items.
type stubPeer struct {
	cwproto.Peer
}

// FetchPublished returns an empty full state.
func (stubPeer) FetchPublished(context.Context, *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	return &cwproto.FetchPublishedResponse{Current: 7, Whole: true}, nil
}

// TestPullFetchesAfterOneOffer guards against a pull that waits for a second offer of
// the same revision, which delays the published state by over a second. An instance that
// is behind must fetch at once if the store is unreachable, and otherwise after the time
// that its own watch may take.
func TestPullFetchesAfterOneOffer(t *testing.T) {
	for _, c := range []struct {
		name             string
		storeUnreachable bool
		maxDuration      time.Duration
	}{
		{"store is unreachable", true, 100 * time.Millisecond},
		{"own watch may deliver it", false, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := cwmemnet.NewNetwork()
				defer network.Close()
				l, err := network.Host("10.0.0.2").Listen(t.Context(), peerAddress)
				is.NoErr(err)
				server := &http.Server{Handler: cwproto.NewPeerServer(stubPeer{})}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()

				common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope, Net: network.Host("10.0.0.1")}
				state := cwpublished.NewState(common, func(string, []byte) (*cwpublished.Record, error) { return nil, nil })
				state.Apply("store", cwpublished.Delta{Revision: 5, IsFull: true})
				state.SetStoreUnreachable(c.storeUnreachable)
				follower := cwpublished.NewFollower(common, state, nil, func() bool { return true })
				puller := cwsync.NewPublishedPuller(common, state, cwpeer.NewClient(common.Net, cwpeer.NewAuth(""), nil), follower)
				start := time.Now()
				puller.Pull(t.Context(), peerAddress, cwconfig.Version{Number: 7})
				is.Equal(state.Revision(), cwpublished.Revision(7))
				is.True(time.Since(start) <= c.maxDuration)
			})
		})
	}
}
