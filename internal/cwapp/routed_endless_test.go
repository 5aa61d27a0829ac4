package cwapp_test

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwadmin"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// addEndlessWorker registers a worker whose responses have no end.
func addEndlessWorker(s *cwscene.RoutedScene, ip string, response *cwstandin.EndlessResponse) {
	s.Serve(ip+":8010", response)
	s.RegisterWorker("worker-"+ip, "north-a", ip, nil)
}

// failureRateOf returns the failure rate of an endpoint as the instance observes it.
func failureRateOf(t *testing.T, s *cwscene.RoutedScene, i *cwscene.RoutedInstance, id string) float64 {
	var status cwadmin.RoutedStatus
	if err := json.Unmarshal([]byte(s.FetchAdmin(t, i, "/status")), &status); err != nil {
		t.Fatal(err)
	}
	for _, e := range status.Endpoints {
		if e.ID == id {
			return e.FailureRate
		}
	}
	t.Fatal("no endpoint " + id)
	return 0
}

// TestEndlessResponseFailsTheAttempt guards against an endpoint whose response has no end and
// which holds a request, and the memory for its response, until the caller gives up. The
// request may have been run, and the endpoint's record must count a failure.
func TestEndlessResponseFailsTheAttempt(t *testing.T) {
	for _, response := range slices.Concat(cwstandin.EndlessHeads(), cwstandin.EndlessBodies()) {
		t.Run(response.Name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil), cwscene.NewRoute("again", "safe", nil))
				addEndlessWorker(s, "10.1.1.1", response)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
				is.Equal(resp.Status, http.StatusBadGateway) // may have run: neither 503 nor a response
				is.NoErr(resp.Err)
				is.Equal(resp.Header.Get("Clementinewell-Not-Executed"), "")
				is.True(resp.Elapsed.Seconds() < 1) // by the limit, not by the deadline
				is.True(failureRateOf(t, s, i, "worker-10.1.1.1") > 0)
				is.Equal(i.Budget.UsedBytes(), int64(0))

				// A request that may be run again is served by the other endpoint.
				sound := s.AddWorker("north-a", "10.1.1.2")
				s.Await(func() bool { return len(i.State.View().Endpoints) == 2 })
				for range 8 {
					resp = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/again/x"})
					is.Equal(resp.Status, http.StatusOK)
					is.True(strings.HasSuffix(resp.Body, " to "+resp.RequestID))
				}
				is.Equal(len(sound.Runs()), 8)
				is.Equal(response.NotCutOff(), 0)
				is.Equal(i.Budget.UsedBytes(), int64(0))
			})
		})
	}
}

// TestResponsesInMemoryAreLimitedTogether guards against an instance that runs out of memory
// although each response is within its limit, and against large responses that leave no room
// for the small ones of other requests.
func TestResponsesInMemoryAreLimitedTogether(t *testing.T) {
	const (
		requests      = 8
		responseBytes = 8 << 20
		// maxBytes is a quarter of the memory of the smallest instances, 144 MB.
		maxBytes = 36 << 20
	)
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("large", "unsafe", nil), cwscene.NewRoute("small", "unsafe", nil))
		worker := cwstandin.NewWorker("worker-10.1.1.1")
		large := cwstandin.EndlessBodies()[0]
		large.PauseAfterBytes = responseBytes
		s.Serve("10.1.1.1:8010", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/large/") {
				large.ServeHTTP(w, r)
				return
			}
			worker.ServeHTTP(w, r)
		}))
		s.RegisterWorker(worker.ID, "north-a", "10.1.1.1", map[string]any{"slots": 64})
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		responses := make(chan cwscene.RoutedResponse, requests)
		for range requests {
			go func() {
				responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/large/x"})
			}()
		}
		time.Sleep(time.Second)
		is.True(len(responses) > 0) // what doesn't fit has failed at once
		is.True(i.Budget.UsedBytes() <= maxBytes)
		is.True(i.Budget.UsedBytes() >= responseBytes) // what fits goes on
		for range len(responses) {
			is.Equal((<-responses).Status, http.StatusBadGateway)
		}
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/small/x"}).Status, http.StatusOK)
		time.Sleep(10 * time.Second)
		is.Equal(i.Budget.UsedBytes(), int64(0))
	})
}

// TestEndlessRejectionIsRetried guards against a rejection whose body has no end and which
// holds a request that has not run.
func TestEndlessRejectionIsRetried(t *testing.T) {
	for _, response := range cwstandin.EndlessRejections() {
		t.Run(response.Name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				addEndlessWorker(s, "10.1.1.1", response)
				sound := s.AddWorker("north-a", "10.1.1.2")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitRetries()
				for range 8 {
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
					is.Equal(resp.Status, http.StatusOK)
					is.True(resp.Elapsed.Seconds() < 1)
				}
				is.Equal(len(sound.Runs()), 8)
				is.Equal(response.NotCutOff(), 0)
			})
		})
	}
}

// TestEndlessResponseBehindRelay guards against a relayed request whose endpoint never ends its
// response: the caller must get neither a whole response nor "not run".
func TestEndlessResponseBehindRelay(t *testing.T) {
	const firstEvent = "id: 1\ndata: piece 1\n\n"
	for _, sc := range []struct {
		response *cwstandin.EndlessResponse
		status   int
		isBroken bool
	}{
		{cwstandin.EndlessHeads()[2], http.StatusBadGateway, false},
		{cwstandin.EndlessBodies()[0], http.StatusBadGateway, false},
		{cwstandin.StreamResponse("event", firstEvent+"data: ", "abcdefgh"), http.StatusOK, true},
	} {
		t.Run(sc.response.Name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
				s.Serve("10.2.1.1:8010", sc.response)
				s.RegisterWorker("worker", "south-a", "10.2.1.1", nil)
				entry, exit := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
				s.AwaitReady()
				time.Sleep(5 * time.Second)
				resp := s.Do(t.Context(), entry, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
				is.Equal(resp.Status, sc.status)
				is.Equal(resp.Err != nil, sc.isBroken)
				is.Equal(resp.Header.Get("Clementinewell-Not-Executed"), "")
				if sc.isBroken {
					is.Equal(resp.Body, firstEvent)
				}
				is.True(resp.Elapsed.Seconds() < 1)
				is.Equal(sc.response.NotCutOff(), 0)
				is.Equal(entry.Budget.UsedBytes()+exit.Budget.UsedBytes(), int64(0))
			})
		})
	}
}

// TestEndlessEventBreaksStream guards against an event without an end that is passed on to the
// caller as long as it lasts. The caller's connection is broken off, so that the response
// can't look complete, unless another endpoint resumes the stream.
func TestEndlessEventBreaksStream(t *testing.T) {
	const firstEvent = "id: 1\ndata: piece 1\n\n"
	allEvents := firstEvent
	for _, n := range []string{"2", "3", "4", "5", "6"} {
		allEvents += "id: " + n + "\ndata: piece " + n + "\n\n"
	}
	for _, sc := range []struct {
		name, start string
		resumable   bool
		status      int
		body        string
		isBroken    bool
	}{
		{"before the first event", "data: ", false, http.StatusBadGateway, "attemptFailed\n", false},
		{"after an event", firstEvent + "data: ", false, http.StatusOK, firstEvent, true},
		{"after an event, resumed", firstEvent + "data: ", true, http.StatusOK, allEvents, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": sc.resumable}))
				response := cwstandin.StreamResponse(sc.name, sc.start, "abcdefgh")
				var hasBegun atomic.Bool
				for _, ip := range []string{"10.1.1.1", "10.1.1.2"} {
					// The first request of a caller to either endpoint gets the stream without an end.
					sound := cwstandin.NewWorker("worker-" + ip)
					s.Serve(ip+":8010", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path != cwstandin.ReportPath && hasBegun.CompareAndSwap(false, true) {
							response.ServeHTTP(w, r)
							return
						}
						sound.ServeHTTP(w, r)
					}))
					s.RegisterWorker(sound.ID, "north-a", ip, nil)
				}
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitRetries()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
				is.Equal(resp.Status, sc.status)
				is.Equal(resp.Err != nil, sc.isBroken)
				is.Equal(resp.Body, sc.body)
				is.True(resp.Elapsed.Seconds() < 1)
				is.True(failureRateOf(t, s, i, "worker-10.1.1.1")+failureRateOf(t, s, i, "worker-10.1.1.2") > 0)
				is.Equal(response.NotCutOff(), 0)
				is.Equal(i.Budget.UsedBytes(), int64(0))
			})
		})
	}
}

// TestStreamIsForwardedWhole guards against a limit that ends legitimate streams: one whose
// lines end with CRLF, one with a large event, and one that is longer than any limit.
func TestStreamIsForwardedWhole(t *testing.T) {
	for _, sc := range []struct{ name, event string }{
		{"CRLF", "id: 1\r\ndata: piece\r\n\r\n"},
		{"large events", "data: " + strings.Repeat("x", 2<<20) + "\n\n"},
		{"long", "data: " + strings.Repeat("x", 1<<10) + "\n\n"},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", nil))
				want := strings.Repeat(sc.event, 20<<20/len(sc.event))
				s.Serve("10.1.1.1:8010", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(cwstandin.RequestIDHeader, r.Header.Get(cwstandin.RequestIDHeader))
					w.Header().Set("Clementinewell-Response-Signature", "signed")
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, want)
				}))
				s.RegisterWorker("worker", "north-a", "10.1.1.1", nil)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
				is.Equal(resp.Status, http.StatusOK)
				is.NoErr(resp.Err)
				is.True(resp.Body == want)
			})
		})
	}
}
