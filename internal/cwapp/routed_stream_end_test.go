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

// TestStreamGoesOnWhereNothingIsLeft guards against a stream that fails although all its events have
// arrived: its endpoint ended before the end of the response, and the one that goes on has no event to
// send.
func TestStreamGoesOnWhereNothingIsLeft(t *testing.T) {
	whole := ""
	for n := range 6 {
		whole += fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1)
	}
	for _, isRelayed := range []bool{false, true} {
		for _, isTakenUp := range []bool{false, true} {
			t.Run(fmt.Sprintf("relayed=%t, taken up=%t", isRelayed, isTakenUp), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.RegionByDomain["north-b"] = "north"
					attempts := 3
					if isTakenUp {
						attempts = 1
					}
					s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{
						"resumable": true, "max-attempts": attempts, "home-regions": []string{"north"},
					}))
					workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-b", "10.3.1.1")}
					i, other := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.3.0.1", "north-b")
					if isRelayed {
						i, other = s.AddInstance("10.2.0.1", "south-a"), s.AddInstance("10.2.0.2", "south-a")
					}
					s.AwaitRetries()
					cwstandin.SetFirstRequestFault(workers, cwstandin.FaultLoseStreamEnd)
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
					is.Equal(resp.Status, http.StatusOK)
					if isTakenUp {
						is.True(resp.Err != nil)
						time.Sleep(time.Second) // other instances learn of the stream's origin
						resp = s.Do(t.Context(), other, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader("Resumes", resp.RequestID, "Last-Event-Id", "6")})
						is.Equal(resp.Status, http.StatusOK)
						is.Equal(resp.Body, "")
					}
					is.NoErr(resp.Err)
					if !isTakenUp {
						is.Equal(resp.Body, whole)
					}
					is.Equal(len(collectRuns(workers)), 2)
				})
			})
		}
	}
}
