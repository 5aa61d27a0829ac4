package cwapp

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwadmin"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwserver"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwsync"
	cwwire "github.com/clementinewell/clementinewell/platform"
)

// RoutedApp is an instance on the users' platform. It serves the routes that are
// published there.
type RoutedApp struct {
	*instance

	gate *cwgate.Gate
	// State is exported for tests.
	State *cwpublished.State
	// seedPeers are those of the settings that were applied last. After construction only
	// the goroutine that runs WatchSettings accesses them.
	seedPeers []string
	follower  *cwpublished.Follower
	// forwardingServers serve the requests of callers and those that other instances relay,
	// lookupServers the directory and the ready check, and controlServers other instances and
	// operators.
	forwardingServers, lookupServers, controlServers []*cwserver.Server
}

// directoryConnsShare and readyConnsShare are the parts, as divisors, of the connections allowed
// to callers that the directory and the ready check may have in addition: their peers send one short
// request after the other. At the smallest machines that is 358 and 89.
const (
	directoryConnsShare = 4
	readyConnsShare     = 16
)

// NewRoutedApp builds an instance without starting its servers and background loops.
func NewRoutedApp(settings *cwsetting.Settings, site *cwsite.Site, log *zap.Logger, n cwnet.Net) *RoutedApp {
	r := &RoutedApp{instance: newInstance(settings, log, n, site.MemoryBytes), seedPeers: site.SeedPeers}
	r.State = cwpublished.NewState(r.Common, cwwire.DecodeRecord)
	r.State.OnApply = func(p cwpublished.Position) {
		r.Control.TryPost(cwcontrol.PublishedApplied{Revision: uint64(p.Revision), KeptConfig: p.KeptConfig})
	}
	r.State.OnStoreContact = func(unreachable bool) { r.Control.TryPost(cwcontrol.SelfStoreUnreachable{IsUnreachable: unreachable}) }
	store := cwwire.NewStoreClient(site.StoreAddress, n, r.Budget)
	r.follower = cwpublished.NewFollower(r.Common, r.State, store, r.IsReader)
	r.gate = cwgate.NewGate(r.Common, site, r.Control, r.State, cwwire.Codec{}, newSeed())
	puller := cwsync.NewPublishedPuller(r.Common, r.State, r.peerClient, r.follower)
	r.exchanger = cwpeer.NewExchanger(r.Common, r.Control, r.peerClient, r.gate, puller)
	r.exchanger.Crashes, r.exchanger.Quotas = r.gate.Crashes(), r.gate.Quotas()
	spreader := cwpeer.NewCrashSpreader(r.Common, r.Control, r.peerClient, r.gate.Crashes())
	streamSpreader := cwpeer.NewStreamSpreader(r.Common, r.Control, r.peerClient, r.gate.Streams())
	r.gate.StreamFinder = streamSpreader
	r.gate.VersionHistory = cwpublished.NewVersionHistory(r.Common, r.State, store, site.StoreHistory)
	peerServer := cwpeer.NewServer(r.Common, r.Control, r.gate, cwpeer.Sources{Published: r.State, Crashes: r.gate.Crashes(), Quotas: r.gate.Quotas(), Streams: r.gate.Streams()}, puller, r.auth)
	adminHandler := cwadmin.NewRoutedHandler(r.Common, r.Control, r.State, r.gate, r.gate.Burn, r.metricsHandler, cwwire.ParsePromptParts)
	r.forwardingServers = []*cwserver.Server{
		cwserver.NewServer(r.Common, "caller", site.CallerAddress, cwwire.NewFrontHandler(r.gate), cwserver.Limits{Conns: settings.MaxConnections, Times: r.callerTimeLimits}),
		cwserver.NewServer(r.Common, "relay", site.RelayAddress, cwwire.NewRelayHandler(r.gate), cwserver.Limits{}),
	}
	for _, s := range r.forwardingServers {
		s.RequestID = cwwire.RequestID
	}
	r.lookupServers = []*cwserver.Server{
		cwserver.NewServer(r.Common, "ready", site.ReadyAddress, cwwire.NewReadyHandler(r.IsReady), cwserver.Limits{Conns: max(settings.MaxConnections/readyConnsShare, 1), EvictsUnused: true}),
		cwserver.NewServer(r.Common, "directory", site.DirectoryAddress, cwwire.NewDirectoryHandler(r), cwserver.Limits{Conns: max(settings.MaxConnections/directoryConnsShare, 1), EvictsUnused: true}),
	}
	r.controlServers = []*cwserver.Server{
		cwserver.NewServer(r.Common, "peer", site.PeerAddress, peerServer.Handler(), cwserver.Limits{}),
		cwserver.NewServer(r.Common, "admin", settings.AdminAddress, adminHandler.Mux(), cwserver.Limits{}),
	}
	r.servers = slices.Concat(r.forwardingServers, r.lookupServers, r.controlServers)
	r.loops = []loop{
		r.Control.Run,
		r.follower.Run,
		r.gate.Conns().Run,
		r.gate.RunColdChecks,
		r.gate.ObserveStreams,
		r.exchanger.Run,
		spreader.Run,
		streamSpreader.Run,
		newFreezeDetector(r.handleFreeze).Run,
	}
	return r
}

// callerTimeLimits returns the time limits of the configuration in force for callers.
func (r *RoutedApp) callerTimeLimits() (header, idle time.Duration) {
	config := r.State.View().Config
	if config == nil {
		return 0, 0
	}
	return config.Limits.HeaderTimeout, config.Limits.IdleTimeout
}

// IsReady reports whether callers may be directed to this instance.
func (r *RoutedApp) IsReady() bool {
	return r.Control.Snapshot().IsReady && r.State.View().Config != nil
}

// ResolveAddresses returns the addresses that callers in a region and domain should use for
// requests to the host, and the number of seconds for which they may cache them.
func (r *RoutedApp) ResolveAddresses(host, region, domain string) (addresses []string, ttlSeconds float64) {
	s := r.Control.Snapshot()
	members := s.MembersWithSelf()
	if !r.IsReady() && !s.Self.IsLeaving {
		members = s.Members
	}
	ttl := min(cwpolicy.DirectoryResponseTTL, r.gate.Bounds().MaxResponseAge)
	query := cwpolicy.DirectoryQuery{Region: region, Domain: domain}
	if config := r.State.View().Config; config != nil {
		query.HomeRegions = config.HomesOf(host)
	}
	return cwpolicy.SelectDirectoryAddresses(members, query, time.Now()), ttl.Seconds()
}

// IsReader reports whether this instance watches the store for its domain.
func (r *RoutedApp) IsReader() bool {
	s := r.Control.Snapshot()
	return cwpolicy.IsReader(s.Self.PeerAddress, s.Self.Domain, s.Members, cwpolicy.StoreReadersPerDomain, time.Now())
}

// handleFreeze makes an instance that was frozen confirm its state before it serves again.
func (r *RoutedApp) handleFreeze(frozenFor time.Duration) {
	r.Log.Warn("process was frozen", zap.Duration("stood", frozenFor))
	r.Control.TryPost(cwcontrol.SelfFrozen{})
	r.follower.Restart()
}

// Run serves until ctx is done, then shuts down gracefully. It returns an error if a server
// cannot listen on its address, or if a server or background loop fails.
func (r *RoutedApp) Run(ctx context.Context) error {
	return r.run(ctx, r.shutdown)
}

const (
	// acceptDuration is how long a leaving instance still accepts connections from callers
	// that have its address cached. It is slightly longer than the TTL of directory
	// responses; most of the shutdown grace remains for streams.
	acceptDuration = 2500 * time.Millisecond
	// shutdownMarginShare is the part of the shutdown grace, as a divisor, that remains when the
	// last streams are aborted, and maxShutdownMargin limits it. The platform kills the process at
	// the end of the grace. At the usual 8 s, requests get their responses in time even if the
	// process stands still for half a second, which the platform does not count as a disruption. The
	// platform excuses streams that are cut in the last sixth.
	shutdownMarginShare = 10
	maxShutdownMargin   = 800 * time.Millisecond
	// endMarginShare is the part of that margin, as a divisor, that remains when connections are
	// closed: meanwhile requests without a response get one. For that they have minResponseTime at
	// least, also if the process stood still when they were to end.
	endMarginShare  = 4
	minResponseTime = 100 * time.Millisecond
	// closeMarginShare is the part of it that remains when the other servers are closed.
	closeMarginShare = 8
)

// shutdown stops the instance gracefully: peers and callers are notified first, requests
// that still arrive are served for acceptDuration, and requests in flight get the rest of
// the shutdown grace. Meanwhile connections that callers have kept stay open; a request on one
// is served if it will be finished in time, and refused otherwise. Requests in flight that take
// longer get a response or, if it has begun, are broken off. The directory, the ready check and
// the interfaces for peers and operators are closed last.
func (r *RoutedApp) shutdown(ctx context.Context) {
	grace := r.gate.Bounds().ShutdownGrace
	graceEnd, margin := time.Now().Add(grace), min(grace/shutdownMarginShare, maxShutdownMargin)
	abortAt, closeAt := graceEnd.Add(-margin), graceEnd.Add(-margin/closeMarginShare)
	closeCtx, cancelClose := context.WithDeadline(ctx, closeAt)
	defer cancelClose()
	endCtx, cancelEnd := context.WithCancel(ctx)
	defer cancelEnd()
	ctx, cancel := context.WithDeadline(ctx, abortAt)
	defer cancel()
	r.Log.Info("shutdown begins", zap.Int("inFlight", r.gate.InFlight()))
	r.Control.Post(ctx, cwcontrol.SelfLeaving{})
	r.Control.Flush(ctx)
	for _, s := range slices.Concat(r.forwardingServers, r.lookupServers) {
		s.DisableKeepAlives()
	}
	go r.exchanger.Announce(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(acceptDuration):
	}
	r.gate.SetEnd(abortAt)
	stopEnd := context.AfterFunc(ctx, func() {
		r.Log.Warn("shutdown grace expired with requests in flight", zap.Int("inFlight", r.gate.InFlight()), zap.Error(ctx.Err()))
		r.gate.End()
		time.AfterFunc(max(time.Until(graceEnd)-margin/endMarginShare, minResponseTime), cancelEnd)
	})
	err := drainServers(endCtx, r.forwardingServers, requestArrivalTimeout)
	stopEnd()
	if err != nil {
		closeServers(r.forwardingServers)
	}
	// After an expired grace the time for requests on their way is short.
	lookupArrivalTimeout := min(requestArrivalTimeout, time.Until(closeAt)/2)
	err = errors.Join(drainServers(closeCtx, r.lookupServers, lookupArrivalTimeout), drainServers(closeCtx, r.controlServers, 0))
	if err != nil {
		r.Log.Warn("control connections closed with requests in progress", zap.Error(err))
	}
	closeServers(r.servers)
	r.gate.End()
	r.Log.Info("shutdown done")
}
