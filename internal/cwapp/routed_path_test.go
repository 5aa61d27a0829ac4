package cwapp_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// startOneRegion starts an instance with two workers as its endpoints.
func startOneRegion(s *cwscene.RoutedScene, routes ...cwscene.RoutedRoute) (*cwscene.RoutedInstance, []*cwstandin.Worker) {
	s.Publish(nil, routes...)
	workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
	i := s.AddInstance("10.1.0.1", "north-a")
	s.AwaitRetries()
	return i, workers
}

// collectRuns returns the requests that the workers have run.
func collectRuns(workers []*cwstandin.Worker) []cwstandin.WorkerRun {
	var runs []cwstandin.WorkerRun
	for _, w := range workers {
		runs = append(runs, w.Runs()...)
	}
	return runs
}

// TestRoutedEndpointFaults injects each endpoint fault, for requests that may be retried and
// for requests that may not.
func TestRoutedEndpointFaults(t *testing.T) {
	for _, sc := range []struct {
		name  string
		kind  string
		fault cwstandin.WorkerFault
		// status is the expected response status, runs the number of times the request ran.
		status, runs int
	}{
		{"no fault", "unsafe", cwstandin.FaultNone, 200, 1},
		{"rejected, retried elsewhere", "unsafe", cwstandin.FaultReject, 200, 1},
		{"failed, response forwarded", "unsafe", cwstandin.FaultServerError, 500, 1},
		{"failed, retried", "safe", cwstandin.FaultServerError, 200, 2},
		{"response lost, not retried", "unsafe", cwstandin.FaultLoseResponse, 502, 1},
		{"response lost, retried", "safe", cwstandin.FaultLoseResponse, 200, 2},
		{"response truncated, not forwarded", "unsafe", cwstandin.FaultTruncateResponse, 502, 1},
		{"response truncated, retried", "safe", cwstandin.FaultTruncateResponse, 200, 2},
		{"extra response", "unsafe", cwstandin.FaultExtraResponse, 200, 1},
		{"unexpected response first", "unsafe", cwstandin.FaultUnexpectedResponse, 200, 1},
		{"no signature", "unsafe", cwstandin.FaultOmitSignature, 502, 1},
		{"no signature, retried", "safe", cwstandin.FaultOmitSignature, 200, 2},
		{"hangs, retried", "safe", cwstandin.FaultHang, 200, 2},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				i, workers := startOneRegion(s, cwscene.NewRoute("r", sc.kind, nil))
				cwstandin.SetFirstRequestFault(workers, sc.fault)
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "question"})
				is.Equal(resp.Status, sc.status)
				is.Equal(len(collectRuns(workers)), sc.runs)
				for _, run := range collectRuns(workers) {
					is.Equal(run.RequestID, resp.RequestID)
					is.Equal(run.Body, "question")
				}
				if sc.status == 200 {
					is.NoErr(resp.Err)
					is.True(strings.HasSuffix(resp.Body, " to "+resp.RequestID)) // the response to this request
				}
				if sc.status == 502 {
					is.Equal(resp.Header.Get("Clementinewell-Response-Signature"), "")
				}
				// Data left over on pooled connections must not affect later requests.
				again := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "question"})
				is.True(strings.HasSuffix(again.Body, " to "+again.RequestID))
			})
		})
	}
}

// TestGatewayHeadersFromCallersAreDropped checks that header fields that only the gateway may
// set do not reach an endpoint with values of the caller. Other fields are forwarded.
func TestGatewayHeadersFromCallersAreDropped(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 2000}))
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x?q=%2F", Header: []string{
			"Clementinewell-Hold", "h", "Clementinewell-Pin-Ms", "9", "Clementinewell-Kv-Backup", "b", "Kv-From", "k",
			"Clementinewell-Expected-Instance", "other", "Clementinewell-Relayed-Ms", "1", "X-Own", "kept",
		}})
		is.Equal(resp.Status, 200)
		run := collectRuns(workers)[0]
		is.Equal(run.Path, "/r/x?q=%2F")
		for _, name := range []string{"Clementinewell-Hold", "Clementinewell-Pin-Ms", "Clementinewell-Kv-Backup", "Kv-From", "Clementinewell-Relayed-Ms"} {
			is.Equal(run.Header.Get(name), "")
		}
		is.Equal(run.Header.Get("X-Own"), "kept")
		is.True(strings.HasPrefix(run.Header.Get("Clementinewell-Expected-Instance"), "worker-"))
		timeoutMillis := run.Header.Get("Clementinewell-Deadline-Ms")
		is.True(len(timeoutMillis) == 4 && timeoutMillis < "2001") // the timeout of the route, not the caller's 5 s
	})
}

// TestBadRoutedInput checks that an invalid request is refused with the status for its fault
// and is not sent to an endpoint.
func TestBadRoutedInput(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		for _, sc := range []struct {
			name    string
			request cwscene.RoutedRequest
			status  int
		}{
			{"no route", cwscene.RoutedRequest{Path: "/other/x"}, http.StatusNotFound},
			{"prefix without trailing slash", cwscene.RoutedRequest{Path: "/r"}, http.StatusNotFound},
			{"bad deadline", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Deadline-Ms", "soon"}}, http.StatusBadRequest},
			{"bad tokens", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "many"}}, http.StatusBadRequest},
			{"bad prompt prefix", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "1,1", "Clementinewell-Prompt-Prefix", "zz"}}, http.StatusBadRequest},
			{"no request ID", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Request-Id", ""}}, http.StatusBadRequest},
			{"body too large", cwscene.RoutedRequest{Path: "/r/x", Body: strings.Repeat("x", 1<<20+1)}, http.StatusRequestEntityTooLarge},
		} {
			is.Equal(s.Do(t.Context(), i, sc.request).Status, sc.status) // status of the named case
		}
		is.Equal(len(collectRuns(workers)), 0)
	})
}

// TestRejectionAtTheDeadlineArrives checks that the caller gets the rejection of an endpoint
// that has not started the request by the deadline. A timeout at the instance would leave
// the caller without the information that the request has not run.
func TestRejectionAtTheDeadlineArrives(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		w := s.AddWorker("north-a", "10.1.1.1")
		w.SetDefaultFault(cwstandin.FaultRejectAtDeadline)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: 2 * time.Second})
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.True(resp.Elapsed < 2*time.Second)
	})
}

// TestRejectionBehindAnExitArrives checks the same as TestRejectionAtTheDeadlineArrives for a
// request that is relayed to another region.
func TestRejectionBehindAnExitArrives(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		w := s.AddWorker("south-a", "10.9.1.1")
		w.SetDefaultFault(cwstandin.FaultRejectAtDeadline)
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		s.Net.SetDelay(north.IP, south.IP, 80*time.Millisecond)
		s.AwaitReady()
		time.Sleep(3 * time.Second)
		resp := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Timeout: 2 * time.Second})
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.True(resp.Elapsed < 2*time.Second)
	})
}

// TestRelayedStreamKeepsItsDeadline checks that an exit does not end a stream before its
// deadline because an earlier measurement of the round trip was long.
func TestRelayedStreamKeepsItsDeadline(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		w := s.AddWorker("south-a", "10.2.1.1")
		w.SetDefaultFault(cwstandin.FaultPauseStream)
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		// On a new connection the measured round trip is twice as long. It must not prevent
		// relaying.
		s.Net.SetDelay(north.IP, south.IP, 300*time.Millisecond)
		s.AwaitReady()
		time.Sleep(5 * time.Second)
		s.Net.SetDelay(north.IP, south.IP, 0)
		resp := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: cwstandin.StreamPause + time.Second})
		is.Equal(resp.Status, http.StatusOK)
		is.NoErr(resp.Err)
		is.Equal(strings.Count(resp.Body, "data:"), 6)
	})
}

// TestCallerDisconnectCancelsEndpointRequest checks that an endpoint does not go on with a
// request whose caller has disconnected.
func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultHang)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		is.True(s.Do(ctx, i, cwscene.RoutedRequest{Path: "/r/x"}).Err != nil)
		s.Await(func() bool { return workers[0].AbortedRequests()+workers[1].AbortedRequests() == 1 })
	})
}

// TestRouteTimeoutBoundsResponse checks that the response arrives within the timeout of the
// route if that is shorter than the caller's.
func TestRouteTimeoutBoundsResponse(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 1000}))
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultHang)
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
		is.Equal(resp.Status, http.StatusGatewayTimeout)
		is.True(resp.Elapsed <= time.Second)
	})
}

// TestRefusalIsImmediateWithRetryAfter checks that a request of a service without endpoints is
// refused at once, with Retry-After.
func TestRefusalIsImmediateWithRetryAfter(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.True(resp.Elapsed < 50*time.Millisecond)
	})
}
