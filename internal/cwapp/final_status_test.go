package cwapp_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// noFinalStatuses are statuses that end no request.
var noFinalStatuses = []int{0, 99, 101, 600, 999}

// TestStatusOfNoResponseFailsRequest guards against a caller that gets an answer of a faulty endpoint whose
// status is none, and against a handler that panics because of it.
func TestStatusOfNoResponseFailsRequest(t *testing.T) {
	for _, status := range noFinalStatuses {
		t.Run(fmt.Sprintf("status %03d", status), func(t *testing.T) {
			inScene(t, services(cwscene.NewLookupService("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				s.AddEndpoint("north-a", "10.1.0.5", "lookup", newStatusHandler(status))
				s.Publish()
				instances := []*cwscene.Instance{s.AddInstance("10.1.0.1", "north", "north-a"), s.AddInstance("10.2.0.1", "south", "south-a")}
				s.AwaitReady()
				for _, i := range instances {
					resp := s.NewCaller().Do(t.Context(), i, cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: "{}"})
					is.NoErr(resp.Err)
					// The second one may find the endpoint ejected.
					is.True(resp.Status == http.StatusBadGateway || resp.Status == http.StatusServiceUnavailable)
				}
			})
		})
	}
}

// TestStatusOfNoResponseFailsRoutedRequest guards against the same on the users' platform, and against a
// body behind such a status that is read as the response.
func TestStatusOfNoResponseFailsRoutedRequest(t *testing.T) {
	for _, status := range noFinalStatuses {
		for _, kind := range []string{"safe", "unsafe"} {
			t.Run(fmt.Sprintf("status %03d, %s", status, kind), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(nil, cwscene.NewRoute("r", kind, nil))
					s.Serve("10.1.1.1:8010", newStatusHandler(status))
					s.RegisterWorker("worker", "north-a", "10.1.1.1", nil)
					instances := []*cwscene.RoutedInstance{s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")}
					s.AwaitRetries()
					for _, i := range instances {
						resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
						is.NoErr(resp.Err)
						is.Equal(resp.Status, http.StatusBadGateway)
					}
				})
			})
		}
	}
}

// newStatusHandler returns a handler that answers with a status. Its body is a response.
func newStatusHandler(status int) http.Handler {
	const hidden = "HTTP/1.1 200 OK\r\n" + cwstandin.RequestIDHeader + ": %s\r\nClementinewell-Response-Signature: s\r\nContent-Length: 6\r\n\r\nhidden"
	return newHijackedHandler(func(conn net.Conn, r *http.Request) {
		body := fmt.Sprintf(hidden, r.Header.Get(cwstandin.RequestIDHeader))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d None\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	})
}
