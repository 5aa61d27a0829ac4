package cwapp_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	coldRatePerSecond = 1.5
	// coldTime is how long an endpoint is cold. It is longer than an endpoint that could not be
	// reached is suspected of a restart.
	coldTime = 12 * time.Second
	// unnoticedColdTime is the time after which all instances must know of a cold endpoint that
	// did not restart: the interval of two checks, and an exchange between the instances.
	unnoticedColdTime = 1700 * time.Millisecond
)

// coldScene is a region with one endpoint, at which more requests arrive than it takes while it
// is cold.
type coldScene struct {
	*cwscene.RoutedScene
	instances []*cwscene.RoutedInstance
	worker    *cwstandin.Worker
}

const coldWorkerIP = "10.1.1.1"

func newColdScene(s *cwscene.RoutedScene) *coldScene {
	services := cwscene.NewEngineService(coldRatePerSecond)
	services[0]["health-path"] = cwstandin.HealthPath
	s.Publish(services, cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
	c := &coldScene{RoutedScene: s, worker: s.AddWorker("north-a", coldWorkerIP)}
	for n := range 4 {
		c.instances = append(c.instances, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
	}
	s.AwaitReady()
	time.Sleep(10 * time.Second)
	return c
}

// load sends requests to the instances in turn for a time.
func (c *coldScene) load(t *testing.T, d time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		i := c.instances[n%len(c.instances)]
		wg.Go(func() { c.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()}) })
		time.Sleep(50 * time.Millisecond)
	}
}

// restart ends the worker's process. Another one starts a moment later, cold and under the same
// identifier.
func (c *coldScene) restart() {
	c.Net.KillHost(coldWorkerIP)
	time.Sleep(300 * time.Millisecond)
	c.Net.RestoreHost(coldWorkerIP)
	c.worker = cwstandin.NewWorker(c.worker.ID)
	c.Serve(coldWorkerIP+":8010", c.worker)
	c.worker.BecomeCold(coldTime)
}

// maxArrivalsPerSecond returns the largest number of requests and health checks within a second
// while the worker is cold, from a time on.
func (c *coldScene) maxArrivalsPerSecond(from, until time.Time) int {
	var arrivals []time.Time
	for _, run := range c.worker.Runs() {
		arrivals = append(arrivals, run.ReceivedAt)
	}
	var counted []time.Time
	for _, at := range append(arrivals, c.worker.HealthChecks()...) {
		if !at.Before(from) && at.Before(until) {
			counted = append(counted, at)
		}
	}
	return maxCountPerSecond(counted)
}

// TestColdEndpointIsNoticedWhileStoreIsSilent guards against endpoints that become cold while no
// entry can be read: a cold one that gets more than a low rate of requests crashes.
func TestColdEndpointIsNoticedWhileStoreIsSilent(t *testing.T) {
	for _, sc := range []struct {
		name       string
		becomeCold func(c *coldScene)
		unnoticed  time.Duration
	}{
		{"restarted", (*coldScene).restart, 0},
		{"without a restart", func(c *coldScene) { c.worker.BecomeCold(coldTime) }, unnoticedColdTime},
	} {
		for _, acceptsConns := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, accepts=%t", sc.name, acceptsConns), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					c := newColdScene(s)
					s.Net.SilenceHost(cwscene.StoreIP, acceptsConns)
					c.load(t, 5*time.Second)
					coldAt := time.Now()
					var wg sync.WaitGroup
					wg.Go(func() { sc.becomeCold(c) })
					c.load(t, coldTime+4*time.Second)
					wg.Wait()
					bounds := cwscene.DefaultBounds()
					busiest := c.maxArrivalsPerSecond(coldAt.Add(sc.unnoticed), coldAt.Add(coldTime))
					t.Logf("%d requests in a second, %d health checks", busiest, len(c.worker.HealthChecks()))
					is.True(busiest <= int(coldRatePerSecond*bounds.ColdOverage+bounds.ColdSlack))
					is.True(busiest > 0) // a cold endpoint serves what it can
					// Once it is warm it serves all again.
					is.True(c.maxArrivalsPerSecond(coldAt.Add(coldTime+time.Second), time.Now()) >= 18)
				})
			})
		}
	}
}

// TestHealthChecksAreSentOnlyWhileStoreIsSilent guards against health checks that cost more than
// they tell: none while entries can be read, and one a second at an endpoint otherwise.
func TestHealthChecksAreSentOnlyWhileStoreIsSilent(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		const silence = 10 * time.Second
		c := newColdScene(s)
		c.load(t, 10*time.Second)
		s.Net.SetPartitioned(c.instances[0].IP, cwscene.StoreIP, true)
		c.load(t, 10*time.Second)
		is.Equal(len(c.worker.HealthChecks()), 0) // the others of the domain read the store
		s.Net.SetPartitioned(c.instances[0].IP, cwscene.StoreIP, false)
		time.Sleep(5 * time.Second)
		s.Net.SilenceHost(cwscene.StoreIP, true)
		c.load(t, silence)
		s.Net.EndSilence(cwscene.StoreIP)
		checks := len(c.worker.HealthChecks())
		t.Logf("%d health checks in %v", checks, silence)
		is.True(checks > 0 && checks <= int(silence/time.Second))
		time.Sleep(3 * time.Second)
		checks = len(c.worker.HealthChecks())
		c.load(t, 10*time.Second)
		is.Equal(len(c.worker.HealthChecks()), checks)
	})
}
