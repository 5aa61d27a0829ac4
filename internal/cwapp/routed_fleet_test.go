package cwapp_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRequestIsServedAtHome: a request that may not be served in the caller's region is
// served at home, and nowhere if home can't be reached.
func TestRequestIsServedAtHome(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		here, home := s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("south-a", "10.2.1.1")
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		s.AwaitReady()
		time.Sleep(2 * time.Second) // the rooms of other domains arrive
		is.Equal(s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		is.Equal(len(home.Runs()), 1)
		s.Net.SetPartitioned(north.IP, south.IP, true)
		time.Sleep(6 * time.Second)
		a := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.Equal(len(here.Runs()), 0)
	})
}

// TestRetriesAreLimitedByEntryInstance: the exit does not run a failed request
// again by itself, so that no more endpoints run it than its route allows.
func TestRetriesAreLimitedByEntryInstance(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
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

// TestInstancesRelaySoonAfterStart: all instances start at once, and requests that are at home
// in another region find it a second after the start. Who comes before that is asked back
// soon.
func TestInstancesRelaySoonAfterStart(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		s.AddWorker("south-a", "10.2.1.1")
		var north []*cwscene.RoutedInstance
		for n := range 5 {
			north = append(north, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
			s.AddInstance(fmt.Sprintf("10.2.0.%d", n+1), "south-a")
		}
		for _, i := range north {
			s.Await(i.IsReady)
			a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
			if a.Status != http.StatusOK {
				is.Equal(a.Status, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after <= 1.5)
			}
		}
		time.Sleep(time.Second)
		for _, i := range north {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		}
	})
}

// TestRelayedRequestsReuseConnection: an instance relays to the same one of another
// domain again, over the connection that is open already; and to another one once that
// is gone.
func TestRelayedRequestsReuseConnection(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		s.AddWorker("south-a", "10.2.1.1")
		north := s.AddInstance("10.1.0.1", "north-a")
		const oneWay = 80 * time.Millisecond
		var south []*cwscene.RoutedInstance
		for n := range 5 {
			ip := fmt.Sprintf("10.2.0.%d", n+1)
			south = append(south, s.AddInstance(ip, "south-a"))
			s.Net.SetDelay(north.IP, ip, oneWay)
		}
		s.AwaitReady()
		time.Sleep(3 * time.Second)
		relay := func() cwscene.RoutedResponse {
			return s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"})
		}
		is.Equal(relay().Status, http.StatusOK)
		for range 8 {
			time.Sleep(6 * time.Second)
			a := relay()
			is.Equal(a.Status, http.StatusOK)
			is.True(a.Elapsed < 3*oneWay) // a new connection takes a round trip more
		}
		for _, i := range south[1:] {
			s.Kill(i)
		}
		s.Await(func() bool { return relay().Status == http.StatusOK })
	})
}

// TestDomainsWithoutSeedDiscoverEachOther: an instance in a domain without a seed learns of the other
// domains, so that it can relay there.
func TestDomainsWithoutSeedDiscoverEachOther(t *testing.T) {
	runInRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.RegionByDomain["west-a"] = "west"
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		s.AddInstance("10.1.0.1", "north-a") // the seed
		south, west := s.AddInstance("10.2.0.1", "south-a"), s.AddInstance("10.3.0.1", "west-a")
		s.AwaitReady()
		is.Equal(len(s.QueryDirectory(south, "west", "west-a")), 1)
		is.Equal(len(s.QueryDirectory(west, "south", "south-a")), 1)
	})
}

// TestStalledEndpointBehindAnExitIsReplaced: a stream that may be resumed and was relayed gets no
// event. It starts at another endpoint, and the first one is told to stop.
func TestStalledEndpointBehindAnExitIsReplaced(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
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
		a := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "500,50"}})
		is.Equal(a.Status, http.StatusOK)
		is.Equal(len(collectRuns(workers)), 2)
		is.Equal(workers[0].AbortedRequests()+workers[1].AbortedRequests(), 1)
	})
}

// TestInstancesWithoutSeedDiscoverEachOther: the instances of a domain in which no seed runs learn of
// each other.
func TestInstancesWithoutSeedDiscoverEachOther(t *testing.T) {
	runInRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		s.AddInstance("10.1.0.1", "north-a") // the seed
		a, b := s.AddInstance("10.2.0.1", "south-a"), s.AddInstance("10.2.0.2", "south-a")
		s.AwaitReady()
		is.Equal(s.QueryDirectory(a, "south", "south-a"), s.QueryDirectory(b, "south", "south-a"))
		is.Equal(len(s.QueryDirectory(a, "south", "south-a")), 2)
	})
}

// TestInstancesJoinSeedStartedLater: instances that started while the seed was down join it later.
func TestInstancesJoinSeedStartedLater(t *testing.T) {
	runInRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		a := s.AddInstance("10.2.0.1", "south-a")
		s.Await(a.IsReady)
		time.Sleep(20 * time.Second)
		s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		is.Equal(len(s.QueryDirectory(a, "north", "north-a")), 1)
	})
}

func TestDirectoryRemovesKilledAndLeavingInstances(t *testing.T) {
	runInRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
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

// TestRoutedShutdownCompletesRequests: requests that arrive before and after the signal, on new
// connections, are all answered, and the instance ends within its grace.
func TestRoutedShutdownCompletesRequests(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", nil))
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		s.Net.SetDelay(cwscene.CallerIP, i.IP, 200*time.Millisecond)
		var wg sync.WaitGroup
		answers := make([]cwscene.RoutedResponse, 20)
		for n := range answers {
			if n == 5 {
				i.Stop()
			}
			wg.Go(func() {
				answers[n] = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		for _, a := range answers {
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
		}
		is.True(answers[19].ClosesConn)
		start := time.Now()
		<-i.Done()
		is.True(time.Since(start) < cwscene.DefaultBounds().ShutdownGrace)
	})
}

// TestColdEndpointRateHoldsAcrossInstances: however many instances there are, a cold endpoint gets
// no more requests in any second than its rate and slack allow.
func TestColdEndpointRateHoldsAcrossInstances(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		const rate = 1.5
		s.Publish(cwscene.NewEngineService(rate), cwscene.NewRoute("r", "streaming", nil))
		s.AddInstance("10.1.0.1", "north-a") // the seed
		var instances []*cwscene.RoutedInstance
		for _, ip := range []string{"10.2.0.1", "10.2.0.2", "10.2.0.3", "10.2.0.4", "10.2.0.5"} {
			instances = append(instances, s.AddInstance(ip, "south-a"))
		}
		s.AwaitReady()
		time.Sleep(4 * time.Second) // until instances may own cold endpoints
		w := cwstandin.NewWorker("cold")
		s.Serve("10.2.1.1:8010", w)
		s.RegisterWorker("cold", "south-a", "10.2.1.1", map[string]any{"cold-remaining-ms": 3000})
		for range 40 {
			for _, i := range instances {
				s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
			}
			time.Sleep(100 * time.Millisecond)
		}
		var first time.Time
		var at []time.Time
		for _, run := range w.Runs() {
			if first.IsZero() {
				first = run.ReceivedAt
			}
			if run.ReceivedAt.Sub(first) < 2*time.Second {
				at = append(at, run.ReceivedAt)
			}
		}
		bounds := cwscene.DefaultBounds()
		is.True(len(at) > 0)
		is.True(maxCountPerSecond(at) <= int(rate*bounds.ColdOverage+bounds.ColdSlack))
	})
}

// maxCountPerSecond returns the largest number of times in any one second.
func maxCountPerSecond(at []time.Time) int {
	slices.SortFunc(at, time.Time.Compare)
	most := 0
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other.Sub(at[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestReadersWatchStoreForTheirDomain: the calls to the store do not grow with the
// instances of a domain, and a change still reaches all of them in time, also when
// the readers are killed at that moment.
func TestReadersWatchStoreForTheirDomain(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("old", "unsafe", nil))
		s.AddWorker("north-a", "10.1.1.1")
		var all []*cwscene.RoutedInstance
		for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4", "10.1.0.5", "10.1.0.6"} {
			all = append(all, s.AddInstance(ip, "north-a"))
		}
		s.AwaitReady()
		time.Sleep(2 * time.Second)
		before := s.Store.Calls()
		time.Sleep(30 * time.Second)
		is.True(s.Store.Calls()-before <= 3*(30/8+1)) // three readers, watches of 8 s
		var rest []*cwscene.RoutedInstance
		for _, i := range all {
			if i.IsReader() {
				s.Kill(i)
				continue
			}
			rest = append(rest, i)
		}
		is.Equal(len(rest), 3)
		s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
		time.Sleep(4 * time.Second)
		for _, i := range rest {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status, http.StatusOK)
		}
	})
}

// TestConfigArrivesWhenStoreRefusesReaders: the store turns all readers of a domain away, with
// an answer or in silence. The instance beside them still learns of a change in time.
func TestConfigArrivesWhenStoreRefusesReaders(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("old", "unsafe", nil))
				s.AddWorker("north-a", "10.1.1.1")
				s.AddInstance("10.2.0.1", "south-a")
				var all []*cwscene.RoutedInstance
				for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"} {
					all = append(all, s.AddInstance(ip, "north-a"))
				}
				s.AwaitReady()
				time.Sleep(5 * time.Second)
				var refused, rest []*cwscene.RoutedInstance
				for _, i := range all {
					if i.IsReader() {
						refused = append(refused, i)
						s.Net.SetPartitioned(i.IP, cwscene.StoreIP, silent)
						continue
					}
					rest = append(rest, i)
				}
				is.True(len(rest) > 0)
				if !silent {
					s.Store.RefuseIf(func(remote string) bool {
						return slices.ContainsFunc(refused, func(i *cwscene.RoutedInstance) bool { return matchHost(i.IP)(remote) })
					})
				}
				time.Sleep(time.Second)
				s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
				time.Sleep(4 * time.Second)
				for _, i := range rest {
					is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status, http.StatusOK)
				}
			})
		})
	}
}
