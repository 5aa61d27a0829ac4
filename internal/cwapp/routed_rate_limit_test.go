package cwapp_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// rateLimitSettling is the time after which a limit that an endpoint names holds.
const rateLimitSettling = 6 * time.Second

// limitedScene is a scene with endpoints that name rate limits, and steady load.
type limitedScene struct {
	*cwscene.RoutedScene
	t         *testing.T
	is        *is.I
	instances []*cwscene.RoutedInstance
	wg        sync.WaitGroup
	mu        sync.Mutex
	responses []cwscene.RoutedResponse
}

// inLimitedScene runs a test with instances in north-a.
func inLimitedScene(t *testing.T, instanceCount int, run func(s *limitedScene)) {
	t.Helper()
	inRoutedScene(t, func(t *testing.T, is *is.I, scene *cwscene.RoutedScene) {
		s := &limitedScene{RoutedScene: scene, t: t, is: is}
		s.Publish(nil, cwscene.NewRoute("r", "safe", nil))
		for n := range instanceCount {
			s.instances = append(s.instances, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
		}
		run(s)
	})
}

// addWorkers adds two endpoints to north-a. The second one is slower, so that requests prefer
// the first.
func (s *limitedScene) addWorkers() (fast, slow *cwstandin.Worker) {
	fast, slow = s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")
	slow.SetServiceTime(100 * time.Millisecond)
	return fast, slow
}

// load sends requests to an instance at a steady rate for a time, without waiting for the
// responses. Callers with different offsets don't send at the same moments.
func (s *limitedScene) load(i *cwscene.RoutedInstance, perSecond float64, offset, duration time.Duration) {
	s.wg.Go(func() {
		time.Sleep(offset)
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
			s.wg.Go(func() {
				resp := s.Do(s.t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
				s.mu.Lock()
				defer s.mu.Unlock()
				s.responses = append(s.responses, resp)
			})
		}
	})
}

// loadAll sends requests to all instances at the rate for each.
func (s *limitedScene) loadAll(perSecond float64, duration time.Duration) {
	for n, i := range s.instances {
		s.load(i, perSecond, time.Duration(n)*37*time.Millisecond, duration)
	}
}

// statusCount returns the number of responses with a status.
func (s *limitedScene) statusCount(status int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, resp := range s.responses {
		if resp.Status == status {
			count++
		}
	}
	return count
}

// countBetween returns the number of times from start until end.
func countBetween(times []time.Time, start, end time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(start) && at.Before(end) {
			count++
		}
	}
	return count
}

// TestEndpointRateLimitHoldsAcrossInstances guards against an endpoint that gets more
// requests than the limit that it names, because no instance reads the limit or each keeps
// to it alone. The endpoint still gets at least half of what it accepts.
func TestEndpointRateLimitHoldsAcrossInstances(t *testing.T) {
	for _, test := range []struct {
		name      string
		perSecond float64
		instances int
		demand    float64
	}{
		{name: "one instance", perSecond: 1, instances: 1},
		{name: "one a second", perSecond: 1, instances: 3},
		{name: "fraction", perSecond: 1.9, instances: 3},
		{name: "below one a second for each instance", perSecond: 0.4, instances: 3},
		{name: "none", perSecond: 0, instances: 3},
		{name: "many instances", perSecond: 1, instances: 12},
		{name: "several a second", perSecond: 12, instances: 4, demand: 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			inLimitedScene(t, test.instances, func(s *limitedScene) {
				limited, _ := s.addWorkers()
				s.AwaitReady()
				s.loadAll(max(test.demand, 30)/float64(test.instances), 30*time.Second)
				time.Sleep(4 * time.Second)
				limited.SetRateLimit(test.perSecond)
				named := time.Now()
				s.wg.Wait()
				s.is.NoErr(limited.CheckRateLimit(rateLimitSettling, nil))
				const usedFrom, usedUntil = 10 * time.Second, 26 * time.Second
				used := countBetween(limited.Arrivals(), named.Add(usedFrom), named.Add(usedUntil))
				s.is.True(float64(used) >= 0.5*test.perSecond*(usedUntil-usedFrom).Seconds()-1)
				s.is.Equal(s.statusCount(http.StatusOK), len(s.responses)) // the other endpoint serves the rest
			})
		})
	}
}

// TestRelayedRequestsCountAgainstEndpointRateLimit guards against an endpoint that gets more
// requests than its limit from instances that serve other regions.
func TestRelayedRequestsCountAgainstEndpointRateLimit(t *testing.T) {
	inLimitedScene(t, 2, func(s *limitedScene) {
		remote := []*cwscene.RoutedInstance{s.AddInstance("10.2.0.1", "south-a"), s.AddInstance("10.2.0.2", "south-a")}
		limited, _ := s.addWorkers()
		s.AwaitReady()
		for n, i := range remote {
			s.load(i, 10, time.Duration(n)*37*time.Millisecond, 25*time.Second)
		}
		time.Sleep(4 * time.Second)
		limited.SetRateLimit(1)
		s.wg.Wait()
		s.is.NoErr(limited.CheckRateLimit(rateLimitSettling, nil))
	})
}

// TestRejectionsCountAgainstEndpointRateLimit guards against an endpoint that rejects what
// exceeds its limit and gets the repeats of other instances' requests instead.
func TestRejectionsCountAgainstEndpointRateLimit(t *testing.T) {
	inLimitedScene(t, 3, func(s *limitedScene) {
		fast, slow := s.addWorkers()
		workers := []*cwstandin.Worker{fast, slow}
		s.AwaitReady()
		s.loadAll(10, 25*time.Second)
		time.Sleep(4 * time.Second)
		for _, w := range workers {
			w.SetRateLimit(2)
			w.SetDefaultFault(cwstandin.FaultReject)
		}
		s.wg.Wait()
		for _, w := range workers {
			s.is.NoErr(w.CheckRateLimit(rateLimitSettling, nil))
		}
	})
}

// TestEndpointRateLimitFollowsItsChanges guards against an endpoint that gets more than a
// lower limit after a higher one, or that stays limited after it has withdrawn its limit.
func TestEndpointRateLimitFollowsItsChanges(t *testing.T) {
	inLimitedScene(t, 3, func(s *limitedScene) {
		limited, _ := s.addWorkers()
		s.AwaitReady()
		s.loadAll(10, 62*time.Second)
		steps := []struct {
			perSecond float64
			atLeast   int
		}{{6, 18}, {1, 3}, {8, 24}, {0.5, 1}}
		for _, step := range steps {
			limited.SetRateLimit(step.perSecond)
			time.Sleep(6 * time.Second)
			from := time.Now()
			time.Sleep(6 * time.Second)
			used := countBetween(limited.Arrivals(), from, time.Now())
			s.is.True(used >= step.atLeast)
		}
		limited.ClearRateLimit()
		time.Sleep(6 * time.Second)
		from := time.Now()
		time.Sleep(6 * time.Second)
		s.is.True(countBetween(limited.Arrivals(), from, time.Now()) >= 6*30/2) // half of the load
		s.wg.Wait()
		s.is.NoErr(limited.CheckRateLimit(rateLimitSettling, nil))
	})
}

// TestEndpointRateLimitHoldsWhileInstancesStart guards against an instance that starts while
// an endpoint names a limit, and uses the endpoint before it has been told the limit or knows
// the others that share it.
func TestEndpointRateLimitHoldsWhileInstancesStart(t *testing.T) {
	inLimitedScene(t, 2, func(s *limitedScene) {
		limited, _ := s.addWorkers()
		limited.SetRateLimit(1)
		s.AwaitReady()
		s.loadAll(10, 40*time.Second)
		time.Sleep(10 * time.Second)
		for n := range 4 {
			i := s.AddInstance(fmt.Sprintf("10.1.0.1%d", n), "north-a")
			s.Await(i.IsReady)
			s.load(i, 10, 0, 20*time.Second)
			time.Sleep(time.Second)
		}
		s.wg.Wait()
		s.is.NoErr(limited.CheckRateLimit(rateLimitSettling, nil))
	})
}

// TestEndpointRateLimitHoldsWhileInstancesAreCutOff guards against instances that can't reach
// each other, still reach the endpoint and each take the whole limit.
func TestEndpointRateLimitHoldsWhileInstancesAreCutOff(t *testing.T) {
	inLimitedScene(t, 4, func(s *limitedScene) {
		limited, _ := s.addWorkers()
		limited.SetRateLimit(2)
		s.AwaitReady()
		s.loadAll(8, 70*time.Second)
		time.Sleep(12 * time.Second)
		cut := s.instances[3]
		for _, other := range s.instances[:3] {
			s.Net.SetPartitioned(cut.IP, other.IP, true)
		}
		s.load(cut, 30, 0, 50*time.Second) // its own demand grows, which the others can't know
		time.Sleep(40 * time.Second)
		for _, other := range s.instances[:3] {
			s.Net.SetPartitioned(cut.IP, other.IP, false)
		}
		s.wg.Wait()
		s.is.NoErr(limited.CheckRateLimit(rateLimitSettling, nil))
	})
}

// TestEndpointRateLimitHoldsAfterKill guards against the others that exceed the limit with the
// share of an instance that was killed and has started again.
func TestEndpointRateLimitHoldsAfterKill(t *testing.T) {
	inLimitedScene(t, 3, func(s *limitedScene) {
		limited, _ := s.addWorkers()
		limited.SetRateLimit(2)
		s.AwaitReady()
		s.loadAll(10, 50*time.Second)
		time.Sleep(12 * time.Second)
		killed := s.instances[2]
		s.Kill(killed)
		time.Sleep(3 * time.Second)
		s.Net.RestoreHost(killed.IP)
		killed.Stop()
		<-killed.Done()
		restarted := s.AddInstance(killed.IP, "north-a")
		s.Await(restarted.IsReady)
		s.load(restarted, 10, 0, 30*time.Second)
		s.wg.Wait()
		s.is.NoErr(limited.CheckRateLimit(rateLimitSettling, nil))
	})
}

// TestWithdrawnEndpointRateLimitIsNoticed guards against an endpoint that stays limited for an
// instance which sends it nothing, because other instances hold all shares, after it has
// withdrawn its limit.
func TestWithdrawnEndpointRateLimitIsNoticed(t *testing.T) {
	inLimitedScene(t, 8, func(s *limitedScene) {
		limited, _ := s.addWorkers()
		limited.SetRateLimit(0.4)
		s.AwaitReady()
		s.loadAll(4, 30*time.Second)
		time.Sleep(12 * time.Second)
		limited.ClearRateLimit()
		time.Sleep(10 * time.Second)
		from := time.Now()
		time.Sleep(6 * time.Second)
		s.is.True(countBetween(limited.Arrivals(), from, time.Now()) >= 6*32/2)
		s.wg.Wait()
	})
}

// TestRequestsBeyondAllEndpointRateLimits guards against callers that wait, or that get no
// time to return, when the limits of all endpoints of a service are spent. Requests go to
// another region if it has a free endpoint.
func TestRequestsBeyondAllEndpointRateLimits(t *testing.T) {
	for _, test := range []struct {
		name            string
		hasRemoteRegion bool
	}{{name: "no other region"}, {name: "other region", hasRemoteRegion: true}} {
		t.Run(test.name, func(t *testing.T) {
			inLimitedScene(t, 2, func(s *limitedScene) {
				fast, slow := s.addWorkers()
				if test.hasRemoteRegion {
					s.AddInstance("10.2.0.1", "south-a")
					s.AddWorker("south-a", "10.2.1.1")
				}
				s.AwaitReady()
				for _, w := range []*cwstandin.Worker{fast, slow} {
					w.SetRateLimit(1)
				}
				s.loadAll(5, 5*time.Second)
				s.wg.Wait()
				s.responses = nil
				s.loadAll(5, 10*time.Second)
				s.wg.Wait()
				for _, resp := range s.responses {
					s.is.NoErr(resp.Err)
					if resp.Status == http.StatusOK {
						continue
					}
					s.is.True(!test.hasRemoteRegion)
					s.is.Equal(resp.Status, http.StatusServiceUnavailable)
					s.is.True(resp.Elapsed < 200*time.Millisecond)
					seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					s.is.NoErr(err)
					s.is.True(seconds >= 0.4)
				}
				s.is.True(s.statusCount(http.StatusOK) >= 15) // three quarters of both limits
			})
		})
	}
}

// TestHugeRateLimitIsNoLimit guards against an endpoint that gets no requests because it names a
// limit that is out of range: its number of unspent requests became negative.
func TestHugeRateLimitIsNoLimit(t *testing.T) {
	for _, perSecond := range []float64{1e9, 1e20, 1e300} {
		t.Run(strconv.FormatFloat(perSecond, 'g', -1, 64), func(t *testing.T) {
			inLimitedScene(t, 2, func(s *limitedScene) {
				worker := s.AddWorker("north-a", "10.1.1.1")
				worker.SetRateLimit(perSecond)
				s.AwaitReady()
				time.Sleep(4 * time.Second) // an instance that has just started sends few requests
				// A share that an instance has just got has no unspent requests.
				s.is.NoErr(s.Do(s.t.Context(), s.instances[0], cwscene.RoutedRequest{Path: "/r/x"}).Err)
				s.Await(func() bool {
					return strings.Contains(s.FetchAdmin(s.t, s.instances[1], "/status"), `"rateLimit": 1`)
				})
				time.Sleep(100 * time.Millisecond)
				for n := range 40 {
					resp := s.Do(s.t.Context(), s.instances[n%2], cwscene.RoutedRequest{Path: "/r/x"})
					s.is.NoErr(resp.Err)
					s.is.Equal(resp.Status, http.StatusOK)
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}
