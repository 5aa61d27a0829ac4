package cwapp_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestOverdueResponseIsKeptUntilAnotherBegins guards against a slow response that is given up for a
// place which then does not serve the request.
func TestOverdueResponseIsKeptUntilAnotherBegins(t *testing.T) {
	for _, sc := range []struct {
		name  string
		fault cwstandin.WorkerFault
		// keepsSlow is set if the slow response must arrive, since the other place fails.
		keepsSlow bool
	}{
		{"the other one serves", cwstandin.FaultNone, false},
		{"the other one rejects", cwstandin.FaultReject, true},
		{"the other one fails", cwstandin.FaultServerError, true},
		{"the other one loses its response", cwstandin.FaultLoseResponse, true},
		{"the other one hangs", cwstandin.FaultHang, true},
		{"the response of the other one is not signed", cwstandin.FaultOmitSignature, true},
	} {
		for _, kind := range []string{"safe", "streaming"} {
			t.Run(fmt.Sprintf("%s, %s", sc.name, kind), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					services, header := []map[string]any(nil), []string(nil)
					if kind == "streaming" {
						services, header = cwscene.NewEngineService(4), newPromptHeader()
					}
					s.Publish(services, cwscene.NewRoute("r", kind, cwscene.RoutedRoute{"resumable": true, "max-attempts": 2}))
					workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
					cwstandin.SetFirstRequestFault(workers, cwstandin.FaultSlowResponse)
					for _, w := range workers {
						w.SetDefaultFault(sc.fault)
					}
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitRetries()
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: header})
					is.NoErr(resp.Err)
					is.Equal(resp.Status, 200)
					is.Equal(resp.Elapsed < cwstandin.SlowResponseTime, !sc.keepsSlow)
					is.True(resp.Elapsed < cwstandin.SlowResponseTime+50*time.Millisecond)
					// One response is ended: that of the place which is not needed, if it has not ended itself.
					time.Sleep(50 * time.Millisecond)
					isAborted := sc.fault == cwstandin.FaultNone || sc.fault == cwstandin.FaultHang
					is.Equal(workers[0].AbortedRequests()+workers[1].AbortedRequests() == 1, isAborted)
				})
			})
		}
	}
}
