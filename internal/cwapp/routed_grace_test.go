package cwapp_test

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRequestAtTheEndOfTheGraceGetsResponse guards against a connection that is closed without a
// response because its request is still in progress when the grace of a shutdown is over. The
// process must end within the grace all the same.
func TestRequestAtTheEndOfTheGraceGetsResponse(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 60_000}))
		s.AddWorker("north-a", "10.1.1.1").SetDefaultFault(cwstandin.FaultHang)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		responses := make(chan cwscene.RoutedResponse, 1)
		go func() {
			responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order", Timeout: time.Minute})
		}()
		synctest.Wait()
		start := time.Now()
		i.Stop()
		resp := <-responses
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusBadGateway) // it may have run
		<-i.Done()
		is.True(time.Since(start) < cwscene.DefaultBounds().ShutdownGrace)
	})
}

// TestResponsesAreWrittenWellBeforeTheEndOfTheGrace guards against requests that end without a
// response because the process stands still for a moment, is then late with their responses and is
// killed at the end of the grace. Beyond half a second the platform counts a machine as slowed.
func TestResponsesAreWrittenWellBeforeTheEndOfTheGrace(t *testing.T) {
	const requestCount, maxStall = 40, 500 * time.Millisecond
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 60_000}))
		s.AddWorker("north-a", "10.1.1.1").SetDefaultFault(cwstandin.FaultHang)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		responses := make(chan cwscene.RoutedResponse, requestCount)
		for range requestCount {
			go func() {
				responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order", Timeout: time.Minute})
			}()
		}
		synctest.Wait()
		start := time.Now()
		i.Stop()
		for range requestCount {
			is.NoErr((<-responses).Err)
		}
		is.True(cwscene.DefaultBounds().ShutdownGrace-time.Since(start) > maxStall)
		<-i.Done()
	})
}

// TestRequestsEndBeforeTheirConnectionsAreClosed guards against requests without a response after a
// process stood still at the end of its grace: the times at which it ends them and at which it closes
// their connections have both passed then. A grace that is shorter than all margins does the same.
func TestRequestsEndBeforeTheirConnectionsAreClosed(t *testing.T) {
	const requestCount = 40
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 60_000}))
		s.AddWorker("north-a", "10.1.1.1").SetDefaultFault(cwstandin.FaultHang)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		site := &cwsite.Site{SeedPeers: s.SeedPeers, Bounds: cwscene.DefaultBounds()}
		site.Bounds.ShutdownGrace = time.Millisecond
		signals := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go i.WatchSettings(ctx, signals, func() (*cwsite.Site, error) { return site, nil })
		signals <- syscall.SIGHUP
		responses := make(chan cwscene.RoutedResponse, requestCount)
		for range requestCount {
			go func() {
				responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order", Timeout: time.Minute})
			}()
		}
		synctest.Wait()
		i.Stop()
		for range requestCount {
			resp := <-responses
			is.NoErr(resp.Err)
			is.Equal(resp.Status, http.StatusBadGateway) // it may have run
		}
		<-i.Done()
	})
}

// TestReloadedBoundsHold guards against bounds that are read once at the start. After a reload
// with a shorter grace the process would be killed with requests in progress, and after one with
// a shorter time for responses of the directory callers would keep addresses for too long.
func TestReloadedBoundsHold(t *testing.T) {
	for _, c := range []struct {
		name                         string
		shutdownGrace, responseAge   time.Duration
		isSignalled                  bool
		wantEndAfter, wantEndWithin  time.Duration
		wantDirectoryResponseSeconds float64
	}{
		{"shorter", 5 * time.Second, time.Second, true, 4 * time.Second, 5 * time.Second, 1},
		{"longer", 14 * time.Second, 10 * time.Second, true, 13 * time.Second, 14 * time.Second, 2},
		{"without a signal", 5 * time.Second, time.Second, false, 4 * time.Second, 5 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 60_000}))
				s.AddWorker("north-a", "10.1.1.1").SetDefaultFault(cwstandin.FaultHang)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				site := &cwsite.Site{SeedPeers: s.SeedPeers, Bounds: cwscene.DefaultBounds()}
				site.Bounds.ShutdownGrace, site.Bounds.MaxResponseAge = c.shutdownGrace, c.responseAge
				signals := make(chan os.Signal, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go i.WatchSettings(ctx, signals, func() (*cwsite.Site, error) { return site, nil })
				if c.isSignalled {
					signals <- syscall.SIGHUP
				}
				time.Sleep(11 * time.Second)
				_, ttlSeconds := i.ResolveAddresses("", "north", "north-a")
				is.Equal(ttlSeconds, c.wantDirectoryResponseSeconds)
				responses := make(chan cwscene.RoutedResponse, 1)
				go func() {
					responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order", Timeout: time.Minute})
				}()
				synctest.Wait()
				start := time.Now()
				i.Stop()
				is.NoErr((<-responses).Err)
				is.True(time.Since(start) > c.wantEndAfter)
				<-i.Done()
				is.True(time.Since(start) < c.wantEndWithin)
			})
		})
	}
}
