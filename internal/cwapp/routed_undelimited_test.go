package cwapp_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// eventsOfStream is the number of events in a complete stream of a stand-in.
const eventsOfStream = 6

// TestUndelimitedStreamOfEndedEndpointIsNotComplete guards against a part of a stream that is passed on
// as the whole: without a length or chunks it ends with its connection, and so it does when the
// endpoint ends.
func TestUndelimitedStreamOfEndedEndpointIsNotComplete(t *testing.T) {
	for _, sc := range []struct {
		name string
		// after is the time from the first event to the end of the endpoint.
		after time.Duration
		// prepare changes the scene before the end; nil for nothing.
		prepare func(s *cwscene.RoutedScene, fleet *cwscene.CrashingFleet, ip string)
	}{
		{"right after an event", 50 * time.Millisecond, nil},
		{"long after the first event", 1500 * time.Millisecond, nil},
		{"while it is leaving", 1500 * time.Millisecond, func(s *cwscene.RoutedScene, fleet *cwscene.CrashingFleet, ip string) {
			s.RegisterWorker(fleet.Running(ip).ID, "north-a", ip, map[string]any{"state": "draining"})
		}},
		{"at the limit of connections", 1500 * time.Millisecond, func(s *cwscene.RoutedScene, _ *cwscene.CrashingFleet, _ string) {
			s.Publish(newUndelimitedService(1), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": false}))
		}},
		{"machine is lost", 1500 * time.Millisecond, func(s *cwscene.RoutedScene, _ *cwscene.CrashingFleet, ip string) {
			time.AfterFunc(time.Second-time.Millisecond, func() { s.Net.SetPartitioned(ip, "10.1.0.1", true) })
		}},
	} {
		for _, isResumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable: %v", sc.name, isResumable), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(newUndelimitedService(3), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": isResumable}))
					var hasEnded atomic.Bool
					fleet := s.NewCrashingFleet(cwstandin.Crash{
						Matches: func(*http.Request, string) bool { return !hasEnded.Swap(true) },
						After:   sc.after, Prelude: cwstandin.PreludeUndelimitedEvent,
					})
					defer fleet.Close()
					fleet.Add("10.1.1.1")
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitReady()
					if sc.prepare != nil {
						time.AfterFunc(500*time.Millisecond, func() { sc.prepare(s, fleet, "10.1.1.1") })
					}
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
					is.Equal(len(fleet.Ends()), 1)
					if resp.Err == nil && resp.Status == http.StatusOK {
						is.Equal(strings.Count(resp.Body, "\n\n"), eventsOfStream)
					}
				})
			})
		}
	}
}

// newUndelimitedService returns a service of engines with a limit of connections.
func newUndelimitedService(maxConns int) []map[string]any {
	services := cwscene.NewEngineService(0)
	services[0]["max-connections"] = maxConns
	return services
}

// TestWholeUndelimitedStreamIsComplete guards against a whole stream that counts as broken off because it
// ends with its connection.
func TestWholeUndelimitedStreamIsComplete(t *testing.T) {
	for _, maxConns := range []int{0, 1} {
		for _, isResumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d connections, resumable: %v", maxConns, isResumable), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(newUndelimitedService(maxConns), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": isResumable}))
					workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitReady()
					for range 10 {
						for _, w := range workers {
							w.SetDefaultFault(cwstandin.FaultUndelimitedStream)
						}
						start := time.Now()
						resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
						is.NoErr(resp.Err)
						is.Equal(resp.Status, http.StatusOK)
						is.Equal(strings.Count(resp.Body, "\n\n"), eventsOfStream)
						is.True(time.Since(start) < 100*time.Millisecond)
					}
					is.Equal(len(collectRuns(workers)), 10)
				})
			})
		}
	}
}

// TestUndelimitedStreamEndsAtTheLimitOfConnections guards against a whole stream that counts as broken off
// because its endpoint can't be dialed: other requests have all connections.
func TestUndelimitedStreamEndsAtTheLimitOfConnections(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		route := cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": false})
		s.Publish(newUndelimitedService(2), route)
		w := s.AddWorker("north-a", "10.1.1.1")
		w.SetDefaultFault(cwstandin.FaultUndelimitedStream)
		w.SetPartInterval(600 * time.Millisecond)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		responses := make(chan cwscene.RoutedResponse, 2)
		for range 2 {
			go func() {
				responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
			}()
			time.Sleep(1200 * time.Millisecond)
		}
		s.Publish(newUndelimitedService(1), route) // the second stream has the only connection when the first one ends
		for range 2 {
			resp := <-responses
			is.NoErr(resp.Err)
			is.Equal(resp.Status, http.StatusOK)
			is.Equal(strings.Count(resp.Body, "\n\n"), eventsOfStream)
		}
	})
}
