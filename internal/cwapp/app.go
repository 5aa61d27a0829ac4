// Package cwapp builds an instance from its parts and runs it.
package cwapp

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwadmin"
	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwentry"
	"github.com/clementinewell/clementinewell/internal/cwexit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsync"
)

// App is one instance.
type App struct {
	*cwcommon.Common
	// Control, Dispatcher and Burn are open to tests and to the command line.
	Control    *cwcontrol.Control
	Dispatcher *cwdispatch.Dispatcher
	Burn       *cwburn.Recorder

	client    *cwpeer.Client
	exchanger *cwpeer.Exchanger
	loops     []loop
	servers   []*server
	closers   []func() error
}

// loop is a part that runs until its context ends.
type loop func(ctx context.Context) error

// NewApp builds an instance that is not running yet.
func NewApp(settings *cwsetting.Settings, log *zap.Logger, n cwnet.Net) *App {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	metrics, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "clementinewell",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, time.Second)
	a := &App{Common: &cwcommon.Common{
		Log:         log.With(zap.String("instance", settings.CallerAddress)),
		Settings:    settings,
		Metrics:     metrics,
		Net:         n,
		Incarnation: newIncarnation(time.Now()),
	}}
	a.closers = append(a.closers, closer.Close)
	a.build(reporter.HTTPHandler())
	return a
}

func (a *App) build(metrics http.Handler) {
	auth := cwpeer.NewAuth(a.Settings.PeerKey)
	a.Control = cwcontrol.NewControl(a.Common, a.self())
	endpoints := cwendpoint.NewClient(a.Net)
	a.client = cwpeer.NewClient(a.Net, auth)
	a.Dispatcher = cwdispatch.NewDispatcher(a.Common, a.Control, endpoints, cwpeer.NewForwarder(a.Net, auth), newTicketKey(), newSeed())
	a.Burn = cwburn.NewRecorder(time.Now())
	reader := cwplatform.NewReader(a.Settings.Platform, a.Net)
	store := cwsync.NewManifestStore()
	config := cwsync.NewConfigFollower(a.Common, a.Control, reader, a.client, store)
	a.exchanger = cwpeer.NewExchanger(a.Common, a.Control, a.client, a.Dispatcher, config)
	a.addLoops(reader, config, endpoints)
	peers := cwpeer.NewServer(a.Common, a.Control, a.Dispatcher, store, config, auth)
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
		func(list []cwplatform.Entry) cwcontrol.Event { return cwcontrol.EntriesListed{Entries: list} })
	listed := cwsync.NewListFollower(a.Common, a.Control, reader, cwplatform.EndpointsKeyPrefix+a.Settings.Domain,
		func(list []cwplatform.EndpointEntry) cwcontrol.Event {
			return cwcontrol.EndpointsListed{Endpoints: list}
		})
	a.loops = []loop{
		a.Control.Run,
		a.Dispatcher.Run,
		config.Run,
		listed.Run,
		cwendpoint.NewPoller(a.Common, a.Control, endpoints).Run,
		cwendpoint.NewOrderer(a.Common, a.Control, endpoints).Run,
		func(ctx context.Context) error {
			// The first exchange needs the list of peers, if the platform has one.
			if err := entries.Step(ctx); err != nil {
				a.Log.Warn("instance list not read at start", zap.Error(err))
			}
			a.Control.Settle(ctx)
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error { return entries.Run(ctx) })
			g.Go(func() error { return a.exchanger.Run(ctx) })
			return g.Wait()
		},
	}
}

func (a *App) self() cwpolicy.Member {
	m := cwpolicy.Member{
		Address:       a.Settings.PeerAddress,
		CallerAddress: a.Settings.CallerAddress,
		Region:        a.Settings.Region,
		Domain:        a.Settings.Domain,
		Size:          a.Settings.Size,
	}
	m.Incarnation = a.Incarnation
	m.HeardAt = time.Now()
	return m
}

// randomIncarnationBits tell processes apart that start in the same millisecond.
const randomIncarnationBits = 22

// newIncarnation returns a number that orders the lives of one address by their
// start and is unlike that of any other process.
func newIncarnation(now time.Time) uint64 {
	random := newSeed() >> (64 - randomIncarnationBits)
	return uint64(now.UnixMilli())<<randomIncarnationBits | random
}

func newTicketKey() cwpolicy.TicketKey {
	var key cwpolicy.TicketKey
	_, _ = rand.Read(key[:])
	return key
}

func newSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// server is one HTTP interface.
type server struct {
	*http.Server
	address string
}

func (a *App) newServer(address string, handler http.Handler, most int) *server {
	return &server{address: address, Server: &http.Server{
		ConnState:         limitConns(most),
		Handler:           handler,
		ReadHeaderTimeout: a.Settings.HeaderTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    a.Settings.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(a.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}}
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if
// an address can't be listened on.
func (a *App) Run(ctx context.Context) error {
	listeners := make([]net.Listener, 0, len(a.servers))
	for _, s := range a.servers {
		l, err := a.Net.Listen(ctx, s.address)
		if err != nil {
			return fmt.Errorf("start instance: %w", err)
		}
		listeners = append(listeners, l)
	}
	// The loops outlive ctx: a shutdown still needs control and exchanges.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	g, gctx := errgroup.WithContext(loopCtx)
	for _, run := range a.loops {
		g.Go(func() error { return run(gctx) })
	}
	for i, s := range a.servers {
		g.Go(func() error { return ignoreClosed(s.Serve(listeners[i])) })
	}
	a.Log.Info("instance started", zap.Uint64("incarnation", a.Incarnation), zap.String("region", a.Settings.Region), zap.String("domain", a.Settings.Domain))
	select {
	case <-ctx.Done():
	case <-gctx.Done():
	}
	a.shutdown(context.WithoutCancel(ctx))
	stopLoops()
	err := g.Wait()
	for _, c := range a.closers {
		_ = c()
	}
	return err
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}
