package cwapp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestHalfClosedCallerGetsResponse guards against a caller that gets a closed connection because
// it has closed its writing side after the request, or because its request was cancelled for
// another reason. The work stops, as after a full close, and the caller is told.
func TestHalfClosedCallerGetsResponse(t *testing.T) {
	for _, test := range []struct {
		name         string
		isSent       bool
		status       int
		workerAborts int
	}{
		{name: "request at an endpoint", isSent: true, status: http.StatusBadGateway, workerAborts: 1},
		{name: "request not sent", status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.WrapNet = func(n cwnet.Net) cwnet.Net { return halfClosingNet{Net: n} }
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				w := s.AddWorker("north-a", "10.1.1.1")
				w.SetDefaultFault(cwstandin.FaultHang)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				s.Net.SetPartitioned(i.IP, "10.1.1.1", !test.isSent)
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order"})
				is.NoErr(resp.Err)
				is.Equal(resp.Status, test.status)
				is.True(resp.ClosesConn)
				is.True(resp.Elapsed <= halfCloseAfter+100*time.Millisecond)
				time.Sleep(500 * time.Millisecond)
				is.Equal(w.AbortedRequests(), test.workerAborts)
			})
		})
	}
}
