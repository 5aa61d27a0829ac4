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
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsync"
)

// App is one instance that serves the services of published service files.
type App struct {
	*instance
	// Dispatcher and Burn are open to tests and to the command line.
	Dispatcher *cwdispatch.Dispatcher
	Burn       *cwburn.Recorder
}

// NewApp builds an instance that is not running yet.
func NewApp(settings *cwsetting.Settings, log *zap.Logger, n cwnet.Net) *App {
	a := &App{instance: newInstance(settings, log, n)}
	a.build(a.metricsHandler)
	return a
}

func (a *App) build(metrics http.Handler) {
	auth := a.auth
	endpoints := cwendpoint.NewClient(a.Net)
	a.Dispatcher = cwdispatch.NewDispatcher(a.Common, a.Control, endpoints, cwpeer.NewForwarder(a.Net, auth), newTicketKey(), newSeed())
	a.Burn = cwburn.NewRecorder(time.Now())
	reader := cwplatform.NewReader(a.Settings.Platform, a.Net)
	store := cwsync.NewManifestStore()
	config := cwsync.NewConfigFollower(a.Common, a.Control, reader, a.peerClient, store)
	a.exchanger = cwpeer.NewExchanger(a.Common, a.Control, a.peerClient, a.Dispatcher, config)
	a.addLoops(reader, config, endpoints)
	peers := cwpeer.NewServer(a.Common, a.Control, a.Dispatcher, cwpeer.Sources{Manifests: store}, config, auth)
	peerMux := http.NewServeMux()
	peerMux.Handle(peers.PathPrefix(), peers.Handler())
	peerMux.Handle("POST "+cwpeer.ForwardPath, cwexit.NewHandler(a.Common, a.Control, a.Dispatcher, auth))
	callers := cwentry.NewHandler(a.Common, a.Control, a.Dispatcher, a.Burn)
	admin := cwadmin.NewHandler(a.Common, a.Control, a.Dispatcher, a.Burn, metrics)
	a.servers = []*server{
		a.newServer(a.Settings.CallerAddress, callers.Mux(), a.Settings.MaxConnections),
		a.newServer(a.Settings.PeerAddress, peerMux, 0),
		a.newServer(a.Settings.AdminAddress, admin.Mux(), 0),
	}
}

func (a *App) addLoops(reader *cwplatform.Reader, config *cwsync.ConfigFollower, endpoints *cwendpoint.Client) {
	entries := cwsync.NewListFollower(a.Common, a.Control, reader, cwplatform.EntriesKey,
		func(list []cwplatform.EntryInstance) cwcontrol.Event { return cwcontrol.EntriesListed{Entries: list} })
	listed := cwsync.NewListFollower(a.Common, a.Control, reader, cwplatform.EndpointsKeyPrefix+a.Settings.Domain,
		func(list []cwplatform.ListedEndpoint) cwcontrol.Event {
			return cwcontrol.EndpointsListed{Endpoints: list}
		})
	a.loops = []loop{
		a.Control.Run,
		a.Dispatcher.Run,
		config.Run,
		listed.Run,
		cwendpoint.NewPoller(a.Common, a.Control, endpoints).Run,
		cwendpoint.NewOrderSender(a.Common, a.Control, endpoints).Run,
		func(ctx context.Context) error {
			// The first exchange needs the list of peers, if the platform has one.
			if err := entries.Step(ctx); err != nil {
				a.Log.Warn("instance list not read at start", zap.Error(err))
			}
			a.Control.Flush(ctx)
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error { return entries.Run(ctx) })
			g.Go(func() error { return a.exchanger.Run(ctx) })
			return g.Wait()
		},
	}
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if
// an address can't be listened on.
func (a *App) Run(ctx context.Context) error {
	return a.run(ctx, a.shutdown)
}
