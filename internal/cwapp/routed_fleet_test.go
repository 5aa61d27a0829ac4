package cwapp_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRequestIsServedAtHome checks that a request that may not be served in the region where
// it arrives is served in the home region of its route, and nowhere if that is unreachable.
func TestRequestIsServedAtHome(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		localWorker, homeWorker := s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("south-a", "10.2.1.1")
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		s.AwaitReady()
		time.Sleep(2 * time.Second) // the capacities of other domains arrive
		is.Equal(s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		is.Equal(len(homeWorker.Runs()), 1)
		s.Net.SetPartitioned(north.IP, south.IP, true)
		time.Sleep(6 * time.Second)
		resp := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"})
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.Equal(len(localWorker.Runs()), 0)
	})
}

// TestRetriesAreLimitedByEntryInstance checks that the exit does not retry a failed request
// on its own, so that the request is not run more often than its route allows.
func TestRetriesAreLimitedByEntryInstance(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"home-regions": []string{"south"}, "max-attempts": 2}))
		workers := []*cwstandin.Worker{s.AddWorker("south-a", "10.2.1.1"), s.AddWorker("south-a", "10.2.1.2"), s.AddWorker("south-a", "10.2.1.3")}
		for _, w := range workers {
			w.SetDefaultFault(cwstandin.FaultServerError)
		}
		north := s.AddInstance("10.1.0.1", "north-a")
		s.AddInstance("10.2.0.1", "south-a")
		s.AwaitReady()
		time.Sleep(2 * time.Second)
		is.Equal(s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusInternalServerError)
		is.True(len(collectRuns(workers)) <= 2)
	})
}

// TestInstancesRelaySoonAfterStart starts all instances at the same time. One second later,
// requests whose home is another region must be relayed there. Earlier requests may be
// refused with a short Retry-After.
func TestInstancesRelaySoonAfterStart(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		s.AddWorker("south-a", "10.2.1.1")
		var north []*cwscene.RoutedInstance
		for n := range 5 {
			north = append(north, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
			s.AddInstance(fmt.Sprintf("10.2.0.%d", n+1), "south-a")
		}
		for _, i := range north {
			s.Await(i.IsReady)
			resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
			if resp.Status != http.StatusOK {
				is.Equal(resp.Status, http.StatusServiceUnavailable)
				retryAfterSeconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(retryAfterSeconds <= 1.5)
			}
		}
		time.Sleep(time.Second)
		for _, i := range north {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		}
	})
}

// TestRelayedRequestsReuseConnection checks that an instance keeps relaying to the same
// instance of another domain over the open connection, and can still relay when all but one
// of the instances there are killed.
func TestRelayedRequestsReuseConnection(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		s.AddWorker("south-a", "10.2.1.1")
		north := s.AddInstance("10.1.0.1", "north-a")
		const oneWayDelay = 80 * time.Millisecond
		var south []*cwscene.RoutedInstance
		for n := range 5 {
			ip := fmt.Sprintf("10.2.0.%d", n+1)
			south = append(south, s.AddInstance(ip, "south-a"))
			s.Net.SetDelay(north.IP, ip, oneWayDelay)
		}
		s.AwaitReady()
		time.Sleep(3 * time.Second)
		relay := func() cwscene.RoutedResponse {
			return s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"})
		}
		is.Equal(relay().Status, http.StatusOK)
		for range 8 {
			time.Sleep(6 * time.Second)
			resp := relay()
			is.Equal(resp.Status, http.StatusOK)
			is.True(resp.Elapsed < 3*oneWayDelay) // a new connection takes an additional round trip
		}
		for _, i := range south[1:] {
			s.Kill(i)
		}
		s.Await(func() bool { return relay().Status == http.StatusOK })
	})
}

// TestDomainsWithoutSeedDiscoverEachOther checks that instances in domains without a seed
// peer discover the other domains, so that they can relay there.
func TestDomainsWithoutSeedDiscoverEachOther(t *testing.T) {
	inRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.RegionByDomain["west-a"] = "west"
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		s.AddInstance("10.1.0.1", "north-a") // the seed
		south, west := s.AddInstance("10.2.0.1", "south-a"), s.AddInstance("10.3.0.1", "west-a")
		s.AwaitReady()
		is.Equal(len(s.QueryDirectory(south, "west", "west-a")), 1)
		is.Equal(len(s.QueryDirectory(west, "south", "south-a")), 1)
	})
}

// TestStalledEndpointBehindAnExitIsReplaced relays a resumable stream to an endpoint that
// sends no event. The stream must start at another endpoint, and the first request must be
// aborted.
func TestStalledEndpointBehindAnExitIsReplaced(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.RegionByDomain["south-b"] = "south"
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{
			"home-regions": []string{"south"}, "max-attempts": 2, "resumable": true,
		}))
		workers := []*cwstandin.Worker{s.AddWorker("south-a", "10.2.1.1"), s.AddWorker("south-b", "10.3.1.1")}
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultHang)
		north := s.AddInstance("10.1.0.1", "north-a")
		s.AddInstance("10.2.0.1", "south-a")
		s.AddInstance("10.3.0.1", "south-b")
		s.AwaitReady()
		time.Sleep(2 * time.Second)
		resp := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "500,50"}})
		is.Equal(resp.Status, http.StatusOK)
		synctest.Wait() // the abort passes through the exit while the response is read
		is.Equal(len(collectRuns(workers)), 2)
		is.Equal(workers[0].AbortedRequests()+workers[1].AbortedRequests(), 1)
	})
}

// TestInstancesWithoutSeedDiscoverEachOther checks that the instances of a domain without a
// seed peer discover each other.
func TestInstancesWithoutSeedDiscoverEachOther(t *testing.T) {
	inRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		s.AddInstance("10.1.0.1", "north-a") // the seed
		a, b := s.AddInstance("10.2.0.1", "south-a"), s.AddInstance("10.2.0.2", "south-a")
		s.AwaitReady()
		is.Equal(s.QueryDirectory(a, "south", "south-a"), s.QueryDirectory(b, "south", "south-a"))
		is.Equal(len(s.QueryDirectory(a, "south", "south-a")), 2)
	})
}

// TestInstancesJoinSeedStartedLater checks that an instance that started while the seed peer
// was down joins it later.
func TestInstancesJoinSeedStartedLater(t *testing.T) {
	inRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		a := s.AddInstance("10.2.0.1", "south-a")
		s.Await(a.IsReady)
		time.Sleep(20 * time.Second)
		s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		is.Equal(len(s.QueryDirectory(a, "north", "north-a")), 1)
	})
}

// TestDirectoryRemovesKilledAndLeavingInstances checks that the directory omits a leaving
// instance within one second and a killed one within nine, so that callers are not directed
// to them.
func TestDirectoryRemovesKilledAndLeavingInstances(t *testing.T) {
	inRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		a, b, c := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.1.0.2", "north-a"), s.AddInstance("10.1.0.3", "north-a")
		s.AwaitReady()
		is.Equal(len(s.QueryDirectory(a, "north", "north-a")), 3)
		b.Stop()
		start := time.Now()
		s.Await(func() bool { return len(s.QueryDirectory(a, "north", "north-a")) == 2 })
		is.True(time.Since(start) < time.Second)
		is.True(!b.IsReady())
		s.Kill(c)
		start = time.Now()
		s.Await(func() bool { return len(s.QueryDirectory(a, "north", "north-a")) == 1 })
		is.True(time.Since(start) < 9*time.Second)
	})
}

// TestRoutedShutdownCompletesRequests checks that requests that arrive before and after the
// signal, on new connections, all succeed, and that the instance ends within the shutdown
// grace after the last of them.
func TestRoutedShutdownCompletesRequests(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", nil))
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		s.Net.SetDelay(cwscene.CallerIP, i.IP, 200*time.Millisecond)
		var wg sync.WaitGroup
		responses := make([]cwscene.RoutedResponse, 20)
		for n := range responses {
			if n == 5 {
				i.Stop()
			}
			wg.Go(func() {
				responses[n] = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		for _, resp := range responses {
			is.NoErr(resp.Err)
			is.Equal(resp.Status, http.StatusOK)
		}
		is.True(responses[19].ClosesConn)
		start := time.Now()
		<-i.Done()
		is.True(time.Since(start) < cwscene.DefaultBounds().ShutdownGrace)
	})
}

// TestColdEndpointRateHoldsAcrossInstances checks that a cold endpoint gets no more requests
// per second than its rate and slack allow, independent of the number of instances.
func TestColdEndpointRateHoldsAcrossInstances(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		const ratePerSecond = 1.5
		s.Publish(cwscene.NewEngineService(ratePerSecond), cwscene.NewRoute("r", "streaming", nil))
		s.AddInstance("10.1.0.1", "north-a") // the seed
		var instances []*cwscene.RoutedInstance
		for _, ip := range []string{"10.2.0.1", "10.2.0.2", "10.2.0.3", "10.2.0.4", "10.2.0.5"} {
			instances = append(instances, s.AddInstance(ip, "south-a"))
		}
		s.AwaitReady()
		time.Sleep(4 * time.Second) // longer than the delay after which instances may own cold endpoints
		w := cwstandin.NewWorker("cold")
		s.Serve("10.2.1.1:8010", w)
		s.RegisterWorker("cold", "south-a", "10.2.1.1", map[string]any{"cold-remaining-ms": 3000})
		for range 40 {
			for _, i := range instances {
				s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
			}
			time.Sleep(100 * time.Millisecond)
		}
		var firstStart time.Time
		var startTimes []time.Time
		for _, run := range w.Runs() {
			if firstStart.IsZero() {
				firstStart = run.ReceivedAt
			}
			if run.ReceivedAt.Sub(firstStart) < 2*time.Second {
				startTimes = append(startTimes, run.ReceivedAt)
			}
		}
		bounds := cwscene.DefaultBounds()
		is.True(len(startTimes) > 0)
		is.True(maxCountPerSecond(startTimes) <= int(ratePerSecond*bounds.ColdOverage+bounds.ColdSlack))
	})
}

// maxCountPerSecond returns the largest number of times within any one second.
func maxCountPerSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	maxCount := 0
	for i := range times {
		n := 0
		for _, other := range times[i:] {
			if other.Sub(times[i]) < time.Second {
				n++
			}
		}
		maxCount = max(maxCount, n)
	}
	return maxCount
}

// TestReadersWatchStoreForTheirDomain checks that the number of calls to the store does not
// grow with the number of instances in a domain, and that a change reaches all instances in
// time even if the readers are killed just before it.
func TestReadersWatchStoreForTheirDomain(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("old", "unsafe", nil))
		s.AddWorker("north-a", "10.1.1.1")
		var instances []*cwscene.RoutedInstance
		for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4", "10.1.0.5", "10.1.0.6"} {
			instances = append(instances, s.AddInstance(ip, "north-a"))
		}
		s.AwaitReady()
		time.Sleep(2 * time.Second)
		before, staleBefore := s.Store.Calls(), s.Store.StaleReads()
		time.Sleep(30 * time.Second)
		is.True(s.Store.Calls()-before <= 3*(30/8+1))         // three readers, each watch lasts 8 s
		is.True(s.Store.StaleReads()-staleBefore <= 3*(30+1)) // a probe each second
		var others []*cwscene.RoutedInstance
		for _, i := range instances {
			if i.IsReader() {
				s.Kill(i)
				continue
			}
			others = append(others, i)
		}
		is.Equal(len(others), 3)
		s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
		time.Sleep(4 * time.Second)
		for _, i := range others {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status, http.StatusOK)
		}
	})
}

// TestConfigArrivesWhenStoreRefusesReaders makes the store unavailable to all readers of a
// domain, by refusals or by a network partition. The other instances of the domain must
// still get a change in time.
func TestConfigArrivesWhenStoreRefusesReaders(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprint("partitioned ", partitioned), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("old", "unsafe", nil))
				s.AddWorker("north-a", "10.1.1.1")
				s.AddInstance("10.2.0.1", "south-a")
				var instances []*cwscene.RoutedInstance
				for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"} {
					instances = append(instances, s.AddInstance(ip, "north-a"))
				}
				s.AwaitReady()
				time.Sleep(5 * time.Second)
				var refused, others []*cwscene.RoutedInstance
				for _, i := range instances {
					if i.IsReader() {
						refused = append(refused, i)
						s.Net.SetPartitioned(i.IP, cwscene.StoreIP, partitioned)
						continue
					}
					others = append(others, i)
				}
				is.True(len(others) > 0)
				if !partitioned {
					s.Store.RefuseIf(func(remoteAddr string) bool {
						return slices.ContainsFunc(refused, func(i *cwscene.RoutedInstance) bool { return matchHost(i.IP)(remoteAddr) })
					})
				}
				time.Sleep(time.Second)
				s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
				time.Sleep(4 * time.Second)
				for _, i := range others {
					is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status, http.StatusOK)
				}
			})
		})
	}
}
