package cwapp_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
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
				s.AwaitReady()
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
