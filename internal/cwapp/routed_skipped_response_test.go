package cwapp_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestSkippedResponseIsRecorded guards against responses to other requests that leave no trace: nobody
// could tell a faulty endpoint from a fault of the gateway.
func TestSkippedResponseIsRecorded(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault cwstandin.WorkerFault
		// named is the identifier in the response, and counter the line of the metrics.
		named, counter string
	}{
		{"names another request", cwstandin.FaultUnexpectedResponse, "another", `clementinewell_responses_skipped{named="true"} 1`},
		{"names no request", cwstandin.FaultExtraRefusal, "", `clementinewell_responses_skipped{named="false"} 1`},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				core, lines := observer.New(zapcore.InfoLevel)
				s.Log = zap.New(core)
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				worker := s.AddWorker("north-a", "10.1.1.1")
				worker.SetServiceTime(announcedServiceTime)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				worker.QueueFaults(test.fault)
				var ids []string
				for range 2 {
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
					is.Equal(resp.Status, http.StatusOK)
					ids = append(ids, resp.RequestID)
				}
				found := lines.FilterMessage("response belongs to another request").All()
				is.Equal(len(found), 1)
				fields := found[0].ContextMap()
				is.True(fields["request"] == ids[0] || fields["request"] == ids[1])
				is.Equal(fields["named"], test.named)
				is.True(fields["place"] != "")
				s.Await(func() bool { return strings.Contains(s.FetchAdmin(t, i, "/metrics"), test.counter) })
			})
		})
	}
}
