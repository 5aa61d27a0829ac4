package cwapp

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwadmin"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwsync"
	cwwire "github.com/clementinewell/clementinewell/platform"
)

// RoutedApp is one instance on the users' platform: it serves the routes that are
// published there.
type RoutedApp struct {
	*instance
	// Gate and State are open to tests.
	Gate  *cwgate.Gate
	State *cwpublished.State

	site *cwsite.Site
	// seedPeers are those of the settings read last; only ReloadOn uses them.
	seedPeers    []string
	follower     *cwpublished.Follower
	callerServer *server
	relayServer  *server
}

// NewRoutedApp builds an instance that is not running yet.
func NewRoutedApp(settings *cwsetting.Settings, site *cwsite.Site, log *zap.Logger, n cwnet.Net) *RoutedApp {
	r := &RoutedApp{instance: newInstance(settings, log, n), site: site, seedPeers: site.SeedPeers}
	r.State = cwpublished.NewState(r.Common, cwwire.DecodeRecord)
	r.State.OnApply = func(revision uint64) { r.Control.TryPost(cwcontrol.PublishedApplied{Revision: revision}) }
	r.State.OnStoreContact = func(away bool) { r.Control.TryPost(cwcontrol.SelfStoreUnreachable{Unreachable: away}) }
	r.follower = cwpublished.NewFollower(r.Common, r.State, cwwire.NewStoreClient(site.StoreAddress, n), r.IsReader)
	r.Gate = cwgate.NewGate(r.Common, site, r.Control, r.State, cwwire.Codec{}, newSeed())
	puller := cwsync.NewPublishedPuller(r.Common, r.State, r.peerClient, r.follower)
	r.exchanger = cwpeer.NewExchanger(r.Common, r.Control, r.peerClient, r.Gate, puller)
	peers := cwpeer.NewServer(r.Common, r.Control, r.Gate, cwpeer.Sources{Published: r.State}, puller, r.auth)
	r.callerServer = r.newServer(site.CallerAddress, cwwire.NewFrontHandler(r.Gate), settings.MaxConnections)
	r.relayServer = r.newServer(site.RelayAddress, cwwire.NewRelayHandler(r.Gate), 0)
	admin := cwadmin.NewRoutedHandler(r.Common, r.Control, r.State, r.Gate, r.Gate.Burn, r.metricsHandler)
	r.servers = []*server{
		r.callerServer,
		r.relayServer,
		r.newServer(site.PeerAddress, peers.Handler(), 0),
		r.newServer(site.ReadyAddress, cwwire.NewReadyHandler(r.IsReady), 0),
		r.newServer(site.DirectoryAddress, cwwire.NewDirectoryHandler(r), 0),
		r.newServer(settings.AdminAddress, admin.Mux(), 0),
	}
	r.loops = []loop{
		r.Control.Run,
		r.follower.Run,
		r.Gate.Conns().Run,
		r.exchanger.Run,
		newFreezeDetector(r.handleFreeze).Run,
	}
	return r
}

// IsReady reports whether callers may be sent here.
func (r *RoutedApp) IsReady() bool {
	return r.Control.Snapshot().Ready && r.State.View().Config != nil
}

// ResolveAddresses returns the addresses that callers in a place should use for requests to
// the host.
func (r *RoutedApp) ResolveAddresses(host, region, domain string) (addresses []string, keepSeconds float64) {
	s := r.Control.Snapshot()
	members := s.MembersWithSelf()
	if !r.IsReady() && !s.Self.IsLeaving {
		members = s.Members
	}
	hold := min(cwpolicy.DirectoryResponseTTL, r.site.Bounds.MaxResponseAge)
	ask := cwpolicy.DirectoryQuery{Region: region, Domain: domain}
	if config := r.State.View().Config; config != nil {
		ask.HomeRegions = config.HomesOf(host)
	}
	return cwpolicy.SelectDirectoryAddresses(members, ask, time.Now()), hold.Seconds()
}

// storeReadersPerDomain is the number of instances of a domain that watch the store. The store
// may turn a third of the instances away and say nothing; three leave one in nearly
// all cases, and the others learn from other domains.
const storeReadersPerDomain = 3

// IsReader reports whether this instance watches the store for its domain.
func (r *RoutedApp) IsReader() bool {
	s := r.Control.Snapshot()
	return cwpolicy.IsReader(s.Self.PeerAddress, s.Self.Domain, s.Members, storeReadersPerDomain, time.Now())
}

// handleFreeze makes an instance that stood still ask before it serves again.
func (r *RoutedApp) handleFreeze(stood time.Duration) {
	r.Log.Warn("instance stood still", zap.Duration("stood", stood))
	r.Control.TryPost(cwcontrol.SelfFrozen{})
	r.follower.Restart()
}

// Run serves until ctx ends, then shuts down gracefully.
func (r *RoutedApp) Run(ctx context.Context) error {
	return r.run(ctx, r.shutdown)
}

const (
	// acceptDuration is how long a leaving instance goes on accepting connections, for
	// callers that still have its address. It is a little over the hold of the
	// directory's answers; most of the grace stays for streams.
	acceptDuration = 2500 * time.Millisecond
	// shutdownMargin is left of the grace when the last streams are cut off.
	shutdownMargin = 400 * time.Millisecond
)

// shutdown leaves without cutting off a request: peers and callers are told first,
// then what arrives goes down to nothing, and streams get the rest of the grace.
func (r *RoutedApp) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.site.Bounds.ShutdownGrace-shutdownMargin)
	defer cancel()
	r.Log.Info("shutdown begins", zap.Int("inFlight", r.Gate.InFlight()))
	r.Control.Post(ctx, cwcontrol.SelfLeaving{})
	r.Control.Flush(ctx)
	r.Gate.CloseConnections()
	go r.exchanger.Announce(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(acceptDuration):
	}
	var g errgroup.Group
	for _, s := range []*server{r.callerServer, r.relayServer} {
		g.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		r.Log.Warn("requests cut off by the shutdown", zap.Int("inFlight", r.Gate.InFlight()), zap.Error(err))
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.Log.Info("shutdown done")
}
