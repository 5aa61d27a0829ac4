package cwapp_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// newPlainService returns the service "app" as a service whose workers are no engines.
func newPlainService() []map[string]any {
	return []map[string]any{cwstandin.NewPublishedPlainService("app")}
}

// awaitConfig waits until the latest configuration is in force at the instance.
func awaitConfig(s *cwscene.RoutedScene, i *cwscene.RoutedInstance) {
	s.Await(func() bool {
		return i.State.View().Config.Version == uint64(s.ConfigVersion())
	})
}

// TestServiceChangesItsEngine guards against requests that get no response after a service has
// got an engine in a new configuration, or lost it, while its endpoints stay the same.
func TestServiceChangesItsEngine(t *testing.T) {
	for _, sc := range []struct {
		name          string
		before, after []map[string]any
	}{
		{"engine added", newPlainService(), cwscene.NewEngineService(0)},
		{"engine removed", cwscene.NewEngineService(0), newPlainService()},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				route := cwscene.NewRoute("r", "streaming", nil)
				s.Publish(sc.before, route)
				s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				for range 2 {
					for _, header := range [][]string{newPromptHeader(), {"Clementinewell-Token-Count", "900,60"}} {
						resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: header})
						is.NoErr(resp.Err)
						is.Equal(resp.Status, http.StatusOK)
					}
					s.Publish(sc.after, route)
					awaitConfig(s, i)
				}
			})
		})
	}
}

// TestServiceGetsEngineDuringRequest guards against an instance whose process ends as it looks
// for another endpoint for an overdue request, after the service has got an engine.
func TestServiceGetsEngineDuringRequest(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		route := cwscene.NewRoute("r", "safe", nil)
		s.Publish(newPlainService(), route)
		workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultHang)
		responses := make(chan cwscene.RoutedResponse, 1)
		go func() {
			responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		}()
		s.Await(func() bool { return len(collectRuns(workers)) == 1 })
		s.Publish(cwscene.NewEngineService(0), route)
		awaitConfig(s, i)
		resp := <-responses
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusOK)
		is.Equal(len(collectRuns(workers)), 2)
	})
}
