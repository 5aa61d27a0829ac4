package cwapp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRefusedRequestIsNotSentThereAgain guards against a request that another instance sends to endpoints
// which have just refused it: instances that relay it, and their exits, don't know of each other's
// attempts.
func TestRefusedRequestIsNotSentThereAgain(t *testing.T) {
	for _, sc := range []struct {
		name     string
		home     string
		domain   string // of the entry
		isOneOut bool   // an endpoint that can't be reached makes neighbors worth asking
	}{
		{"neighbor of the entry", "north", "north-a", true},
		{"two exits of one region", "north", "south-a", false},
		{"two exits of one region, an endpoint out of reach", "north", "south-a", true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.RegionByDomain["north-b"] = "north"
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{sc.home}}))
				full := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-b", "10.3.1.1")}
				for _, w := range full {
					w.SetDefaultFault(cwstandin.FaultReject)
				}
				if sc.isOneOut {
					s.RegisterWorker("worker-out", "north-a", "10.1.1.2", nil)
				}
				instances := map[string]*cwscene.RoutedInstance{}
				for _, at := range [][2]string{{"10.1.0.1", "north-a"}, {"10.1.0.2", "north-a"}, {"10.3.0.1", "north-b"}, {"10.2.0.1", "south-a"}} {
					instances[at[1]] = s.AddInstance(at[0], at[1])
				}
				s.AwaitRetries()
				arrivals := func() [2]int { return [2]int{len(full[0].Arrivals()), len(full[1].Arrivals())} }
				const requests = 5
				for n := range requests {
					before := arrivals()
					resp := s.Do(t.Context(), instances[sc.domain], cwscene.RoutedRequest{Path: "/r/x"})
					is.Equal(resp.Status, http.StatusServiceUnavailable)
					after := arrivals()
					for i := range full {
						if got := after[i] - before[i]; got > 1 {
							t.Errorf("request %d was sent to endpoint %d %d times", n, i, got)
						}
					}
					time.Sleep(3 * time.Second) // full no longer counts as known
				}
				total := arrivals()
				is.True(total[0]+total[1] > requests) // other endpoints are tried
			})
		})
	}
}
