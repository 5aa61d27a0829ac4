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

const (
	peerAddress       = "10.0.0.2:8003"
	silentPeerAddress = "10.0.0.3:8003"
)

// stubPeer is a peer whose published state is at revision 7 and has no items.
type stubPeer struct {
	cwproto.Peer
}

// FetchPublished returns an empty full state.
func (stubPeer) FetchPublished(context.Context, *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	return &cwproto.FetchPublishedResponse{Current: 7, Whole: true}, nil
}

// silentPeer is a peer that never answers.
type silentPeer struct {
	cwproto.Peer
}

// FetchPublished waits until the call ends.
func (silentPeer) FetchPublished(ctx context.Context, _ *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// servePeer serves a peer until the test ends.
func servePeer(t *testing.T, network *cwmemnet.Network, ip, address string, peer cwproto.Peer) {
	t.Helper()
	l, err := network.Host(ip).Listen(t.Context(), address)
	is.New(t).NoErr(err)
	server := &http.Server{Handler: cwproto.NewPeerServer(peer)}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// newPuller returns a puller of an instance that is at revision 5, and its state.
func newPuller(network *cwmemnet.Network, storeUnreachable bool) (*cwsync.PublishedPuller, *cwpublished.State) {
	common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope, Net: network.Host("10.0.0.1")}
	state := cwpublished.NewState(common, func(string, []byte) (*cwpublished.Record, error) { return nil, nil })
	state.Apply("store", cwpublished.Delta{Revision: 5, IsFull: true})
	state.SetStoreUnreachable(storeUnreachable)
	follower := cwpublished.NewFollower(common, state, nil, func() bool { return true })
	return cwsync.NewPublishedPuller(common, state, cwpeer.NewClient(common.Net, cwpeer.NewAuth(""), nil), follower), state
}

// TestSilentPeerDelaysPullBySecond guards against a pull from a peer that has fallen silent
// after its offer, and that keeps the instance from pulling from another peer until its call
// times out.
func TestSilentPeerDelaysPullBySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := cwmemnet.NewNetwork()
		t.Cleanup(network.Close)
		servePeer(t, network, "10.0.0.2", peerAddress, stubPeer{})
		servePeer(t, network, "10.0.0.3", silentPeerAddress, silentPeer{})
		puller, state := newPuller(network, true)
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			puller.Pull(t.Context(), silentPeerAddress, cwconfig.Version{Number: 7})
		}()
		synctest.Wait()
		for state.Revision() < 7 && time.Since(start) < 5*time.Second {
			puller.Pull(t.Context(), peerAddress, cwconfig.Version{Number: 7})
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(start); took > 1200*time.Millisecond {
			t.Errorf("pulled after %v", took)
		}
		<-done
	})
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
				t.Cleanup(network.Close)
				servePeer(t, network, "10.0.0.2", peerAddress, stubPeer{})
				puller, state := newPuller(network, c.storeUnreachable)
				start := time.Now()
				puller.Pull(t.Context(), peerAddress, cwconfig.Version{Number: 7})
				is.Equal(state.Revision(), cwpublished.Revision(7))
				is.True(time.Since(start) <= c.maxDuration)
			})
		})
	}
}
