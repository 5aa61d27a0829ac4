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

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwserver"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

// instance holds the parts common to App and RoutedApp, which embed it: control, the
// exchange with peers, background loops and servers.
type instance struct {
	*cwcommon.Common
	// Control is exported for tests.
	Control *cwcontrol.Control

	auth           *cwpeer.Auth
	peerClient     *cwpeer.Client
	exchanger      *cwpeer.Exchanger
	metricsHandler http.Handler
	loops          []loop
	servers        []*cwserver.Server
	closers        []func() error
}

// loop is a background task that runs until its context is done.
type loop func(ctx context.Context) error

// newInstance builds the common parts. memoryBytes is the memory limit of the process, 0 if it
// is not known.
func newInstance(settings *cwsetting.Settings, log *zap.Logger, n cwnet.Net, memoryBytes int64) *instance {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	metrics, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "clementinewell",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        newSanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, settings.MetricsInterval)
	i := &instance{
		Common: &cwcommon.Common{
			Log:         log.With(zap.String("instance", settings.CallerAddress)),
			Settings:    settings,
			Metrics:     metrics,
			Net:         n,
			Budget:      cwlimit.NewBudget(memoryBytes),
			Requests:    cwlimit.NewRequestBudget(memoryBytes),
			Incarnation: newIncarnation(time.Now()),
		},
		auth:           cwpeer.NewAuth(settings.PeerKey),
		metricsHandler: reporter.HTTPHandler(),
		closers:        []func() error{closer.Close},
	}
	i.Control = cwcontrol.NewControl(i.Common, i.newSelfMember())
	i.peerClient = cwpeer.NewClient(n, i.auth, i.Budget)
	return i
}

func (i *instance) newSelfMember() cwpolicy.Member {
	m := cwpolicy.Member{
		PeerAddress:   i.Settings.PeerAddress,
		CallerAddress: i.Settings.CallerAddress,
		Region:        i.Settings.Region,
		Domain:        i.Settings.Domain,
		Size:          i.Settings.Size,
	}
	m.Incarnation = i.Incarnation
	m.LastContactAt = time.Now()
	return m
}

// randomIncarnationBits distinguish processes that start in the same millisecond.
const randomIncarnationBits = 22

// newIncarnation returns a number that identifies this process and orders the processes
// that run at the same address by their start time.
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

// run serves until ctx is done or a loop or server fails, then calls shutdown. If ctx is
// done, the loops keep running during the shutdown, which needs control and exchanges. If a
// loop or server fails, the loops stop before the shutdown.
func (i *instance) run(ctx context.Context, shutdown func(ctx context.Context)) error {
	listeners := make([]net.Listener, 0, len(i.servers))
	for _, s := range i.servers {
		listener, err := i.Net.Listen(ctx, s.Address())
		if err != nil {
			return fmt.Errorf("start instance: %w", err)
		}
		listeners = append(listeners, listener)
	}
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	g, gctx := errgroup.WithContext(loopCtx)
	for _, run := range i.loops {
		g.Go(func() error { return run(gctx) })
	}
	for n, s := range i.servers {
		g.Go(func() error { return s.Serve(listeners[n]) })
	}
	i.Log.Info("instance started", zap.Uint64("incarnation", i.Incarnation), zap.String("region", i.Settings.Region), zap.String("domain", i.Settings.Domain))
	select {
	case <-ctx.Done():
	case <-gctx.Done():
	}
	shutdown(context.WithoutCancel(ctx))
	stopLoops()
	err := g.Wait()
	for _, closeFn := range i.closers {
		_ = closeFn()
	}
	return err
}

// requestArrivalTimeout is how long a connection without a request stays open after its
// listener was closed. It allows for a round trip between regions, twice.
const requestArrivalTimeout = 400 * time.Millisecond

// drainServers drains servers at the same time. It returns the error of ctx if it ends before
// all connections are closed.
func drainServers(ctx context.Context, servers []*cwserver.Server, arrivalTimeout time.Duration) error {
	var g errgroup.Group
	for _, s := range servers {
		g.Go(func() error { return s.Drain(ctx, arrivalTimeout) })
	}
	return g.Wait()
}

// closeServers closes servers with all their connections.
func closeServers(servers []*cwserver.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}
