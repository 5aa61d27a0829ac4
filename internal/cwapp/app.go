// Package cwapp builds an instance from its parts and runs it.
package cwapp

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwadmin"
	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwentry"
	"github.com/clementinewell/clementinewell/internal/cwexit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwserver"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsync"
)

// App is an instance that serves services defined by published service files.
type App struct {
	*instance

	dispatcher *cwdispatch.Dispatcher
	burn       *cwburn.Recorder
}

// NewApp builds an instance without starting its servers and background loops.
func NewApp(settings *cwsetting.Settings, log *zap.Logger, n cwnet.Net) *App {
	a := &App{instance: newInstance(settings, log, n, 0)}
	a.build(a.metricsHandler)
	return a
}

func (a *App) build(metrics http.Handler) {
	auth := a.auth
	endpointClient := cwendpoint.NewClient(a.Net)
	a.dispatcher = cwdispatch.NewDispatcher(a.Common, a.Control, endpointClient, cwpeer.NewForwarder(a.Net, auth), newTicketKey(), newSeed())
	a.burn = cwburn.NewRecorder(time.Now())
	platformReader := cwplatform.NewReader(a.Settings.Platform, a.Net, a.Budget)
	manifests := cwsync.NewManifestStore()
	configFollower := cwsync.NewConfigFollower(a.Common, a.Control, platformReader, a.peerClient, manifests)
	a.exchanger = cwpeer.NewExchanger(a.Common, a.Control, a.peerClient, a.dispatcher, configFollower)
	a.addLoops(platformReader, configFollower, endpointClient)
	peerServer := cwpeer.NewServer(a.Common, a.Control, a.dispatcher, cwpeer.Sources{Manifests: manifests}, configFollower, auth)
	peerMux := http.NewServeMux()
	peerMux.Handle(peerServer.PathPrefix(), peerServer.Handler())
	peerMux.Handle("POST "+cwpeer.ForwardPath, cwexit.NewHandler(a.Common, a.Control, a.dispatcher, auth))
	callerHandler := cwentry.NewHandler(a.Common, a.Control, a.dispatcher, a.burn)
	adminHandler := cwadmin.NewHandler(a.Common, a.Control, a.dispatcher, a.burn, metrics)
	a.servers = []*cwserver.Server{
		cwserver.NewServer(a.Common, "caller", a.Settings.CallerAddress, callerHandler.Mux(), cwserver.Limits{Conns: a.Settings.MaxConnections}),
		cwserver.NewServer(a.Common, "peer", a.Settings.PeerAddress, peerMux, cwserver.Limits{}),
		cwserver.NewServer(a.Common, "admin", a.Settings.AdminAddress, adminHandler.Mux(), cwserver.Limits{}),
	}
}

func (a *App) addLoops(platformReader *cwplatform.Reader, configFollower *cwsync.ConfigFollower, endpointClient *cwendpoint.Client) {
	entryFollower := cwsync.NewListFollower(a.Common, a.Control, platformReader, cwplatform.EntriesKey,
		func(list []cwplatform.EntryInstance) cwcontrol.Event { return cwcontrol.EntriesListed{Entries: list} })
	endpointFollower := cwsync.NewListFollower(a.Common, a.Control, platformReader, cwplatform.EndpointsKeyPrefix+a.Settings.Domain,
		func(list []cwplatform.ListedEndpoint) cwcontrol.Event {
			return cwcontrol.EndpointsListed{Endpoints: list}
		})
	a.loops = []loop{
		a.Control.Run,
		a.dispatcher.Run,
		configFollower.Run,
		endpointFollower.Run,
		cwendpoint.NewPoller(a.Common, a.Control, endpointClient).Run,
		cwendpoint.NewOrderSender(a.Common, a.Control, endpointClient).Run,
		func(ctx context.Context) error {
			// The first exchange needs the list of peers if the platform provides one.
			if err := entryFollower.Step(ctx); err != nil {
				a.Log.Warn("instance list not read at start", zap.Error(err))
			}
			a.Control.Flush(ctx)
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error { return entryFollower.Run(ctx) })
			g.Go(func() error { return a.exchanger.Run(ctx) })
			return g.Wait()
		},
	}
}

// Run serves until ctx is done, then shuts down gracefully. It returns an error if a server
// cannot listen on its address, or if a server or background loop fails.
func (a *App) Run(ctx context.Context) error {
	return a.run(ctx, a.shutdown)
}
