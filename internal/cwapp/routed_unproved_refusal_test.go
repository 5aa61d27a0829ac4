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

// TestRefusalCountsAttemptBesideOverdueOne guards against a promise about a request that runs: the dial of one
// endpoint is overdue, the request is sent to another one beside it, and at the deadline only the dial
// counted, of which nothing was sent.
func TestRefusalCountsAttemptBesideOverdueOne(t *testing.T) {
	ips := []string{"10.1.1.1", "10.1.1.2"}
	for n := range 16 { // the endpoint of the first attempt is random
		silent, ip := n%len(ips), ips[n%len(ips)]
		t.Run(fmt.Sprintf("%s is silent, %d", ip, n), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				i, workers := startOneRegion(s, cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"target-latency-ms": 100}))
				time.Sleep(10 * time.Second) // connections of the start are closed
				s.Net.SilenceHost(ip, false)
				workers[1-silent].QueueFaults(cwstandin.FaultHang, cwstandin.FaultHang)
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: 700 * time.Millisecond})
				runs := len(collectRuns(workers))
				is.True(resp.Status != http.StatusServiceUnavailable || runs == 0)
			})
		})
	}
}

// TestUnprovedRefusalOfEndpoint guards against an endpoint that ran a request and answers it with a status by
// which callers take it for not run.
func TestUnprovedRefusalOfEndpoint(t *testing.T) {
	for _, test := range []struct{ endpointStatus, status int }{
		{http.StatusRequestTimeout, http.StatusBadGateway},
		{http.StatusTooManyRequests, http.StatusBadGateway},
		{http.StatusServiceUnavailable, http.StatusBadGateway},
		{http.StatusNotFound, http.StatusNotFound},
		{http.StatusInternalServerError, http.StatusInternalServerError},
	} {
		t.Run(fmt.Sprint(test.endpointStatus), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				s.Serve("10.1.1.1:8010", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(cwstandin.RequestIDHeader, r.Header.Get(cwstandin.RequestIDHeader))
					w.Header().Set("Clementinewell-Response-Signature", "s")
					w.WriteHeader(test.endpointStatus)
				}))
				s.RegisterWorker("w", "north-a", "10.1.1.1", nil)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
				is.Equal(resp.Status, test.status)
				isSigned := resp.Header.Get("Clementinewell-Response-Signature") != ""
				is.Equal(isSigned, test.status == test.endpointStatus) // a signature vouches for the endpoint's status
			})
		})
	}
}
