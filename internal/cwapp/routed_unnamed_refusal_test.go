package cwapp_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRefusalOfAnEarlierRequestIsIgnored guards against an endpoint that writes an earlier refusal once
// more on a kept connection: the caller was told that its request had not run while it ran, or it ran
// at a second endpoint too.
func TestRefusalOfAnEarlierRequestIsIgnored(t *testing.T) {
	for _, kind := range []string{"unsafe", "streaming"} {
		for _, others := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, %d other endpoints", kind, others), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					services, header := []map[string]any(nil), []string(nil)
					if kind == "streaming" {
						services, header = cwscene.NewEngineService(0), newPromptHeader()
					}
					s.Publish(services, cwscene.NewRoute("r", kind, nil))
					workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1")}
					for range others {
						workers = append(workers, s.AddWorker("north-a", "10.1.1.2"))
					}
					for _, w := range workers {
						w.SetServiceTime(announcedServiceTime)
					}
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitReady()
					for range 20 {
						workers[0].QueueFaults(cwstandin.FaultRepeatRefusal)
						for range 2 {
							resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: header})
							runs := 0
							for _, run := range collectRuns(workers) {
								if run.RequestID == resp.RequestID {
									runs++
								}
							}
							is.True(runs <= 1)
							is.Equal(resp.Status == http.StatusOK, runs == 1) // a refused request has not run
						}
					}
				})
			})
		}
	}
}

// TestExtraRefusalIsIgnored guards against a faulty endpoint that sends a refusal after an answer: it
// arrives where the next response is expected, and that request ran at a second endpoint too.
func TestExtraRefusalIsIgnored(t *testing.T) {
	for _, others := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d other endpoints", others), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1")}
				for range others {
					workers = append(workers, s.AddWorker("north-a", "10.1.1.2"))
				}
				for _, w := range workers {
					w.SetServiceTime(announcedServiceTime)
				}
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				for range 20 {
					workers[0].QueueFaults(cwstandin.FaultExtraRefusal)
					for range 2 {
						resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
						is.Equal(resp.Status, http.StatusOK)
						runs := 0
						for _, run := range collectRuns(workers) {
							if run.RequestID == resp.RequestID {
								runs++
							}
						}
						is.Equal(runs, 1)
					}
				}
			})
		})
	}
}

// TestRefusalOnKeptConnectionLetsRequestGoOn guards against a request that fails because a sound
// endpoint turns it away on a connection which has served another one.
func TestRefusalOnKeptConnectionLetsRequestGoOn(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		for range 4 {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		}
		for range 20 {
			cwstandin.SetFirstRequestFault(workers, cwstandin.FaultReject)
			start := time.Now()
			resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
			is.Equal(resp.Status, http.StatusOK)
			is.True(time.Since(start) < 100*time.Millisecond)
		}
	})
}
