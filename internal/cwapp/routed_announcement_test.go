package cwapp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// announcementNotice is the time from an endpoint's response to the effect of what it says. The
// platform allows half a second for a pause, and seconds for a leaving endpoint.
const announcementNotice = 100 * time.Millisecond

// announcedServiceTime is the time of the responses in these scenes.
const announcedServiceTime = 100 * time.Millisecond

// sendEvery sends requests at an interval for a time, and returns the responses.
func sendEvery(t *testing.T, s *cwscene.RoutedScene, interval, lasts time.Duration, header []string, instances ...*cwscene.RoutedInstance) []cwscene.RoutedResponse {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var responses []cwscene.RoutedResponse
	for n := range int(lasts / interval) {
		wg.Go(func() {
			resp := s.Do(t.Context(), instances[n%len(instances)], cwscene.RoutedRequest{Path: "/r/x", Header: header})
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, resp)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return responses
}

// arrivalsAfter returns the number of requests that a worker received after a time.
func arrivalsAfter(w *cwstandin.Worker, at time.Time) int {
	count := 0
	for _, arrival := range w.Arrivals() {
		if arrival.After(at) {
			count++
		}
	}
	return count
}

// wayToEndpoint is the way of a request from the instance that its caller uses.
type wayToEndpoint string

const (
	direct   wayToEndpoint = "direct"
	relayed  wayToEndpoint = "relayed to another region"
	neighbor wayToEndpoint = "by a neighbor of an instance that is cut off"
	// An instance of the region gets the responses, and another one the requests after them.
	untold wayToEndpoint = "by another instance later"
)

// TestLeavingEndpointGetsNoRequests guards against requests to an endpoint that has said in its
// responses that it is leaving, while its entry still says that it is ready, lapses and comes back.
// An instance that gets the responses from another instance reaches the endpoint itself later, when
// it is no longer cut off.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "streaming"} {
		for _, way := range []wayToEndpoint{direct, relayed, neighbor, untold} {
			t.Run(fmt.Sprintf("%s, %s", kind, way), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					services, header := []map[string]any(nil), []string(nil)
					if kind == "streaming" {
						// Without shared parts both endpoints get requests.
						services, header = cwscene.NewEngineService(0), []string{"Clementinewell-Token-Count", "900,60"}
					}
					s.Publish(services, cwscene.NewRoute("r", kind, cwscene.RoutedRoute{"home-regions": []string{"north"}}))
					leaving, other := s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")
					entry := s.AddInstance("10.1.0.1", "north-a")
					exit := entry
					switch way {
					case relayed:
						entry = s.AddInstance("10.2.0.1", "south-a")
					case neighbor:
						entry = s.AddInstance("10.1.0.2", "north-a")
					}
					later := entry
					if way == untold {
						later = s.AddInstance("10.1.0.3", "north-a")
					}
					s.AwaitReady()
					time.Sleep(4 * time.Second)
					is.True(exit.IsReady())
					setCutOff := func(isCutOff bool) {
						for _, ip := range []string{"10.1.1.1", "10.1.1.2"} {
							s.Net.SetPartitioned(entry.IP, ip, isCutOff && way == neighbor)
						}
					}
					setCutOff(true)
					// With several requests in progress both endpoints get some.
					leaving.SetServiceTime(announcedServiceTime)
					other.SetServiceTime(announcedServiceTime)
					sendEvery(t, s, 20*time.Millisecond, 4*time.Second, header, entry)
					leaving.SetHeader("Server-Leaving", "1")
					before := len(leaving.Arrivals())
					sendEvery(t, s, 20*time.Millisecond, time.Second, header, entry)
					is.True(len(leaving.Arrivals()) > before)
					saidAt := leaving.Arrivals()[before].Add(announcedServiceTime)
					setCutOff(false)
					if way == neighbor {
						// The neighbor no longer takes its requests.
						s.Kill(exit)
					}
					time.Sleep(3 * time.Second)
					responses := sendEvery(t, s, 20*time.Millisecond, 2*time.Second, header, later)
					is.Equal(strings.Count(s.FetchAdmin(t, later, "/status"), `"leaving": true`) == 1, way != relayed)
					s.Store.Remove(cwstandin.WorkerKeyPrefix + leaving.ID)
					time.Sleep(time.Second)
					s.RegisterWorker(leaving.ID, "north-a", "10.1.1.1", nil)
					time.Sleep(time.Second)
					responses = append(responses, sendEvery(t, s, 20*time.Millisecond, 2*time.Second, header, later)...)
					is.Equal(arrivalsAfter(leaving, saidAt.Add(announcementNotice)), 0)
					for _, resp := range responses {
						is.Equal(resp.Status, http.StatusOK)
					}
				})
			})
		}
	}
}

// TestPausedEndpointIsLeftAlone guards against requests to an endpoint that has asked for a pause, and
// against callers that are refused beside a sound endpoint because their attempts were spent on it.
func TestPausedEndpointIsLeftAlone(t *testing.T) {
	for _, sc := range []struct {
		retryAfter string
		// pause is the time for which the endpoint must be left alone.
		pause time.Duration
	}{
		{"2", 2 * time.Second},
		{"5.5", 5500 * time.Millisecond},
		{"0", 0},
		{"soon", 0},
		{"31536000", 20 * time.Second}, // longer than the scene
	} {
		t.Run(sc.retryAfter, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
				paused := workers[0]
				paused.SetHeader("Retry-After", sc.retryAfter)
				paused.SetDefaultFault(cwstandin.FaultReject)
				for _, w := range workers {
					w.SetServiceTime(announcedServiceTime)
				}
				sendEvery(t, s, 20*time.Millisecond, 300*time.Millisecond, nil, i)
				is.True(len(paused.Arrivals()) > 0)
				saidAt := paused.Arrivals()[0].Add(announcedServiceTime)
				is.Equal(strings.Count(s.FetchAdmin(t, i, "/status"), `"pauseSeconds": 0`) == 1, sc.pause > 0) // the other endpoint
				for _, resp := range sendEvery(t, s, 20*time.Millisecond, min(max(sc.pause-500*time.Millisecond, time.Second), 10*time.Second), nil, i) {
					// An endpoint that rejects without a pause is tried again, as far as the budget goes.
					is.True(resp.Status == http.StatusOK || sc.pause == 0)
				}
				if sc.pause > 0 {
					is.Equal(arrivalsAfter(paused, saidAt.Add(announcementNotice)), 0)
					paused.SetDefaultFault(cwstandin.FaultNone)
					time.Sleep(sc.pause)
				}
				sendEvery(t, s, 20*time.Millisecond, time.Second, nil, i)
				is.Equal(arrivalsAfter(paused, saidAt.Add(announcementNotice)) > 0, sc.pause < 20*time.Second)
			})
		})
	}
}

// TestPausedServiceIsRefusedAtOnce guards against callers that wait for endpoints which have all asked
// for a pause, and against a time to return at which there is no room yet.
func TestPausedServiceIsRefusedAtOnce(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 25 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
				for _, w := range workers {
					w.SetHeader("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
					w.SetDefaultFault(cwstandin.FaultReject)
				}
				s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}) // both reject it
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
				is.Equal(resp.Status, http.StatusServiceUnavailable)
				is.True(resp.Elapsed < 50*time.Millisecond)
				seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds >= pause.Seconds()-0.1)
				for _, w := range workers {
					w.SetHeader("Retry-After", "")
					w.SetDefaultFault(cwstandin.FaultNone)
				}
				time.Sleep(time.Duration(seconds * float64(time.Second)))
				is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
			})
		})
	}
}

// maxArrivalsInPause is the number of requests that may reach an endpoint from an instance between
// pauseNotice after it has asked for a pause and the end of that pause.
const (
	maxArrivalsInPause = 2
	pauseNotice        = 500 * time.Millisecond
)

// slowDialNet delays connections to one address while delay is set.
type slowDialNet struct {
	cwnet.Net
	address string
	delay   *atomic.Int64
}

func (n slowDialNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address == n.address {
		time.Sleep(time.Duration(n.delay.Load()))
	}
	return n.Net.DialContext(ctx, network, address)
}

// TestPauseHoldsForRequestsThatWaitForConnections guards against requests that were placed before an
// endpoint asked for a pause or said that it is leaving, and reach it when their connection is open.
func TestPauseHoldsForRequestsThatWaitForConnections(t *testing.T) {
	for _, field := range []string{"Retry-After", "Server-Leaving"} {
		t.Run(field, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				var delay atomic.Int64
				s.WrapNet = func(n cwnet.Net) cwnet.Net { return slowDialNet{n, "10.1.1.1:8010", &delay} }
				i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
				for _, w := range workers {
					w.SetServiceTime(announcedServiceTime)
				}
				sendEvery(t, s, 40*time.Millisecond, time.Second, nil, i)
				// The next requests need more connections than are open.
				delay.Store(int64(700 * time.Millisecond))
				workers[0].SetHeader(field, "5")
				workers[0].SetDefaultFault(cwstandin.FaultReject)
				before := len(workers[0].Arrivals())
				for _, resp := range sendEvery(t, s, time.Millisecond, 100*time.Millisecond, nil, i) {
					is.Equal(resp.Status, http.StatusOK)
				}
				is.True(len(workers[0].Arrivals()) > before)
				saidAt := workers[0].Arrivals()[before].Add(announcedServiceTime)
				is.True(arrivalsAfter(workers[0], saidAt.Add(pauseNotice)) <= maxArrivalsInPause)
			})
		})
	}
}

// TestPausedEndpointReturnsWithOneRequest guards against the load of an instance that reaches an
// endpoint all at once at the end of its pause, before it is known whether it wants another one.
func TestPausedEndpointReturnsWithOneRequest(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		for _, w := range workers {
			w.SetServiceTime(announcedServiceTime)
		}
		const pauses, pause = 5, 2 * time.Second
		workers[0].SetHeader("Retry-After", "2")
		workers[0].SetDefaultFault(cwstandin.FaultReject)
		sendEvery(t, s, 10*time.Millisecond, 300*time.Millisecond, nil, i)
		before := len(workers[0].Arrivals())
		for _, resp := range sendEvery(t, s, 10*time.Millisecond, pauses*pause, nil, i) {
			is.Equal(resp.Status, http.StatusOK)
		}
		is.True(len(workers[0].Arrivals())-before <= pauses*maxArrivalsInPause)
		// It is in full use again once it serves requests.
		workers[0].SetHeader("Retry-After", "")
		workers[0].SetDefaultFault(cwstandin.FaultNone)
		time.Sleep(pause)
		sendEvery(t, s, 10*time.Millisecond, time.Second, nil, i)
		before = len(workers[0].Arrivals())
		sendEvery(t, s, 10*time.Millisecond, time.Second, nil, i)
		is.True(len(workers[0].Arrivals())-before >= 25) // of 100, at two equal endpoints
	})
}

// TestEndpointThatOutlastsItsCallers guards against an endpoint of which no attempt ever ends because
// the callers leave first: nothing is known of it, so that it seems idle and gets all requests beside
// sound endpoints, also when its answers ask for a pause.
func TestEndpointThatOutlastsItsCallers(t *testing.T) {
	const patience, interval, loadTime, settleTime = 300 * time.Millisecond, 20 * time.Millisecond, 23 * time.Second, 3 * time.Second
	for _, kind := range []string{"safe", "unsafe", "streaming"} {
		for _, answer := range []string{"pause", "pause, only endpoint", "late", "none"} {
			t.Run(kind+", "+answer, func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					services, header := []map[string]any(nil), []string(nil)
					if kind == "streaming" {
						services, header = cwscene.NewEngineService(0), []string{"Clementinewell-Token-Count", "900,60"}
					}
					s.Publish(services, cwscene.NewRoute("r", kind, nil))
					slow := s.AddWorker("north-a", "10.1.1.1")
					isAlone := answer == "pause, only endpoint"
					for _, ip := range []string{"10.1.1.2", "10.1.1.3"} {
						if !isAlone {
							s.AddWorker("north-a", ip).SetServiceTime(announcedServiceTime)
						}
					}
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitReady()
					slow.SetServiceTime(patience + announcedServiceTime)
					switch answer {
					case "pause", "pause, only endpoint":
						slow.SetHeader("Retry-After", "25")
						slow.SetDefaultFault(cwstandin.FaultReject)
					case "none":
						slow.SetDefaultFault(cwstandin.FaultHang)
					}
					var wg sync.WaitGroup
					var served, all atomic.Int64
					for start := time.Now(); time.Since(start) < loadTime; time.Sleep(interval) {
						isSettled := time.Since(start) >= settleTime
						wg.Go(func() {
							ctx, cancel := context.WithTimeout(t.Context(), patience)
							defer cancel()
							r := s.Do(ctx, i, cwscene.RoutedRequest{Path: "/r/x", Header: header})
							if !isSettled {
								return
							}
							all.Add(1)
							if r.Err == nil && (r.Status == http.StatusOK || isAlone && r.Status == http.StatusServiceUnavailable) {
								served.Add(1)
							}
						})
					}
					wg.Wait()
					arrivals := len(slow.Arrivals())
					// Without another endpoint they get a refusal in time.
					t.Logf("served %d of %d, %d arrivals at the slow endpoint", served.Load(), all.Load(), arrivals)
					is.True(served.Load()*20 >= all.Load()*19) // 95%
					if strings.HasPrefix(answer, "pause") {
						is.True(arrivalsAfter(slow, slow.Arrivals()[0].Add(patience+announcedServiceTime+pauseNotice)) <= maxArrivalsInPause)
					}
				})
			})
		}
	}
}
